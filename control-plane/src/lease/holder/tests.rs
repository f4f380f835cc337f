use super::*;

use std::time::Duration;

use crate::lease::{CommandId, LeaseRecord};

const ROLE: Role = Role::Maintenance;
const PROCESS: u64 = 7;
const LEASE: Micros = 1_000_000;

fn holder() -> LeaseHolder {
    let settings = LeaseSettings {
        duration: Duration::from_micros(LEASE),
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

/// Guards against a lease that counts from when its renewal was applied, and so outlasts the grantor's wait.
#[test]
fn a_lease_counts_from_when_its_renewal_was_proposed() {
    let (mut holder, state) = (holder(), state(5));
    let renewal = holder.renew(100, &state, 1).unwrap();
    assert_eq!(holder.active_token(100, ROLE), None, "proposed, not agreed");
    on_applied(&mut holder, &state, 1, renewal);
    assert_eq!(holder.active_token(100 + LEASE - 1, ROLE), Some(5));
    assert_eq!(holder.active_token(100 + LEASE, ROLE), None);
    assert_eq!(holder.remaining(100 + LEASE / 4, ROLE), LEASE * 3 / 4);
}

/// Guards against a renewal under way that lets a process act under a token that it has released.
#[test]
fn a_released_role_is_not_extended_by_a_renewal_under_way() {
    let (mut holder, state) = (holder(), state(5));
    let first = holder.renew(0, &state, 1).unwrap();
    on_applied(&mut holder, &state, 1, first);
    let under_way = holder.renew(LEASE / 3, &state, 2).unwrap();
    let reason = HandoverReason::Shutdown;
    assert!(holder.release(ROLE, &state, reason, 0).is_some());
    assert_eq!(holder.release(ROLE, &state, reason, 0), None, "once");
    on_applied(&mut holder, &state, 2, under_way);
    assert_eq!(holder.active_token(LEASE / 3, ROLE), None);
    assert_eq!(holder.renew(LEASE / 2, &state, 3), None);
}
