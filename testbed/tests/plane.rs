//! Membership under faults, in virtual time: what a test of one room can't show and real processes are too slow for.

use std::collections::BTreeSet;

use control_plane::membership::{Change, FormatRange, MemberState};
use testbed::agent_harness::virtual_time::{fast_settings, name, Fleet, Links};

const SECOND: u64 = 1_000_000;

fn whole(agents: usize, seed: u64) -> Fleet {
    let fleet = Fleet::converged(agents, fast_settings(), Links::default(), seed);
    assert!(fleet.is_converged(), "{agents} agents come to agree");
    fleet
}

/// When all that run had called a member failed; `None` if somebody has not.
fn known_by_all(fleet: &Fleet, of: usize, killed: &[usize], agents: usize) -> Option<u64> {
    let name = name(of);
    let knows = fleet.reported_changes.iter().filter(|told| {
        matches!(&told.change, Change::Member { name: n, to: MemberState::Failed, .. } if n.as_str() == name)
    });
    let mut by = BTreeSet::new();
    let mut last = None;
    for told in knows {
        by.insert(told.by);
        last = Some(told.at);
    }
    (0..agents)
        .filter(|agent| !killed.contains(agent))
        .all(|agent| by.contains(&agent))
        .then_some(last)?
}

#[test]
fn the_killed_are_known_as_failed_to_all_and_nobody_else_is() {
    for (agents, killed) in [
        (5, vec![3]),
        (5, vec![1, 4]),
        (30, vec![7]),
        (100, vec![42]),
    ] {
        let mut fleet = whole(agents, 7);
        let at = fleet.now();
        killed.iter().for_each(|&agent| fleet.kill(agent));
        fleet.run(8 * SECOND);
        for &agent in &killed {
            let known = known_by_all(&fleet, agent, &killed, agents).expect("all know");
            println!(
                "{agents} members, {killed:?} killed: known by all after {} ms",
                (known - at) / 1_000
            );
            assert!(known - at < 5 * SECOND);
        }
        assert_eq!(fleet.false_failures(&killed), 0);
        assert!(fleet.is_converged());
    }
}

#[test]
fn a_planned_stop_is_left_and_not_failed() {
    let mut fleet = whole(9, 3);
    fleet.leave(4);
    fleet.run(SECOND / 10);
    for agent in (0..9).filter(|&agent| agent != 4) {
        assert_eq!(
            fleet.sees(agent, 4),
            Some(MemberState::Left),
            "at once, at agent {agent}"
        );
    }
    fleet.run(5 * SECOND);
    assert!(fleet.is_converged() && fleet.false_failures(&[]) == 0);
    fleet.start(4, &[0]);
    fleet.run(3 * SECOND);
    assert!(fleet.is_converged(), "the name comes back");
}

#[test]
fn a_pause_within_the_suspicion_is_refuted_and_a_long_one_comes_back_higher() {
    let mut fleet = whole(5, 11);
    fleet.pause(2);
    fleet.run(SECOND / 2);
    fleet.resume(2);
    fleet.run(3 * SECOND);
    assert_eq!(fleet.false_failures(&[]), 0);
    assert!(fleet.is_converged());
    let generation = fleet.core(2).unwrap().me().generation;
    fleet.pause(2);
    fleet.run(20 * SECOND);
    assert_eq!(fleet.sees(0, 2), Some(MemberState::Failed));
    fleet.resume(2);
    fleet.run(3 * SECOND);
    assert!(fleet.is_converged());
    assert!(fleet.core(2).unwrap().me().generation > generation);
    assert_eq!(
        fleet.false_failures(&[2]),
        0,
        "the one that slept judges nobody by it"
    );
}

#[test]
fn halves_that_could_not_meet_agree_soon_after() {
    let mut fleet = whole(5, 5);
    fleet.links.partition(&[0, 1, 2], &[3, 4]);
    fleet.run(20 * SECOND);
    assert_eq!(
        (fleet.sees(0, 3), fleet.sees(4, 0)),
        (Some(MemberState::Failed), Some(MemberState::Failed))
    );
    assert!(fleet.core(0).unwrap().fleet_size(fleet.now()).majority);
    assert!(
        !fleet.core(3).unwrap().fleet_size(fleet.now()).majority,
        "two of five are no fleet"
    );
    fleet.links.cut.clear();
    let at = fleet.now();
    while !fleet.is_converged() && fleet.now() < at + 20 * SECOND {
        fleet.run(SECOND / 20);
    }
    println!("agreed {} ms after healing", (fleet.now() - at) / 1_000);
    assert!(fleet.now() - at < 5 * SECOND);
}

#[test]
fn a_link_that_works_one_way_fails_nobody_and_is_shown() {
    let mut fleet = whole(5, 13);
    fleet.links.cut.insert((1, 3));
    fleet.run(60 * SECOND);
    assert_eq!(fleet.false_failures(&[]), 0);
    let report = fleet.core(1).unwrap().report(fleet.now());
    let lost: Vec<&str> = report
        .members
        .iter()
        .filter(|m| m.unreachable_for_ms.is_some())
        .map(|m| m.name.as_str())
        .collect();
    assert_eq!(lost, ["m3"]);
    fleet.links.cut.clear();
    fleet.run(5 * SECOND);
    let report = fleet.core(1).unwrap().report(fleet.now());
    assert!(report
        .members
        .iter()
        .all(|member| member.unreachable_for_ms.is_none()));
}

#[test]
fn a_fifth_of_all_datagrams_lost_for_ten_seconds_fails_nobody() {
    for seed in 0..20 {
        let mut fleet = whole(9, seed);
        fleet.links.loss = 0.2;
        fleet.run(10 * SECOND);
        fleet.links.loss = 0.0;
        fleet.run(10 * SECOND);
        assert_eq!(fleet.false_failures(&[]), 0, "seed {seed}");
        assert!(fleet.is_converged(), "seed {seed}");
    }
}

#[test]
fn the_older_start_keeps_a_name_and_the_newer_is_refused_once() {
    let mut fleet = Fleet::converged(6, fast_settings(), Links::default(), 17);
    fleet.kill(5);
    fleet.run(10 * SECOND);
    fleet.start_as(
        5,
        &name(2),
        &[0, 1],
        FormatRange {
            oldest: 1,
            newest: 2,
        },
    );
    fleet.run(10 * SECOND);
    assert_eq!(fleet.refused, [5]);
    assert!(fleet.is_converged());
    assert_eq!(fleet.false_failures(&[5]), 0);
    let told = fleet
        .reported_changes
        .iter()
        .filter(|told| matches!(told.change, Change::DuplicateNameRejected(_)));
    assert_eq!(told.map(|told| told.by).collect::<Vec<_>>(), [2]);
}

#[test]
fn two_of_one_name_that_grew_apart_meet_and_the_older_stays() {
    let mut fleet = whole(6, 19);
    fleet.kill(5);
    fleet.run(10 * SECOND);
    fleet.links.partition(&[0, 1, 2], &[3, 4, 5]);
    fleet.run(10 * SECOND);
    // On the far side nobody can say that the name is held.
    fleet.start_as(
        5,
        &name(1),
        &[3, 4],
        FormatRange {
            oldest: 1,
            newest: 2,
        },
    );
    fleet.run(10 * SECOND);
    fleet.links.cut.clear();
    fleet.run(10 * SECOND);
    assert_eq!(fleet.refused, [5]);
    assert!(fleet.is_converged());
    assert_eq!(fleet.sees(3, 1), Some(MemberState::Alive));
}

#[test]
fn an_older_message_format_is_understood_beside_a_newer() {
    let mut fleet = Fleet::new(5, fast_settings(), Links::default(), 23);
    for agent in 0..5 {
        let newest = if agent == 2 { 1 } else { 2 };
        fleet.start_as(
            agent,
            &name(agent),
            &[0, 1],
            FormatRange { oldest: 1, newest },
        );
        fleet.run(SECOND / 10);
    }
    fleet.run(20 * SECOND);
    assert!(fleet.is_converged());
    let unread = (0..5)
        .map(|agent| fleet.core(agent).unwrap().counts().format)
        .sum::<u64>();
    assert_eq!(unread, 0, "nobody is sent what it can't read");
    fleet.kill(2);
    fleet.run(8 * SECOND);
    assert!(fleet.is_converged() && fleet.false_failures(&[2]) == 0);
}

#[test]
fn one_seed_gives_one_play() {
    let play = |seed| {
        let mut fleet = Fleet::converged(
            12,
            fast_settings(),
            Links {
                loss: 0.1,
                duplicates: 0.1,
                ..Links::default()
            },
            seed,
        );
        fleet.kill(3);
        fleet.run(10 * SECOND);
        (
            format!("{:?}", fleet.reported_changes),
            fleet.core(0).unwrap().counts(),
        )
    };
    assert_eq!(play(1), play(1));
    assert_ne!(play(1), play(2));
}
