use super::*;

use std::collections::BTreeSet;
use std::time::Duration;

use crate::lease::LeaseRecord;

const ROLE: Role = Role::Maintenance;

fn settings() -> LeaseSettings {
    LeaseSettings {
        duration: Duration::from_secs(1),
        drift: 0.05,
    }
}

fn candidate(name: &str, process: u64, zone: &str) -> Candidate {
    Candidate {
        name: name.parse().unwrap(),
        process,
        zone: zone.to_owned(),
    }
}

fn lease(name: &str, process: u64) -> LeaseRecord {
    LeaseRecord {
        holder: name.parse().unwrap(),
        process,
        token: 5,
        renewals: 3,
    }
}

/// A state in which a process of `m0` holds the role.
fn state() -> ReplicatedState {
    let mut state = ReplicatedState::default();
    state.leases.insert(ROLE, lease("m0", 1));
    state.last_leases.insert(ROLE, lease("m0", 1));
    state
}

fn grantee(grant: &Operation) -> &str {
    match grant {
        Operation::GrantLease { to, .. } => to.as_str(),
        other => panic!("{other:?}"),
    }
}

/// Guards against a new leader that grants a role whose lease may not have expired yet.
#[test]
fn a_held_role_is_granted_only_after_the_wait_and_only_by_the_leader() {
    let state = state();
    let candidates = [candidate("m0", 1, "a"), candidate("m1", 2, "a")];
    let mut grantor = LeaseGrantor::new(settings(), &[ROLE]);
    grantor.on_applied(0, &state);
    assert_eq!(grantor.grantable_at(ROLE, &state), None, "not the leader");
    grantor.set_leading(500, true);
    let at = 500 + settings().grantor_wait();
    assert_eq!(grantor.grantable_at(ROLE, &state), Some(at));
    assert_eq!(grantor.grant(at - 1, &state, &candidates, 0), []);
    let grants = grantor.grant(at, &state, &candidates, 0);
    assert_eq!(grants.len(), 1);
    assert_eq!(grantee(&grants[0]), "m1", "not its last holder");
    assert_eq!(
        grantor.grant(at, &state, &candidates, 0),
        [],
        "the proposal is in flight"
    );
}

/// Guards against the loss of all roles with a single zone.
#[test]
fn roles_are_spread_over_processes_and_zones() {
    let candidates = [
        candidate("m0", 1, "a"),
        candidate("m1", 2, "a"),
        candidate("m2", 3, "b"),
    ];
    let mut grantor = LeaseGrantor::new(settings(), &Role::ALL);
    grantor.set_leading(0, true);
    let grants = grantor.grant(0, &ReplicatedState::default(), &candidates, 0);
    let grantees: BTreeSet<&str> = grants.iter().map(grantee).collect();
    assert_eq!(grantees, ["m0", "m1", "m2"].into(), "one each");
    let first_two: BTreeSet<&str> = grants[..2].iter().map(grantee).collect();
    assert!(first_two.contains("m2"), "one in each zone first");
}

/// Guards against a wait that, by a fast grantor's clock, ends before the lease does by a slow holder's clock.
#[test]
fn the_wait_covers_the_drift_of_both_clocks() {
    let settings = settings();
    let latest_expiry = settings.holder_duration() as f64 / (1.0 - settings.drift);
    let earliest_grant = settings.grantor_wait() as f64 / (1.0 + settings.drift);
    assert!(earliest_grant >= latest_expiry);
}
