//! The placements by hand, the host of desks by what must be so at any distance, and the sums of the measurements.

use control_plane::coordinator::CommandResult;
use control_plane::lease::Role;
use control_plane::runtime::{LISTEN_BACKLOG, MAX_CALLERS};

use super::quorum::{in_turn, stopped, tally, Placement, ZONES_OF};
use super::simulation::{back, out, Site, Trips, SYNC};
use super::{highest_borne, share, state, target, within, SECOND};

#[test]
fn zones_add_up_and_losses_are_counted_by_hand() {
    assert_eq!(ZONES_OF.iter().sum::<usize>(), target::ZONES);
    // Three voters need two: after a region with one, either zone of the other two stops the log.
    assert_eq!(stopped(&in_turn(3)), 6);
    assert_eq!([5, 7, 9].map(|voters| stopped(&in_turn(voters))), [0, 0, 0]);
    // All nine in one zone: its region with any of 13 further zones, and any other region with it.
    let mut one = Placement::default();
    one[0] = 9;
    assert_eq!(stopped(&one), 13 + 6);
    // Five voters, two of them in one region: without it three are left, and each of their zones is one too many.
    let mut two = Placement::default();
    [0, 1, 3, 6, 8].into_iter().for_each(|zone| two[zone] = 1);
    assert_eq!(stopped(&two), 3);
}

#[test]
fn all_placements_are_gone_through() {
    // Five voters outlive all just where no region has two: ways to choose five of the regions, and a zone of each.
    let five = tally(5);
    assert_eq!(
        (five.ways, five.sound, five.best),
        (4_368, 32 + 2 * 3 * 5 * 16 + 9 * 10 * 8, 0)
    );
    let three = tally(3);
    assert_eq!((three.ways, three.sound, three.best), (560, 0, 6));
    assert!(three.worst > three.best);
    // Nine in nine zones: a region has three of them at most, and five of the other six are left.
    let nine = tally(9);
    assert_eq!((nine.ways, nine.sound, nine.worst), (11_440, 11_440, 0));
}

#[test]
fn ways_are_alike_in_both_directions_and_within_the_target() {
    for from in 0..9 {
        for to in 0..9 {
            let way = Trips::Regions.way(from, to);
            assert_eq!(way, Trips::Regions.way(to, from));
            assert!(
                from == to || (1_100..=125_000).contains(&way),
                "{from} {to}: {way}"
            );
        }
    }
    assert_eq!(Trips::Same(250_000).way(1, 2), 125_000);
}

#[test]
fn an_entry_takes_a_round_trip_at_the_leader_and_none_without_a_majority() {
    let trip = 100_000;
    let mut site = Site::new(5, 5, Trips::Same(trip), SYNC, 1);
    assert!(site.settle());
    let leader = site.leader().unwrap();
    let from = site.now();
    site.ask(leader, out(1, 10));
    let yes = within(&mut site, SECOND, |site| site.answers().pop()).unwrap();
    assert!(yes.answer.is_committed());
    let took = yes.answered - from;
    assert!(
        (trip..trip + 50_000).contains(&took),
        "a round trip and what was being saved: {took}"
    );
    (0..5)
        .filter(|voter| *voter != leader)
        .take(3)
        .for_each(|voter| site.kill(voter));
    site.ask(leader, out(2, 10));
    let tried = within(&mut site, 4 * SECOND, |site| site.answers().pop()).unwrap();
    assert!(
        matches!(tried.answer, CommandResult::Unconfirmed(_)),
        "{tried:?}"
    );
}

#[test]
fn a_socket_takes_so_many_calls_and_keeps_a_queue() {
    let (places, beyond) = (3 * (MAX_CALLERS + LISTEN_BACKLOG), 348);
    let agents = places + beyond;
    let mut site = Site::new(3, 3 + agents, Trips::Same(200_000), SYNC, 1);
    assert!(site.settle());
    // What the first holder brings to all is brought before.
    site.run(10 * SECOND);
    let called = |site: &Site| (0..3).map(|voter| site.meter(voter).called).sum::<u64>();
    let before = called(&site);
    (0..agents).for_each(|agent| site.ask(3 + agent, back(1)));
    site.run(SECOND);
    assert_eq!(site.most_waiting, LISTEN_BACKLOG);
    assert_eq!(site.turned_away, beyond as u64);
    assert_eq!(
        called(&site) - before,
        agents as u64,
        "each agent asks one voter"
    );
    // Each has its answer by the desk's own patience of 3 s, yes or not.
    site.run(3 * SECOND);
    assert_eq!(site.answers().len(), agents);
}

#[test]
fn a_server_out_reaches_all_agents() {
    let mut site = Site::new(3, 40, Trips::Regions, SYNC, 1);
    assert!(site.settle());
    site.ask(39, out(1, 10));
    let holder = site.holder(Role::Maintenance).unwrap();
    let all = within(&mut site, 20 * SECOND, |site| {
        let state = site.desk(holder)?.state();
        (!state.cordoned.is_empty() && site.enforced(state.version) == 40).then_some(())
    });
    assert!(all.is_some());
}

#[test]
fn the_state_refuses_what_is_more_than_it_holds() {
    assert_eq!(
        [10, 1_000, 1_125].map(|servers| state::with_out(servers).1),
        [0, 0, 125]
    );
    assert_eq!(state::with_out(1_125).0.cordoned.len(), target::MOST_OUT);
}

#[test]
fn core_time_is_shared_in_microseconds() {
    assert_eq!(share(std::time::Duration::from_millis(3), 1_500.0), 2.0);
}

#[test]
fn the_highest_rate_is_found_to_a_part_in_thirty() {
    for most in [5.0, 37.0, 300.0, 9_000.0] {
        let found = highest_borne(16_384.0, |rate| if rate <= most { 1.0 } else { 0.5 });
        assert!(found <= most && found * 1.07 >= most, "{found} of {most}");
    }
    assert_eq!(highest_borne(16_384.0, |_| 0.0), 0.0);
    assert_eq!(highest_borne(16_384.0, |_| 1.0), 16_384.0, "and no further");
}
