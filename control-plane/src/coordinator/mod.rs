//! The coordinator of an agent: it runs the agent's voter, holds and grants leases on singleton roles, has operators'
//! commands committed, and distributes the cordoned servers to all agents.
//!
//! It does no I/O and reads no clock: it takes events and the current time, and returns actions.

mod command;
mod events;
mod pending;
mod replication;
mod report;
mod tick;
mod updates;
mod voter_changes;
mod voters;

use std::collections::BTreeMap;

use crate::consensus::{
    ConsensusEvent, ConsensusSettings, PersistedState, Voter, VoterError, VoterId,
};
use crate::lease::{
    Alarm, Command, CommandId, FencingTokens, LeaseGrantor, LeaseHolder, Operation, RaisedAlarm,
    ReplicatedState, Role, StaleToken,
};
use crate::membership::Name;
use crate::Micros;

pub use command::{CommandRequest, CommandResult, OperatorCommand};
pub use events::{
    CoordinatorAction, CoordinatorConfig, CoordinatorEvent, Member, PersistedVoter, VoteLostReason,
};
use pending::PendingCommands;
pub use pending::FORWARDED_COMMAND_TIMEOUT;
pub use report::{AlarmReport, CoordinatorReport, RoleReport};
use tick::PendingRelease;
pub use updates::FleetUpdate;
use updates::FleetUpdates;
use voter_changes::JoinAttempts;
pub use voters::{bootstrap, joining_id, voter_id};

/// This agent's voter.
struct LocalVoter {
    id: VoterId,
    voter: Voter,
}

/// A shutdown in progress.
#[derive(Clone, Copy)]
struct Stopping {
    since: Micros,
    /// Whether [`CoordinatorAction::HandoverComplete`] was returned.
    handed_over: bool,
}

/// The coordinator of an agent.
pub struct Coordinator {
    me: Member,
    /// The voters named in the configuration.
    configured_voters: Vec<Name>,
    /// This agent's voter; `None` if the agent has no vote.
    voter: Option<LocalVoter>,
    /// The names of voters, as learned from their messages.
    peer_names: BTreeMap<VoterId, Name>,
    join_attempts: JoinAttempts,
    /// The replicated state as this agent's voter applied it. Without a vote it stays empty, or as it was when the vote
    /// was lost.
    state: ReplicatedState,
    holder: LeaseHolder,
    grantor: LeaseGrantor,
    fencing: FencingTokens,
    /// The members that are present, including this agent.
    members: Vec<Member>,
    /// The sequence number of the last command that this process issued; 0 before the first.
    last_sequence: u64,
    pending: PendingCommands,
    updates: FleetUpdates,
    releases: Vec<PendingRelease>,
    /// The alarms that should be raised, according to this agent's observation of the fleet.
    observed_alarms: BTreeMap<Alarm, RaisedAlarm>,
    next_alarm_update: Micros,
    stopping: Option<Stopping>,
    next_tick: Micros,
    /// The wall clock at the last wake, in milliseconds.
    wall_ms: u64,
}

impl Coordinator {
    /// Creates a coordinator. It runs a voter if `config` has one; a voter with an empty state requests to join.
    ///
    /// # Errors
    ///
    /// [`VoterError`] if the voter's state can't be used.
    pub fn new(config: CoordinatorConfig, now: Micros) -> Result<Coordinator, VoterError> {
        let mut state = ReplicatedState::default();
        let mut voter = None;
        if let Some(persisted) = config.persisted {
            state = restored_state(&persisted.state)?;
            let settings = ConsensusSettings {
                me: persisted.id,
                tick: config.tick,
                election_ticks: config.election_ticks,
                compact_after: config.compact_after,
            };
            voter = Some(LocalVoter {
                id: persisted.id,
                voter: Voter::new(settings, persisted.state, config.seed, now)?,
            });
        }
        let holder = LeaseHolder::new(config.me.name.clone(), config.me.process, config.lease);
        Ok(Coordinator {
            me: config.me,
            configured_voters: config.voters,
            voter,
            peer_names: BTreeMap::new(),
            join_attempts: JoinAttempts::default(),
            state,
            holder,
            grantor: LeaseGrantor::new(config.lease, &Role::ALL),
            fencing: config.fencing,
            members: Vec::new(),
            last_sequence: 0,
            pending: PendingCommands::default(),
            updates: FleetUpdates::default(),
            releases: Vec::new(),
            observed_alarms: BTreeMap::new(),
            next_alarm_update: now,
            stopping: None,
            next_tick: now,
            wall_ms: 0,
        })
    }

    /// When [`CoordinatorEvent::Wake`] is due; [`Micros::MAX`] in a fleet without voters.
    pub fn next_wake(&self) -> Micros {
        let Some(local) = &self.voter else {
            let idle = self.configured_voters.is_empty() && self.stopping.is_none();
            return if idle { Micros::MAX } else { self.next_tick };
        };
        self.next_tick.min(local.voter.next_wake())
    }

    /// The fencing token under which this agent may act now; `None` if it may not.
    pub fn active_token(&self, now: Micros, role: Role) -> Option<u64> {
        self.holder.active_token(now, role)
    }

    /// The replicated state as this agent's voter applied it. Without a vote it is empty, or as it was when the vote
    /// was lost.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Whether this agent's voter is the leader, as far as it knows.
    pub fn leads(&self) -> bool {
        let local = self.voter.as_ref();
        local.is_some_and(|local| local.voter.leading_term().is_some())
    }

    /// Checks the fencing token of a query that another agent makes in a role. A query changes nothing here, so its
    /// token need not be persisted before the answer.
    ///
    /// # Errors
    ///
    /// [`StaleToken`] if a higher token was seen.
    pub fn check_token(&mut self, role: Role, token: u64) -> Result<(), StaleToken> {
        self.fencing.check(role, token).map(|_| ())
    }

    /// The agent to query about a role: its holder, or a voter that may know the holder. `None` if this agent is the
    /// holder, or knows neither.
    pub fn agent_to_ask(&self, role: Role) -> Option<Name> {
        match self.state.leases.get(&role) {
            Some(lease) => Some(lease.holder.clone()).filter(|holder| *holder != self.me.name),
            None => self
                .other_voters()
                .into_iter()
                .min_by(|one, other| one.as_str().cmp(other.as_str())),
        }
    }

    /// Handles an event and appends the actions that the host has to carry out, in order.
    pub fn on_event(
        &mut self,
        now: Micros,
        event: CoordinatorEvent,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        match event {
            CoordinatorEvent::Message(bytes) => self.on_message(now, &bytes, actions),
            CoordinatorEvent::Persisted(number) => {
                self.step_voter(now, ConsensusEvent::Persisted(number), actions);
            }
            // A voter that can't persist its state must neither vote nor acknowledge entries.
            CoordinatorEvent::PersistFailed => {
                self.lose_vote(VoteLostReason::PersistFailed, actions)
            }
            CoordinatorEvent::Members(members) => self.members = members,
            CoordinatorEvent::CommandReceived { call, command } => {
                self.on_operator_command(now, call, command, actions);
            }
            CoordinatorEvent::RequestReceived { call, request } => {
                self.submit(now, call, request, FORWARDED_COMMAND_TIMEOUT, actions);
            }
            CoordinatorEvent::ForwardCompleted { call, result } => {
                self.on_forward_completed(call, result, actions);
            }
            CoordinatorEvent::UpdateReceived { call, update } => {
                self.on_update(call, update, actions)
            }
            CoordinatorEvent::UpdateCompleted {
                to,
                version,
                result,
            } => self.updates.on_completed(now, &to, version, result),
            CoordinatorEvent::AlarmsObserved(alarms) => self.observed_alarms = alarms,
            CoordinatorEvent::Stop => self.on_stop(now),
            CoordinatorEvent::Wake { wall_ms } => self.on_wake(now, wall_ms, actions),
        }
    }

    fn on_stop(&mut self, now: Micros) {
        self.stopping.get_or_insert(Stopping {
            since: now,
            handed_over: false,
        });
        self.next_tick = now;
    }

    fn is_present(&self, name: &Name) -> bool {
        self.members.iter().any(|member| member.name == *name)
    }

    /// The identifier of a new command of this process.
    fn next_command_id(&mut self) -> CommandId {
        self.last_sequence += 1;
        CommandId {
            process: self.me.process,
            sequence: self.last_sequence,
        }
    }

    /// A new command of this process.
    fn command(&mut self, operation: Operation) -> Command {
        Command {
            id: self.next_command_id(),
            operation,
        }
    }
}

/// The replicated state in a voter's snapshot; an empty one if there is no snapshot.
fn restored_state(persisted: &PersistedState) -> Result<ReplicatedState, VoterError> {
    if persisted.snapshot.index == 0 {
        return Ok(ReplicatedState::default());
    }
    ReplicatedState::from_bytes(&persisted.snapshot.data).ok_or(VoterError::InconsistentState)
}

#[cfg(test)]
mod tests;
