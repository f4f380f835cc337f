//! Tests of the placements against counts by hand, of the simulation of coordinators, and of the measurements' helpers.

use control_plane::coordinator::CommandResult;
use control_plane::lease::Role;
use control_plane::runtime::{LISTEN_BACKLOG, MAX_CALLERS};

use super::quorum::{evaluate_placements, quorum_losses, round_robin, Placement, ZONES_PER_REGION};
use super::simulation::{cordon, uncordon, RoundTrips, Simulation, SYNC_WRITE};
use super::{highest_sustained_rate, run_until, state, target, us_per_item, SECOND};

#[test]
fn quorum_losses_match_counts_by_hand() {
    assert_eq!(ZONES_PER_REGION.iter().sum::<usize>(), target::ZONES);
    // Three voters need two: without a region that has one, the loss of the zone of either other voter leaves no quorum.
    assert_eq!(quorum_losses(&round_robin(3)), 6);
    assert_eq!(
        [5, 7, 9].map(|voters| quorum_losses(&round_robin(voters))),
        [0, 0, 0]
    );
    // All nine in one zone: the quorum is lost with its region and any of 13 further zones, and with any other region and
    // that zone.
    let mut one_zone = Placement::default();
    one_zone[0] = 9;
    assert_eq!(quorum_losses(&one_zone), 13 + 6);
    // Five voters, two of them in one region: without that region three are left, and losing the zone of any leaves two.
    let mut two_in_a_region = Placement::default();
    [0, 1, 3, 6, 8]
        .into_iter()
        .for_each(|zone| two_in_a_region[zone] = 1);
    assert_eq!(quorum_losses(&two_in_a_region), 3);
}

#[test]
fn all_placements_of_voters_are_evaluated() {
    // Five voters survive all losses exactly if no region has two of them. Counted: choices of five regions, each with one
    // of its zones.
    let five = evaluate_placements(5);
    assert_eq!(
        (five.placements, five.surviving, five.fewest_losses),
        (4_368, 32 + 2 * 3 * 5 * 16 + 9 * 10 * 8, 0)
    );
    let three = evaluate_placements(3);
    assert_eq!(
        (three.placements, three.surviving, three.fewest_losses),
        (560, 0, 6)
    );
    assert!(three.most_losses > three.fewest_losses);
    // Nine in nine zones: a region has at most three of them, and after a further zone five of the other six are left.
    let nine = evaluate_placements(9);
    assert_eq!(
        (nine.placements, nine.surviving, nine.most_losses),
        (11_440, 11_440, 0)
    );
}

#[test]
fn one_way_delays_are_symmetric_and_within_the_target() {
    for from in 0..9 {
        for to in 0..9 {
            let one_way = RoundTrips::Regions.one_way(from, to);
            assert_eq!(one_way, RoundTrips::Regions.one_way(to, from));
            assert!(
                from == to || (1_100..=125_000).contains(&one_way),
                "{from} {to}: {one_way}"
            );
        }
    }
    assert_eq!(RoundTrips::Uniform(250_000).one_way(1, 2), 125_000);
}

#[test]
fn a_command_commits_in_a_round_trip_at_the_leader_and_never_without_a_majority() {
    let round_trip = 100_000;
    let mut simulation = Simulation::new(5, 5, RoundTrips::Uniform(round_trip), SYNC_WRITE, 1);
    assert!(simulation.run_until_stable());
    let leader = simulation.leader().unwrap();
    let from = simulation.now();
    simulation.submit(leader, cordon(1, 10));
    let committed = run_until(&mut simulation, SECOND, |simulation| {
        simulation.take_completed().pop()
    })
    .unwrap();
    assert!(committed.result.is_committed());
    let latency = committed.completed_at - from;
    assert!(
        (round_trip..round_trip + 50_000).contains(&latency),
        "a round trip and the synced writes: {latency}"
    );
    (0..5)
        .filter(|voter| *voter != leader)
        .take(3)
        .for_each(|voter| simulation.kill(voter));
    simulation.submit(leader, cordon(2, 10));
    let unconfirmed = run_until(&mut simulation, 4 * SECOND, |simulation| {
        simulation.take_completed().pop()
    })
    .unwrap();
    assert!(
        matches!(unconfirmed.result, CommandResult::Unconfirmed(_)),
        "{unconfirmed:?}"
    );
}

#[test]
fn a_socket_admits_and_queues_a_limited_number_of_calls() {
    let (capacity, beyond) = (3 * (MAX_CALLERS + LISTEN_BACKLOG), 348);
    let agents = capacity + beyond;
    let mut simulation =
        Simulation::new(3, 3 + agents, RoundTrips::Uniform(200_000), SYNC_WRITE, 1);
    assert!(simulation.run_until_stable());
    // Lets the first lease holder finish sending its updates to all agents.
    simulation.run(10 * SECOND);
    let calls_received = |simulation: &Simulation| {
        (0..3)
            .map(|voter| simulation.usage(voter).calls_received)
            .sum::<u64>()
    };
    let before = calls_received(&simulation);
    (0..agents).for_each(|agent| simulation.submit(3 + agent, uncordon(1)));
    simulation.run(SECOND);
    assert_eq!(simulation.max_queued, LISTEN_BACKLOG);
    assert_eq!(simulation.rejected_calls, beyond as u64);
    assert_eq!(
        calls_received(&simulation) - before,
        agents as u64,
        "each agent calls one voter"
    );
    // Each command has a result, committed or not, within the coordinator's timeout of 3 s.
    simulation.run(3 * SECOND);
    assert_eq!(simulation.take_completed().len(), agents);
}

#[test]
fn a_cordon_reaches_all_agents() {
    let mut simulation = Simulation::new(3, 40, RoundTrips::Regions, SYNC_WRITE, 1);
    assert!(simulation.run_until_stable());
    simulation.submit(39, cordon(1, 10));
    let holder = simulation.holder(Role::Maintenance).unwrap();
    let reached = run_until(&mut simulation, 20 * SECOND, |simulation| {
        let state = simulation.coordinator(holder)?.state();
        (!state.cordoned.is_empty() && simulation.enforced_count(state.version) == 40).then_some(())
    });
    assert!(reached.is_some());
}

#[test]
fn the_state_refuses_cordons_beyond_its_limit() {
    assert_eq!(
        [10, 1_000, 1_125].map(|servers| state::with_cordoned(servers).1),
        [0, 0, 125]
    );
    assert_eq!(
        state::with_cordoned(1_125).0.cordoned.len(),
        target::MAX_CORDONED
    );
}

#[test]
fn core_time_per_item_is_in_microseconds() {
    assert_eq!(
        us_per_item(std::time::Duration::from_millis(3), 1_500.0),
        2.0
    );
}

#[test]
fn the_highest_sustained_rate_is_found_within_seven_percent() {
    for limit in [5.0, 37.0, 300.0, 9_000.0] {
        let found = highest_sustained_rate(16_384.0, |rate| if rate <= limit { 1.0 } else { 0.5 });
        assert!(
            found <= limit && found * 1.07 >= limit,
            "{found} of {limit}"
        );
    }
    assert_eq!(highest_sustained_rate(16_384.0, |_| 0.0), 0.0);
    assert_eq!(
        highest_sustained_rate(16_384.0, |_| 1.0),
        16_384.0,
        "the search ends at the maximum"
    );
}
