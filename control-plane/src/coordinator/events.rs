//! The configuration, events and actions of a coordinator.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{CommandRequest, CommandResult, FleetUpdate, OperatorCommand};
use crate::consensus::{PersistedState, VoterId, WriteBatch};
use crate::lease::{Alarm, FencingTokens, Handover, LeaseSettings, RaisedAlarm, StaleToken};
use crate::membership::Name;

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// The process that runs under the name.
    pub process: u64,
    /// Its zone.
    pub zone: String,
}

/// A voter as its database has it.
pub struct PersistedVoter {
    /// Its identifier.
    pub id: VoterId,
    /// Its state.
    pub state: PersistedState,
}

/// What a coordinator starts with.
pub struct CoordinatorConfig {
    /// This agent.
    pub me: Member,
    /// The voters, as far as known without a vote; empty in a fleet without singleton roles.
    pub voters: Vec<Name>,
    /// Lease timing.
    pub lease: LeaseSettings,
    /// The interval of the log's clock.
    pub tick: Duration,
    /// Ticks without a leader before an election.
    pub election_ticks: usize,
    /// Entries after which the log is compacted into a snapshot.
    pub compact_after: u64,
    /// This agent's voter and its persisted state; `None` where it has no vote, or its state is lost or unusable.
    pub persisted: Option<PersistedVoter>,
    /// The persisted fencing tokens.
    pub fencing: FencingTokens,
    /// Determines the election timeout.
    pub seed: u64,
}

/// What a coordinator receives. A `call` identifies who waits for an answer.
#[derive(Clone, Debug)]
pub enum CoordinatorEvent {
    /// A message of another voter.
    Message(Vec<u8>),
    /// The write batch of that number is durable.
    Persisted(u64),
    /// A write batch could not be persisted.
    PersistFailed,
    /// The members that are present, this agent among them.
    Members(Vec<Member>),
    /// An operator called this agent.
    CommandReceived {
        /// The call to answer.
        call: u64,
        /// The command.
        command: OperatorCommand,
    },
    /// Another agent forwards the command of an operator.
    RequestReceived {
        /// The call to answer.
        call: u64,
        /// The command, with its identifier.
        request: CommandRequest,
    },
    /// A command that was forwarded to another agent was answered, or the call failed.
    ForwardCompleted {
        /// The call of [`CoordinatorAction::Forward`].
        call: u64,
        /// The answer; `None` where the call failed.
        result: Option<CommandResult>,
    },
    /// The holder of the maintenance role updates this agent.
    UpdateReceived {
        /// The call to answer.
        call: u64,
        /// The update.
        update: FleetUpdate,
    },
    /// An update that was sent to another agent was answered, or the call failed.
    UpdateCompleted {
        /// The other agent.
        to: Name,
        /// The version of the update.
        version: u64,
        /// The answer; `None` where the call failed.
        result: Option<Result<(), StaleToken>>,
    },
    /// The alarms that should be raised, as this agent observes the fleet.
    AlarmsObserved(BTreeMap<Alarm, RaisedAlarm>),
    /// This agent shuts down: its roles and leadership are to be handed over first.
    Stop,
    /// The time of [`Coordinator::next_wake`](super::Coordinator::next_wake) has come.
    Wake {
        /// The wall clock in milliseconds: for the end of cordons, and for display.
        wall_ms: u64,
    },
}

/// What the host has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorAction {
    /// Send a message to another voter.
    Send {
        /// The receiver.
        to: Name,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Persist a batch, then report [`CoordinatorEvent::Persisted`]. Batches are written in order.
    Persist {
        /// The batch's number.
        number: u64,
        /// The batch.
        batch: WriteBatch,
    },
    /// Forward the command of an operator to another agent.
    Forward {
        /// Returned in [`CoordinatorEvent::ForwardCompleted`].
        call: u64,
        /// The other agent.
        to: Name,
        /// The command, with its identifier.
        request: CommandRequest,
    },
    /// Answer the call of an operator or of another agent.
    Reply {
        /// The call.
        call: u64,
        /// The answer.
        result: CommandResult,
    },
    /// Send an update to another agent.
    SendUpdate {
        /// The other agent.
        to: Name,
        /// The update.
        update: FleetUpdate,
    },
    /// In this order: persist the fencing tokens, apply the update to this agent's node, answer the call.
    ApplyUpdate {
        /// The call.
        call: u64,
        /// The update.
        update: FleetUpdate,
        /// The fencing tokens.
        fencing: FencingTokens,
    },
    /// Answer an update whose token is stale. It has no effect.
    RejectUpdate {
        /// The call.
        call: u64,
        /// The token.
        stale: StaleToken,
    },
    /// A role changed its holder: for the log file.
    RoleHandedOver(Handover),
    /// An alarm was raised or cleared. One agent of the fleet reports it to operators.
    AlarmChanged {
        /// The alarm.
        alarm: Alarm,
        /// Its details; `None` where it was cleared.
        raised: Option<RaisedAlarm>,
    },
    /// The leader of the replicated log changed: for the log file.
    LeaderChanged {
        /// The term.
        term: u64,
        /// The leader; `None` while there is none, or its name is unknown.
        leader: Option<Name>,
        /// Whether it is this voter: another voter of the same name may have led before.
        is_self: bool,
    },
    /// This agent has no vote any more.
    VoteLost(VoteLostReason),
    /// This agent has handed over its roles and leadership, or gave up waiting: it may exit.
    HandoverComplete,
}

/// Why an agent lost its vote while it ran. Why one starts without a vote, its runtime logs when it opens the voter's
/// database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteLostReason {
    /// An operator removed the voter.
    Removed,
    /// Its state could not be persisted.
    PersistFailed,
    /// The replicated state has a format that this program does not read.
    UnreadableState,
}

impl VoteLostReason {
    /// The text for the log file.
    pub fn as_str(self) -> &'static str {
        match self {
            VoteLostReason::Removed => "an operator removed this voter",
            VoteLostReason::PersistFailed => "its state could not be persisted",
            VoteLostReason::UnreadableState => "the replicated state has an unsupported format",
        }
    }
}
