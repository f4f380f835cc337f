//! The replicated state machine, to which the committed entries of the log are applied.
//!
//! Invariant: every voter applies the same entries in the same order and reaches the same state, so nothing here may
//! read a clock or depend on anything but the entries. The state is stored and sent in `postcard` encoding, which
//! identifies fields by position: their order must not change.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::{
    Alarm, Command, CommandId, Cordon, Handover, HandoverReason, Operation, Outcome, RaisedAlarm,
    Role, RoleToken,
};
use crate::consensus::{ConfigurationChange, ConfigurationChangeKind, EntryPayload, VoterId};
use crate::membership::Name;

/// Maximum number of commands whose outcome is remembered, so that a retry takes effect once.
const MAX_REMEMBERED_COMMANDS: usize = 1_024;
/// Maximum number of cordoned servers.
const MAX_CORDONED: usize = 1_000;
/// Maximum number of remembered removals of voters, by request and by voter each.
const MAX_REMEMBERED_REMOVALS: usize = 64;
/// Maximum number of handovers that are remembered for display.
const MAX_REMEMBERED_HANDOVERS: usize = 32;
/// The format version of a serialized state, which is its first byte.
const FORMAT: u8 = 1;

/// The context of a configuration change, which is stored with the change in the log.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct VoterChangeContext {
    /// The voter's name.
    pub name: Name,
    /// The operator's request for the removal of the voter; `None` for any other change.
    pub request: Option<CommandId>,
}

/// A lease on a role.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The name of the holder.
    pub holder: Name,
    /// Number of the holder's process, as in [`Identity::process`](crate::membership::Identity::process).
    pub process: u64,
    /// The fencing token, which is higher for every later grant.
    pub token: u64,
    /// Number of renewals under this token.
    pub renewals: u64,
}

/// The outcome of a command, remembered for its retries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct RememberedOutcome {
    id: CommandId,
    outcome: Outcome,
}

/// A command that was applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedCommand {
    /// The command.
    pub command: Command,
    /// The command's outcome.
    pub outcome: Outcome,
}

/// The version of a role's lease, which changes with every grant and renewal. A grant takes effect only if the grantor
/// has read the current version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LeaseVersion {
    pub token: u64,
    pub renewals: u64,
}

/// The replicated state machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// The index of the last applied entry.
    pub index: u64,
    /// The names of the voters.
    pub voters: BTreeMap<VoterId, Name>,
    /// The names of the learners, which replicate the log and have no vote yet.
    pub learners: BTreeMap<VoterId, Name>,
    /// The current lease on each role. An expired one stays until it is renewed or the role is granted again.
    pub leases: BTreeMap<Role, LeaseRecord>,
    /// The last lease that was granted on each role, released or not.
    pub last_leases: BTreeMap<Role, LeaseRecord>,
    /// The latest handovers, the newest last.
    pub handovers: VecDeque<Handover>,
    /// Cordoned servers, by identifier.
    pub cordoned: BTreeMap<String, Cordon>,
    /// Raised alarms with their details.
    pub alarms: BTreeMap<Alarm, RaisedAlarm>,
    /// The index of the entry that last changed the cordoned servers or the voters: a version that only grows.
    pub version: u64,
    outcomes: VecDeque<RememberedOutcome>,
    /// Requests that removed a voter: a retry must not remove a voter that has joined under the same name since.
    removal_requests: VecDeque<CommandId>,
    /// Removed voters: a delayed request to join must not add them again.
    removed_voters: VecDeque<VoterId>,
}

impl ReplicatedState {
    /// The initial state of a fleet with these founding voters.
    pub fn bootstrap(voters: BTreeMap<VoterId, Name>) -> ReplicatedState {
        ReplicatedState {
            index: 1,
            voters,
            version: 1,
            ..ReplicatedState::default()
        }
    }

    /// Serializes the state for a snapshot.
    pub fn to_bytes(&self) -> Vec<u8> {
        // Serializing plain data into memory does not fail.
        postcard::to_stdvec(&(FORMAT, self)).unwrap_or_default()
    }

    /// Deserializes a snapshot; `None` if it is unreadable or of another format. The caller must not take that for an
    /// empty state.
    pub fn from_bytes(bytes: &[u8]) -> Option<ReplicatedState> {
        match bytes.first() {
            Some(&FORMAT) => postcard::from_bytes(&bytes[1..]).ok(),
            _ => None,
        }
    }

    /// Applies the next entry. An entry that does not decode changes nothing, in the same way at every voter.
    ///
    /// Returns the command with its outcome; `None` for a configuration change, and for an entry that does not decode.
    pub fn apply(&mut self, index: u64, payload: &EntryPayload) -> Option<AppliedCommand> {
        self.index = index;
        let data = match payload {
            EntryPayload::Command(data) => data,
            EntryPayload::ConfigurationChange(change) => {
                self.apply_configuration_change(index, change);
                return None;
            }
        };
        let command: Command = postcard::from_bytes(data).ok()?;
        if let Some(first) = self.outcomes.iter().find(|first| first.id == command.id) {
            let outcome = Outcome::Duplicate(Box::new(first.outcome.clone()));
            return Some(AppliedCommand { command, outcome });
        }
        let outcome = self.apply_operation(index, &command.operation);
        // Renewals are not remembered: they are retried under new identifiers, and would displace the operators'
        // commands.
        if !matches!(command.operation, Operation::RenewLeases(_)) {
            let remembered = RememberedOutcome {
                id: command.id,
                outcome: outcome.clone(),
            };
            push_bounded(&mut self.outcomes, remembered, MAX_REMEMBERED_COMMANDS);
        }
        Some(AppliedCommand { command, outcome })
    }

    /// Applies a configuration change, after which the member is a voter, a learner or neither.
    fn apply_configuration_change(&mut self, index: u64, change: &ConfigurationChange) {
        self.version = index;
        self.voters.remove(&change.voter);
        let learner = self.learners.remove(&change.voter);
        let context = postcard::from_bytes::<VoterChangeContext>(&change.context).ok();
        if let Some(request) = context.as_ref().and_then(|context| context.request) {
            let requests = &mut self.removal_requests;
            push_bounded(requests, request, MAX_REMEMBERED_REMOVALS);
        }
        // If the context does not decode, a learner that becomes a voter keeps its name.
        let name = context.map(|context| context.name).or(learner);
        match (change.kind, name) {
            (ConfigurationChangeKind::Remove, _) => {
                let removed = &mut self.removed_voters;
                push_bounded(removed, change.voter, MAX_REMEMBERED_REMOVALS);
            }
            (ConfigurationChangeKind::AddLearner, Some(name)) => {
                self.learners.insert(change.voter, name);
            }
            (ConfigurationChangeKind::AddVoter, Some(name)) => {
                self.voters.insert(change.voter, name);
            }
            (_, None) => {}
        }
    }

    /// Whether this request has removed a voter.
    pub fn has_applied_removal(&self, request: &CommandId) -> bool {
        self.removal_requests.contains(request)
    }

    /// Whether this voter was removed before.
    pub fn was_removed(&self, voter: VoterId) -> bool {
        self.removed_voters.contains(&voter)
    }

    fn apply_operation(&mut self, index: u64, operation: &Operation) -> Outcome {
        match operation {
            Operation::GrantLease {
                role,
                to,
                process,
                observed_token,
                observed_renewals,
                at_ms,
            } => {
                let observed = LeaseVersion {
                    token: *observed_token,
                    renewals: *observed_renewals,
                };
                if self.lease_version(*role) != observed {
                    return Outcome::Superseded;
                }
                // The index of the entry serves as the fencing token: it is unique, and higher in every later entry.
                let lease = LeaseRecord {
                    holder: to.clone(),
                    process: *process,
                    token: index,
                    renewals: 0,
                };
                self.grant(*role, lease, *at_ms)
            }
            Operation::RenewLeases(tokens) => self.renew(tokens),
            Operation::ReleaseLease {
                role,
                token,
                reason,
                at_ms,
            } => self.release(*role, *token, *reason, *at_ms),
            Operation::Cordon { server, cordon } => self.cordon(index, server, cordon),
            Operation::Uncordon { server } => self.uncordon(index, server),
            Operation::ReadBarrier => Outcome::Applied,
            Operation::UpdateAlarm { alarm, raised } => self.update_alarm(alarm, raised.as_ref()),
        }
    }

    fn grant(&mut self, role: Role, lease: LeaseRecord, at_ms: u64) -> Outcome {
        let was_granted = self.last_leases.contains_key(&role);
        let reason = if self.leases.contains_key(&role) {
            HandoverReason::LeaseExpired
        } else if was_granted {
            HandoverReason::Released
        } else {
            HandoverReason::FirstGrant
        };
        let to = lease.holder.clone();
        let token = lease.token;
        let previous = self.last_leases.insert(role, lease.clone());
        self.leases.insert(role, lease);
        self.record_handover(Handover {
            role,
            from: previous.map(|lease| lease.holder),
            to: Some(to),
            token,
            reason,
            at_ms,
        });
        Outcome::Applied
    }

    fn renew(&mut self, tokens: &[RoleToken]) -> Outcome {
        let mut outcome = Outcome::Applied;
        for RoleToken { role, token } in tokens {
            let lease = self.leases.get_mut(role);
            match lease.filter(|lease| lease.token == *token) {
                Some(lease) => lease.renewals += 1,
                None => outcome = Outcome::Superseded,
            }
        }
        outcome
    }

    fn release(&mut self, role: Role, token: u64, reason: HandoverReason, at_ms: u64) -> Outcome {
        if !self.has_lease(role, token) {
            return Outcome::Superseded;
        }
        let from = self.leases.remove(&role).map(|lease| lease.holder);
        self.record_handover(Handover {
            role,
            from,
            to: None,
            token,
            reason,
            at_ms,
        });
        Outcome::Applied
    }

    fn cordon(&mut self, index: u64, server: &str, cordon: &Cordon) -> Outcome {
        if self.cordoned.len() >= MAX_CORDONED && !self.cordoned.contains_key(server) {
            return Outcome::LimitReached;
        }
        let previous = self.cordoned.insert(server.to_owned(), cordon.clone());
        self.version = index;
        Outcome::ServerUpdated(previous)
    }

    fn uncordon(&mut self, index: u64, server: &str) -> Outcome {
        let previous = self.cordoned.remove(server);
        if previous.is_some() {
            self.version = index;
        }
        Outcome::ServerUpdated(previous)
    }

    fn update_alarm(&mut self, alarm: &Alarm, raised: Option<&RaisedAlarm>) -> Outcome {
        let changed = match raised {
            Some(_) if self.alarms.contains_key(alarm) => false,
            Some(raised) => {
                self.alarms.insert(alarm.clone(), raised.clone());
                true
            }
            None => self.alarms.remove(alarm).is_some(),
        };
        if changed {
            Outcome::Applied
        } else {
            Outcome::Superseded
        }
    }

    fn record_handover(&mut self, handover: Handover) {
        push_bounded(&mut self.handovers, handover, MAX_REMEMBERED_HANDOVERS);
    }

    /// The last fencing token of a role, whether its lease was released or not; 0 if the role was never granted.
    pub fn last_token(&self, role: Role) -> u64 {
        self.last_leases.get(&role).map_or(0, |lease| lease.token)
    }

    /// Whether the role has a lease with this token.
    pub fn has_lease(&self, role: Role, token: u64) -> bool {
        let lease = self.leases.get(&role);
        lease.is_some_and(|lease| lease.token == token)
    }

    /// The version of a role's lease. A released lease has its last token and 0 renewals.
    pub(super) fn lease_version(&self, role: Role) -> LeaseVersion {
        match self.leases.get(&role) {
            Some(lease) => LeaseVersion {
                token: lease.token,
                renewals: lease.renewals,
            },
            None => LeaseVersion {
                token: self.last_token(role),
                renewals: 0,
            },
        }
    }

    /// The roles that a process holds, in the order of [`Role::ALL`].
    pub fn roles_of(&self, process: u64) -> impl Iterator<Item = RoleToken> + '_ {
        Role::ALL.into_iter().filter_map(move |role| {
            let lease = self.leases.get(&role)?;
            let token = lease.token;
            (lease.process == process).then_some(RoleToken { role, token })
        })
    }
}

/// Appends to a bounded queue, which drops its oldest element when it is full.
fn push_bounded<T>(queue: &mut VecDeque<T>, element: T, capacity: usize) {
    if queue.len() >= capacity {
        queue.pop_front();
    }
    queue.push_back(element);
}

#[cfg(test)]
mod tests;
