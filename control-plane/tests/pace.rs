//! The rate that an agent's sending is held to, among members in virtual time: what a storm of news sends, what must not
//! wait for it, and what is known to all after it.

use std::collections::BTreeSet;

use control_plane::membership::{Event, MemberState, NodeState, Settings};
use testbed::plane::virt::{Fleet, Links};

const SECOND: u64 = 1_000_000;
const STEP: u64 = SECOND / 50;
/// Bytes of an update in a datagram, at most, under the lab's names.
const UPDATE: u64 = 42;

/// Watches what each member sends.
struct Watch {
    members: usize,
    /// Each member's bytes and calls so far, at each step.
    sent: Vec<Vec<u64>>,
    calls: Vec<u64>,
}

impl Watch {
    fn new(fleet: &Fleet, members: usize) -> Watch {
        let calls = Watch::count(fleet, members, |counts| counts.calls_out);
        Watch {
            members,
            sent: vec![Watch::count(fleet, members, |counts| counts.bytes_out)],
            calls,
        }
    }

    fn count(
        fleet: &Fleet,
        members: usize,
        of: impl Fn(control_plane::membership::MessageCounts) -> u64,
    ) -> Vec<u64> {
        (0..members)
            .map(|agent| fleet.core(agent).map_or(0, |core| of(core.counts())))
            .collect()
    }

    fn run(&mut self, fleet: &mut Fleet, span: u64) {
        for _ in 0..span / STEP {
            fleet.run(STEP);
            self.sent
                .push(Watch::count(fleet, self.members, |counts| counts.bytes_out));
        }
    }

    /// Runs until all see the same, at most so long. The time that it took.
    fn until_whole(&mut self, fleet: &mut Fleet, most: u64) -> u64 {
        let from = fleet.now();
        while !fleet.is_whole() {
            assert!(
                fleet.now() < from + most,
                "not all see the same after {} s",
                most / SECOND
            );
            self.run(fleet, STEP);
        }
        fleet.now() - from
    }

    /// The most that one member sent in a second, whenever that began.
    fn worst_second(&self) -> u64 {
        let steps = (SECOND / STEP) as usize;
        let seconds = self
            .sent
            .iter()
            .zip(&self.sent[steps.min(self.sent.len() - 1)..]);
        let most = seconds.flat_map(|(before, after)| {
            before
                .iter()
                .zip(after)
                .map(|(before, after)| after.saturating_sub(*before))
        });
        most.max().unwrap_or(0)
    }

    /// FullView views that a member asked for, the most of any.
    fn most_calls(&self, fleet: &Fleet) -> u64 {
        let now = Watch::count(fleet, self.members, |counts| counts.calls_out);
        now.iter()
            .zip(&self.calls)
            .map(|(now, before)| now.saturating_sub(*before))
            .max()
            .unwrap_or(0)
    }
}

fn limit(settings: &Settings) -> u64 {
    (settings.send_rate + settings.send_burst) as u64
}

#[test]
fn a_region_that_returns_is_known_again_within_the_rate_and_the_time_that_follows_from_it() {
    let (members, settings) = (70, Settings::default());
    let links = Links {
        regions: 7,
        loss: 0.02,
        ..Links::default()
    };
    let mut fleet = Fleet::settled(members, settings.clone(), links, 3);
    let (gone, rest): (Vec<usize>, Vec<usize>) = (0..members).partition(|agent| agent % 7 == 0);
    let mut watch = Watch::new(&fleet, members);
    fleet.links.part(&gone, &rest);
    watch.run(&mut fleet, 90 * SECOND);
    for &agent in &gone {
        assert_eq!(fleet.sees(rest[0], agent), Some(MemberState::Failed));
    }
    fleet.links.cut.clear();
    let (told, generations) = (fleet.told.len(), lives(&fleet, members));
    let took = watch.until_whole(&mut fleet, 120 * SECOND);
    // All are news to all, each told so often by each, at the rate; before that somebody has to be met again, and
    // views that still differ are compared.
    let news = members as u64 * UPDATE * u64::from(settings.max_transmissions(members)) * SECOND;
    let bound = news / settings.send_rate as u64 + 10 * SECOND;
    println!(
        "whole after {} ms, at most {} ms",
        took / 1_000,
        bound / 1_000
    );
    assert!(took <= bound);
    assert!(
        watch.worst_second() <= limit(&settings),
        "{} bytes in a second",
        watch.worst_second()
    );
    watch.run(&mut fleet, 60 * SECOND);
    assert!(fleet.is_whole(), "and stays so");
    assert!(
        watch.worst_second() <= limit(&settings),
        "{} bytes in a second",
        watch.worst_second()
    );
    let renewed = lives(&fleet, members);
    let falsely = fleet.told[told..].iter().filter(|told| {
        matches!(&told.change, control_plane::membership::Change::Member { name, to: MemberState::Failed, generation, .. }
            if renewed.contains(&(name.to_string(), *generation)))
    });
    assert_eq!(
        falsely.count(),
        0,
        "nobody is called failed under the life that it came back with"
    );
    assert_ne!(
        renewed, generations,
        "some had been called failed, and came back under a life of its own"
    );
}

#[test]
fn whole_views_that_are_asked_for_keep_to_the_rate_too() {
    let (members, settings) = (
        40,
        Settings {
            send_rate: 1_000,
            ..Settings::default()
        },
    );
    let mut fleet = Fleet::settled(members, settings.clone(), Links::default(), 6);
    let (one, other): (Vec<usize>, Vec<usize>) = (0..members).partition(|agent| agent % 2 == 0);
    fleet.links.part(&one, &other);
    fleet.run(90 * SECOND);
    fleet.links.cut.clear();
    let mut watch = Watch::new(&fleet, members);
    let took = watch.until_whole(&mut fleet, 120 * SECOND);
    // A view has a row and a record of each member, some 160 bytes; an answer weighs on the next call as well.
    let view = members as u64 * 150 * SECOND;
    let allowed = took * settings.send_rate as u64 / view + 2;
    println!(
        "{} views in {} ms, {allowed} allowed",
        watch.most_calls(&fleet),
        took / 1_000
    );
    assert!(watch.most_calls(&fleet) <= allowed);
}

/// Each member's name and life as it holds itself.
fn lives(fleet: &Fleet, members: usize) -> BTreeSet<(String, u64)> {
    let cores = (0..members).filter_map(|agent| fleet.core(agent));
    cores
        .map(|core| (core.me().name.to_string(), core.me().generation))
        .collect()
}

#[test]
fn while_news_waits_a_death_is_found_as_in_a_calm_and_nobody_else_is_called_failed() {
    let members = 60;
    let dead = 17;
    let settings = Settings::default();
    let found = |storm: bool| {
        let mut fleet = Fleet::settled(members, settings.clone(), Links::default(), 5);
        let mut watch = Watch::new(&fleet, members);
        watch.run(&mut fleet, 3 * SECOND);
        fleet.kill(dead);
        let killed = fleet.now();
        let known = |fleet: &Fleet| {
            (0..members)
                .filter(|&by| by != dead)
                .all(|by| fleet.sees(by, dead) == Some(MemberState::Failed))
        };
        let mut waiting = false;
        let mut round = 0;
        while !known(&fleet) {
            assert!(
                fleet.now() < killed + 60 * SECOND,
                "the death is not known to all"
            );
            if storm && round % 25 == 0 {
                // All nodes change state twice a second: more than the rate carries.
                let state = if round % 50 == 0 {
                    NodeState::Draining
                } else {
                    NodeState::Serving
                };
                (0..members)
                    .filter(|&agent| agent != dead)
                    .for_each(|agent| {
                        fleet.event(
                            agent,
                            Event::NodeStateChanged {
                                state,
                                note: format!("round {round}"),
                            },
                        );
                    });
            }
            round += 1;
            watch.run(&mut fleet, STEP);
            waiting |= !fleet.is_whole() && fleet.now() > killed + 5 * SECOND;
        }
        let took = fleet.now() - killed;
        assert!(waiting, "views differ meanwhile");
        watch.until_whole(&mut fleet, 60 * SECOND);
        watch.run(&mut fleet, 30 * SECOND);
        assert!(
            fleet.is_whole(),
            "nothing is lost for good, and the dead one stays so"
        );
        assert_eq!(fleet.false_failures(&[dead]), 0);
        assert!(
            watch.worst_second() <= limit(&settings),
            "{} bytes in a second",
            watch.worst_second()
        );
        took
    };
    let (calm, storm) = (found(false), found(true));
    println!(
        "known to all after {} ms in a calm, {} ms in a storm",
        calm / 1_000,
        storm / 1_000
    );
    assert!(storm <= calm + 2 * SECOND);
}

#[test]
fn a_departure_and_a_death_stay_known_through_a_storm_of_old_news() {
    let (members, settings) = (40, Settings::default());
    let links = Links {
        loss: 0.1,
        duplicates: 0.1,
        delay: (200, 400_000),
        ..Links::default()
    };
    let mut fleet = Fleet::settled(members, settings.clone(), links, 8);
    let mut watch = Watch::new(&fleet, members);
    watch.run(&mut fleet, 2 * SECOND);
    fleet.leave(4);
    fleet.kill(9);
    (0..members)
        .filter(|agent| ![4, 9].contains(agent))
        .for_each(|agent| {
            fleet.event(
                agent,
                Event::NodeStateChanged {
                    state: NodeState::Draining,
                    note: "storm".into(),
                },
            );
        });
    watch.run(&mut fleet, 40 * SECOND);
    watch.until_whole(&mut fleet, 60 * SECOND);
    let seen = |fleet: &Fleet, of: usize| -> BTreeSet<Option<MemberState>> {
        (0..members)
            .filter(|by| ![4, 9].contains(by))
            .map(|by| fleet.sees(by, of))
            .collect()
    };
    for _ in 0..30 {
        watch.run(&mut fleet, SECOND);
        assert!(fleet.is_whole(), "neither comes back");
    }
    assert_eq!(seen(&fleet, 4), BTreeSet::from([Some(MemberState::Left)]));
    assert_eq!(seen(&fleet, 9), BTreeSet::from([Some(MemberState::Failed)]));
    assert!(
        watch.worst_second() <= limit(&settings),
        "{} bytes in a second",
        watch.worst_second()
    );
}
