use super::*;

const ROLE: Role = Role::Maintenance;

fn apply(state: &mut ReplicatedState, sequence: u64, operation: Operation) -> Outcome {
    let id = CommandId {
        process: 1,
        sequence,
    };
    let command = Command { id, operation };
    let bytes = postcard::to_stdvec(&command).unwrap();
    state
        .apply(state.index + 1, &EntryPayload::Command(bytes))
        .unwrap()
        .outcome
}

fn grant(observed_token: u64, observed_renewals: u64) -> Operation {
    Operation::GrantLease {
        role: ROLE,
        to: "m0".parse().unwrap(),
        process: 7,
        observed_token,
        observed_renewals,
        at_ms: 0,
    }
}

fn renew(token: u64) -> Operation {
    Operation::RenewLeases(vec![RoleToken { role: ROLE, token }])
}

/// Guards against a role that is granted to another process although its holder has renewed the lease meanwhile.
#[test]
fn a_grant_based_on_an_outdated_lease_version_is_superseded() {
    let mut state = ReplicatedState::default();
    assert_eq!(apply(&mut state, 1, grant(0, 0)), Outcome::Applied);
    let token = state.last_token(ROLE);
    assert_eq!(apply(&mut state, 2, renew(token)), Outcome::Applied);
    assert_eq!(apply(&mut state, 3, grant(token, 0)), Outcome::Superseded);
    assert_eq!(apply(&mut state, 4, grant(token, 1)), Outcome::Applied);
    assert!(state.last_token(ROLE) > token);
    assert_eq!(apply(&mut state, 5, renew(token)), Outcome::Superseded);
    let reasons: Vec<HandoverReason> = state.handovers.iter().map(|h| h.reason).collect();
    assert_eq!(
        reasons,
        [HandoverReason::FirstGrant, HandoverReason::LeaseExpired]
    );
}

/// Guards against a retry that takes effect a second time.
#[test]
fn a_repeated_command_returns_its_first_outcome() {
    let mut state = ReplicatedState::default();
    let cordon = Operation::Cordon {
        server: "api-1".into(),
        cordon: Cordon {
            operator: "ana".into(),
            reason: "disk".into(),
            since_ms: 1,
            until_ms: None,
        },
    };
    let uncordon = Operation::Uncordon {
        server: "api-1".into(),
    };
    let first = apply(&mut state, 1, cordon.clone());
    assert_eq!(first, Outcome::ServerUpdated(None));
    apply(&mut state, 2, uncordon);
    let repeated = apply(&mut state, 1, cordon);
    assert_eq!(repeated, Outcome::Duplicate(Box::new(first)));
    assert!(state.cordoned.is_empty());
}

/// Guards against a snapshot of another format that is taken for an empty state.
#[test]
fn a_snapshot_is_read_back_and_another_format_is_rejected() {
    let mut state = ReplicatedState::default();
    apply(&mut state, 1, grant(0, 0));
    let mut bytes = state.to_bytes();
    assert_eq!(ReplicatedState::from_bytes(&bytes), Some(state));
    bytes[0] += 1;
    assert_eq!(ReplicatedState::from_bytes(&bytes), None);
    assert_eq!(ReplicatedState::from_bytes(&[]), None);
}
