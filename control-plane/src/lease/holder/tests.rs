use super::*;

use std::time::Duration;

use crate::lease::{CommandId, LeaseRecord};

const ROLE: Role = Role::Maintenance;
const PROCESS: u64 = 7;
const LEASE_DURATION: Micros = 1_000_000;

fn holder() -> LeaseHolder {
    let settings = LeaseSettings {
        duration: Duration::from_micros(LEASE_DURATION),
        drift: 0.05,
    };
    LeaseHolder::new("m0".parse().unwrap(), PROCESS, settings)
}

/// A state in which the process holds the role.
fn state(token: u64) -> ReplicatedState {
    let lease = LeaseRecord {
        holder: "m0".parse().unwrap(),
        process: PROCESS,
        token,
        renewals: 0,
    };
    let mut state = ReplicatedState::default();
    state.leases.insert(ROLE, lease);
    state
}

fn on_applied(
    holder: &mut LeaseHolder,
    state: &ReplicatedState,
    sequence: u64,
    operation: Operation,
) {
    let id = CommandId {
        process: PROCESS,
        sequence,
    };
    let command = Command { id, operation };
    holder.on_applied(&command, &Outcome::Applied, state);
}

/// Guards against a lease that lasts from the time at which its renewal was applied, and so outlasts the grantor's
/// wait.
#[test]
fn a_lease_lasts_from_the_proposal_of_its_renewal() {
    let (mut holder, state) = (holder(), state(5));
    let renewal = holder.renew(100, &state, 1).unwrap();
    assert_eq!(holder.active_token(100, ROLE), None, "not applied yet");
    on_applied(&mut holder, &state, 1, renewal);
    assert_eq!(holder.active_token(100 + LEASE_DURATION - 1, ROLE), Some(5));
    assert_eq!(holder.active_token(100 + LEASE_DURATION, ROLE), None);
    assert_eq!(
        holder.remaining(100 + LEASE_DURATION / 4, ROLE),
        LEASE_DURATION * 3 / 4
    );
}

/// Guards against a renewal in flight that lets a process act under a token that it has released.
#[test]
fn a_released_lease_is_not_extended_by_a_renewal_in_flight() {
    let (mut holder, state) = (holder(), state(5));
    let first = holder.renew(0, &state, 1).unwrap();
    on_applied(&mut holder, &state, 1, first);
    let in_flight = holder.renew(LEASE_DURATION / 3, &state, 2).unwrap();
    let reason = HandoverReason::Shutdown;
    assert!(holder.release(ROLE, &state, reason, 0).is_some());
    assert_eq!(
        holder.release(ROLE, &state, reason, 0),
        None,
        "already released"
    );
    on_applied(&mut holder, &state, 2, in_flight);
    assert_eq!(holder.active_token(LEASE_DURATION / 3, ROLE), None);
    assert_eq!(holder.renew(LEASE_DURATION / 2, &state, 3), None);
}
