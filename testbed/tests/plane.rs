//! Membership under fault injection, in virtual time: what unit tests can't show and real processes are too
//! slow for.

use std::collections::BTreeSet;

use control_plane::membership::{Change, FormatRange, MemberState};
use testbed::agent_harness::virtual_time::{fast_settings, name, Fleet, Links};

const SECOND: u64 = 1_000_000;

fn converged_fleet(agents: usize, seed: u64) -> Fleet {
    let fleet = Fleet::converged(agents, fast_settings(), Links::default(), seed);
    assert!(fleet.is_converged(), "views of {agents} agents converge");
    fleet
}

/// Virtual time at which the last running agent called a member failed; `None` if some agent has not.
fn known_by_all(fleet: &Fleet, of: usize, killed: &[usize], agents: usize) -> Option<u64> {
    let name = name(of);
    let knows = fleet.reported_changes.iter().filter(|reported| {
        matches!(&reported.change, Change::Member { name: n, to: MemberState::Failed, .. } if n.as_str() == name)
    });
    let mut by = BTreeSet::new();
    let mut last = None;
    for reported in knows {
        by.insert(reported.by);
        last = Some(reported.at);
    }
    (0..agents)
        .filter(|agent| !killed.contains(agent))
        .all(|agent| by.contains(&agent))
        .then_some(last)?
}

#[test]
fn killed_members_are_called_failed_by_all_within_five_seconds_and_no_others_are() {
    for (agents, killed) in [
        (5, vec![3]),
        (5, vec![1, 4]),
        (30, vec![7]),
        (100, vec![42]),
    ] {
        let mut fleet = converged_fleet(agents, 7);
        let at = fleet.now();
        killed.iter().for_each(|&agent| fleet.kill(agent));
        fleet.run(8 * SECOND);
        for &agent in &killed {
            let known = known_by_all(&fleet, agent, &killed, agents)
                .expect("every running agent calls it failed");
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
fn a_planned_stop_is_seen_as_left_and_not_as_failed() {
    let mut fleet = converged_fleet(9, 3);
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
    assert!(
        fleet.is_converged(),
        "a member can join again under its name"
    );
}

#[test]
fn a_short_pause_is_refuted_and_after_a_long_one_the_member_returns_with_a_higher_generation() {
    let mut fleet = converged_fleet(5, 11);
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
        "a resumed member calls no other failed for its own pause"
    );
}

#[test]
fn views_agree_within_five_seconds_of_the_end_of_a_partition() {
    let mut fleet = converged_fleet(5, 5);
    fleet.links.partition(&[0, 1, 2], &[3, 4]);
    fleet.run(20 * SECOND);
    assert_eq!(
        (fleet.sees(0, 3), fleet.sees(4, 0)),
        (Some(MemberState::Failed), Some(MemberState::Failed))
    );
    assert!(fleet.core(0).unwrap().fleet_size(fleet.now()).majority);
    assert!(
        !fleet.core(3).unwrap().fleet_size(fleet.now()).majority,
        "two of five are no majority"
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
fn a_one_way_link_fails_no_member_and_is_reported() {
    let mut fleet = converged_fleet(5, 13);
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
fn losing_a_fifth_of_all_datagrams_for_ten_seconds_fails_no_member() {
    for seed in 0..20 {
        let mut fleet = converged_fleet(9, seed);
        fleet.links.loss = 0.2;
        fleet.run(10 * SECOND);
        fleet.links.loss = 0.0;
        fleet.run(10 * SECOND);
        assert_eq!(fleet.false_failures(&[]), 0, "seed {seed}");
        assert!(fleet.is_converged(), "seed {seed}");
    }
}

#[test]
fn of_two_processes_with_one_name_the_newer_is_rejected_and_reported_once() {
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
    assert_eq!(fleet.name_rejected, [5]);
    assert!(fleet.is_converged());
    assert_eq!(fleet.false_failures(&[5]), 0);
    let reported = fleet
        .reported_changes
        .iter()
        .filter(|reported| matches!(reported.change, Change::DuplicateNameRejected(_)));
    assert_eq!(
        reported.map(|reported| reported.by).collect::<Vec<_>>(),
        [2]
    );
}

#[test]
fn of_two_processes_with_one_name_that_meet_after_a_partition_the_older_stays() {
    let mut fleet = converged_fleet(6, 19);
    fleet.kill(5);
    fleet.run(10 * SECOND);
    fleet.links.partition(&[0, 1, 2], &[3, 4, 5]);
    fleet.run(10 * SECOND);
    // On that side of the partition no agent can say that the name is in use.
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
    assert_eq!(fleet.name_rejected, [5]);
    assert!(fleet.is_converged());
    assert_eq!(fleet.sees(3, 1), Some(MemberState::Alive));
}

#[test]
fn members_with_an_older_message_format_are_sent_only_what_they_can_read() {
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
    assert_eq!(unread, 0, "no member is sent a message that it can't read");
    fleet.kill(2);
    fleet.run(8 * SECOND);
    assert!(fleet.is_converged() && fleet.false_failures(&[2]) == 0);
}

#[test]
fn a_seed_determines_a_run() {
    let run = |seed| {
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
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}
