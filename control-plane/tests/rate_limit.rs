//! The limit on an agent's send rate, among members in virtual time: a flood of updates stays within the limit and does
//! not delay failure detection, and all views agree after it.

use std::collections::BTreeSet;

use control_plane::membership::{MemberState, MembershipEvent, MembershipSettings, NodeState};
use testbed::agent_harness::virtual_time::{Fleet, Links};

const SECOND: u64 = 1_000_000;
const STEP: u64 = SECOND / 50;
/// Most bytes of a member update in a datagram, with names as long as the testbed's.
const MAX_UPDATE_BYTES: u64 = 42;

/// Records how much each member sends.
struct Traffic {
    members: usize,
    /// Bytes that each member has sent so far, at each step.
    sent: Vec<Vec<u64>>,
    /// Calls that each member had made when the recording began.
    calls: Vec<u64>,
}

impl Traffic {
    fn new(fleet: &Fleet, members: usize) -> Traffic {
        let calls = Traffic::count(fleet, members, |counts| counts.calls_out);
        Traffic {
            members,
            sent: vec![Traffic::count(fleet, members, |counts| counts.bytes_out)],
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
                .push(Traffic::count(fleet, self.members, |counts| {
                    counts.bytes_out
                }));
        }
    }

    /// Runs until all views agree, for at most `limit`. Returns the time that this took.
    fn run_until_agreed(&mut self, fleet: &mut Fleet, limit: u64) -> u64 {
        let from = fleet.now();
        while !fleet.is_converged() {
            assert!(
                fleet.now() < from + limit,
                "views differ after {} s",
                limit / SECOND
            );
            self.run(fleet, STEP);
        }
        fleet.now() - from
    }

    /// Most bytes that one member sent within any second.
    fn max_bytes_per_second(&self) -> u64 {
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

    /// Asserts that no member has sent more than burst plus rate within any second so far.
    #[track_caller]
    fn assert_within_rate(&self, settings: &MembershipSettings) {
        let limit = (settings.send_rate + settings.send_burst) as u64;
        let most = self.max_bytes_per_second();
        assert!(most <= limit, "{most} bytes in a second");
    }

    /// Most calls that one member has made since the recording began. Each requests a full view.
    fn max_calls(&self, fleet: &Fleet) -> u64 {
        let now = Traffic::count(fleet, self.members, |counts| counts.calls_out);
        now.iter()
            .zip(&self.calls)
            .map(|(now, before)| now.saturating_sub(*before))
            .max()
            .unwrap_or(0)
    }
}

/// Guards against the updates about a returning region exceeding the send rate, and its members being declared failed
/// again by updates from before their return.
#[test]
fn a_region_that_returns_is_present_again_within_the_rate_and_the_time_implied_by_it() {
    let (members, settings) = (70, MembershipSettings::default());
    let links = Links {
        regions: 7,
        loss: 0.02,
        ..Links::default()
    };
    let mut fleet = Fleet::preconverged(members, settings.clone(), links, 3);
    let (lost, rest): (Vec<usize>, Vec<usize>) = (0..members).partition(|agent| agent % 7 == 0);
    let mut traffic = Traffic::new(&fleet, members);
    fleet.links.partition(&lost, &rest);
    traffic.run(&mut fleet, 90 * SECOND);
    for &agent in &lost {
        assert_eq!(fleet.sees(rest[0], agent), Some(MemberState::Failed));
    }
    fleet.links.cut.clear();
    let changes_before = fleet.reported_changes.len();
    let generations_before = generations(&fleet, members);
    let took = traffic.run_until_agreed(&mut fleet, 120 * SECOND);
    // Each member transmits an update about every member several times at the send rate. In addition, a member of the other
    // side has to be contacted first, and views that still differ are compared.
    let update_bytes =
        members as u64 * MAX_UPDATE_BYTES * u64::from(settings.max_transmissions(members)) * SECOND;
    let bound = update_bytes / settings.send_rate as u64 + 10 * SECOND;
    println!(
        "agreed after {} ms, allowed {} ms",
        took / 1_000,
        bound / 1_000
    );
    assert!(took <= bound);
    traffic.assert_within_rate(&settings);
    traffic.run(&mut fleet, 60 * SECOND);
    assert!(fleet.is_converged(), "views stay in agreement");
    traffic.assert_within_rate(&settings);
    let renewed = generations(&fleet, members);
    let false_failures = fleet.reported_changes[changes_before..].iter().filter(|reported| {
        matches!(&reported.change, control_plane::membership::Change::Member { name, to: MemberState::Failed, generation, .. }
            if renewed.contains(&(name.to_string(), *generation)))
    });
    assert_eq!(
        false_failures.count(),
        0,
        "nobody is declared failed under the generation that it returned with"
    );
    assert_ne!(
        renewed, generations_before,
        "some had been declared failed, and returned under a new generation"
    );
}

/// Guards against full views that escape the limit because they are sent in calls and not in datagrams.
#[test]
fn requested_full_views_are_rate_limited_too() {
    let (members, settings) = (
        40,
        MembershipSettings {
            send_rate: 1_000,
            ..MembershipSettings::default()
        },
    );
    let mut fleet = Fleet::preconverged(members, settings.clone(), Links::default(), 6);
    let (even, odd): (Vec<usize>, Vec<usize>) = (0..members).partition(|agent| agent % 2 == 0);
    fleet.links.partition(&even, &odd);
    fleet.run(90 * SECOND);
    fleet.links.cut.clear();
    let mut traffic = Traffic::new(&fleet, members);
    let took = traffic.run_until_agreed(&mut fleet, 120 * SECOND);
    // A view has a row and a record of each member, about 160 bytes; the bound assumes 150. Answers count towards the limit
    // of later calls.
    let view_bytes = members as u64 * 150;
    let allowed = took * settings.send_rate as u64 / (view_bytes * SECOND) + 2;
    println!(
        "{} views in {} ms, {allowed} allowed",
        traffic.max_calls(&fleet),
        took / 1_000
    );
    assert!(traffic.max_calls(&fleet) <= allowed);
}

/// Each member's own name and generation.
fn generations(fleet: &Fleet, members: usize) -> BTreeSet<(String, u64)> {
    let cores = (0..members).filter_map(|agent| fleet.core(agent));
    cores
        .map(|core| (core.me().name.to_string(), core.me().generation))
        .collect()
}

/// Guards against probes and their answers waiting behind updates when the send rate is used up.
#[test]
fn failure_detection_is_not_delayed_by_pending_updates_and_nobody_else_fails() {
    let members = 60;
    let dead = 17;
    let settings = MembershipSettings::default();
    let detection_time = |flood: bool| {
        let mut fleet = Fleet::preconverged(members, settings.clone(), Links::default(), 5);
        let mut traffic = Traffic::new(&fleet, members);
        traffic.run(&mut fleet, 3 * SECOND);
        fleet.kill(dead);
        let killed = fleet.now();
        let known_to_all = |fleet: &Fleet| {
            (0..members)
                .filter(|&observer| observer != dead)
                .all(|observer| fleet.sees(observer, dead) == Some(MemberState::Failed))
        };
        let mut views_differed = false;
        let mut round = 0;
        while !known_to_all(&fleet) {
            assert!(
                fleet.now() < killed + 60 * SECOND,
                "the failure is not known to all members"
            );
            if flood && round % 25 == 0 {
                // All nodes change state twice a second: more updates than the send rate allows.
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
                            MembershipEvent::NodeStateChanged {
                                state,
                                note: format!("round {round}"),
                            },
                        );
                    });
            }
            round += 1;
            traffic.run(&mut fleet, STEP);
            views_differed |= !fleet.is_converged() && fleet.now() > killed + 5 * SECOND;
        }
        let took = fleet.now() - killed;
        assert!(views_differed, "views differ before all know the failure");
        traffic.run_until_agreed(&mut fleet, 60 * SECOND);
        traffic.run(&mut fleet, 30 * SECOND);
        assert!(
            fleet.is_converged(),
            "no update is lost for good, and the failed member does not return"
        );
        assert_eq!(fleet.false_failures(&[dead]), 0);
        traffic.assert_within_rate(&settings);
        took
    };
    let (baseline, flood) = (detection_time(false), detection_time(true));
    println!(
        "known to all after {} ms without updates, {} ms in a flood of them",
        baseline / 1_000,
        flood / 1_000
    );
    assert!(flood <= baseline + 2 * SECOND);
}

/// Guards against late or repeated updates by which a member that has left or failed counts as present again.
#[test]
fn a_departure_and_a_failure_stay_known_through_a_flood_of_outdated_updates() {
    let (members, settings) = (40, MembershipSettings::default());
    let links = Links {
        loss: 0.1,
        duplicates: 0.1,
        delay: (200, 400_000),
        ..Links::default()
    };
    let mut fleet = Fleet::preconverged(members, settings.clone(), links, 8);
    let mut traffic = Traffic::new(&fleet, members);
    traffic.run(&mut fleet, 2 * SECOND);
    fleet.leave(4);
    fleet.kill(9);
    (0..members)
        .filter(|agent| ![4, 9].contains(agent))
        .for_each(|agent| {
            fleet.event(
                agent,
                MembershipEvent::NodeStateChanged {
                    state: NodeState::Draining,
                    note: "storm".into(),
                },
            );
        });
    traffic.run(&mut fleet, 40 * SECOND);
    traffic.run_until_agreed(&mut fleet, 60 * SECOND);
    let states = |fleet: &Fleet, member: usize| -> BTreeSet<Option<MemberState>> {
        (0..members)
            .filter(|observer| ![4, 9].contains(observer))
            .map(|observer| fleet.sees(observer, member))
            .collect()
    };
    for _ in 0..30 {
        traffic.run(&mut fleet, SECOND);
        assert!(
            fleet.is_converged(),
            "neither member counts as present again"
        );
    }
    assert_eq!(states(&fleet, 4), BTreeSet::from([Some(MemberState::Left)]));
    assert_eq!(
        states(&fleet, 9),
        BTreeSet::from([Some(MemberState::Failed)])
    );
    traffic.assert_within_rate(&settings);
}
