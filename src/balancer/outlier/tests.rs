//! Unit tests of `outlier`.

use super::*;

const SECOND: Micros = 1_000_000;

fn tick() -> TickInterval {
    TickInterval::for_classes(&[])
}

#[test]
fn each_ejection_in_a_row_lasts_twice_as_long_up_to_the_longest() {
    let mut rng = Rng::with_seed(1);
    let mut ejection = Ejection::default();
    for count in 0..10 {
        let duration = (FIRST_EJECTION << count).min(MAX_EJECTION);
        let end = ejection.next_end(SECOND, tick(), &mut rng);
        let range = SECOND + duration / 2..=SECOND + duration / 2 + duration;
        assert!(range.contains(&end), "{count}: {end}");
        ejection.eject(end);
    }
    ejection.reset_count();
    let end = ejection.next_end(0, tick(), &mut rng);
    assert!(end <= FIRST_EJECTION / 2 + FIRST_EJECTION);
}

#[test]
fn after_an_ejection_there_is_one_trial_at_a_time() {
    let mut ejection = Ejection::default();
    ejection.begin_trial();
    ejection.eject(SECOND);
    assert!(!ejection.is_trial_due(SECOND - 1));
    assert!(ejection.is_trial_due(SECOND));
    ejection.begin_trial();
    assert!(!ejection.is_trial_due(SECOND) && ejection.excludes(SECOND));
    ejection.end_trial();
    assert!(ejection.is_trial_due(SECOND));
    assert!(ejection.reinstate());
    assert!(!ejection.is_active() && !ejection.reinstate());
}

#[test]
fn a_class_is_ejected_by_repeated_failures_and_after_a_success_by_a_single_one() {
    let mut ejection = Ejection::default();
    let failures = (1..)
        .take_while(|_| {
            ejection.record_and_update(true, SECOND);
            !ejection.is_active()
        })
        .count();
    assert!((2..5).contains(&failures), "{failures}");
    ejection.record_and_update(false, SECOND);
    assert!(!ejection.is_active());
    ejection.record_and_update(true, SECOND);
    assert!(ejection.is_active());
}

#[test]
fn a_failing_server_is_no_outlier_if_all_servers_fail() {
    let mut failing = Ejection::default();
    for _ in 0..20 {
        failing.record(true);
    }
    let mut fleet = ServerPoolHealth::default();
    assert!(fleet.is_outlier(&failing));
    for _ in 0..200 {
        fleet.record(true);
    }
    assert!(!fleet.is_outlier(&failing), "all servers fail alike");
}

#[test]
fn a_zone_is_lost_only_while_another_zone_is_reachable() {
    let (lost, other) = (ZoneId(1), ZoneId(2));
    let mut zones = ZoneHealth::default();
    for server in 0..3 {
        zones.record(lost, ServerId(server), Reachability::Unreachable);
        zones.record(lost, ServerId(server), Reachability::Unreachable);
    }
    assert!(!zones.is_lost(lost), "no other zone is known");
    zones.record(other, ServerId(9), Reachability::Responded);
    assert!(zones.is_lost(lost) && !zones.is_lost(other));
    zones.record(lost, ServerId(0), Reachability::Unknown);
    assert!(zones.is_lost(lost));
    zones.retain(|server| server != ServerId(2));
    assert!(!zones.is_lost(lost));
}
