//! Configuration, events and actions of a coordinator.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{CommandRequest, CommandResult, FleetUpdate, OperatorCommand};
use crate::consensus::{PersistedState, VoterId, WriteBatch};
use crate::lease::{Alarm, FencingTokens, Handover, LeaseSettings, RaisedAlarm, StaleToken};
use crate::membership::Name;

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The name of the agent.
    pub name: Name,
    /// The agent process that runs under the name; another one after each restart.
    pub process: u64,
    /// The zone in which the agent runs.
    pub zone: String,
}

/// A voter as read from its database.
pub struct PersistedVoter {
    /// The voter's identifier.
    pub id: VoterId,
    /// The voter's hard state, snapshot and log.
    pub state: PersistedState,
}

/// The configuration and the persisted state with which a coordinator starts.
pub struct CoordinatorConfig {
    /// This agent.
    pub me: Member,
    /// The voters by the configuration, which are used until newer ones are known; empty in a fleet without singleton
    /// roles.
    pub voters: Vec<Name>,
    /// The duration and clock drift of leases.
    pub lease: LeaseSettings,
    /// The interval of Raft's logical clock.
    pub tick: Duration,
    /// The minimum election timeout, in ticks.
    pub election_ticks: usize,
    /// Number of applied entries after which the log is compacted into a snapshot.
    pub compact_after: u64,
    /// This agent's voter and its persisted state; `None` if the agent has no vote, or its state is lost or unusable.
    pub persisted: Option<PersistedVoter>,
    /// The highest fencing tokens that this agent has seen, as persisted.
    pub fencing: FencingTokens,
    /// Determines the voter's election timeout.
    pub seed: u64,
}

/// An input of a [`Coordinator`](super::Coordinator). A `call` identifies a request whose caller waits for a reply.
#[derive(Clone, Debug)]
pub enum CoordinatorEvent {
    /// A message from another voter.
    Message(Vec<u8>),
    /// The write batch with that number is durable.
    Persisted(u64),
    /// A write batch could not be persisted.
    PersistFailed,
    /// All members that are present, including this agent.
    Members(Vec<Member>),
    /// An operator sent a command to this agent.
    CommandReceived {
        /// The call to answer.
        call: u64,
        /// The operator's command.
        command: OperatorCommand,
    },
    /// Another agent forwarded an operator's command.
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
        /// The answer; `None` if the call failed.
        result: Option<CommandResult>,
    },
    /// The holder of the maintenance role sent an update to this agent.
    UpdateReceived {
        /// The call to answer.
        call: u64,
        /// The cordoned servers and the voters.
        update: FleetUpdate,
    },
    /// An update that was sent to another agent was answered, or the call failed.
    UpdateCompleted {
        /// The agent to which the update was sent.
        to: Name,
        /// The version of the update.
        version: u64,
        /// The answer; `None` if the call failed.
        result: Option<Result<(), StaleToken>>,
    },
    /// The alarms that should be raised, according to this agent's observation of the fleet.
    AlarmsObserved(BTreeMap<Alarm, RaisedAlarm>),
    /// This agent shuts down. It hands over its roles and its leadership first.
    Stop,
    /// The time given by [`Coordinator::next_wake`](super::Coordinator::next_wake) has been reached.
    Wake {
        /// The wall clock in milliseconds, which is used to end cordons, and for display.
        wall_ms: u64,
    },
}

/// An output of a [`Coordinator`](super::Coordinator), which its host has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorAction {
    /// Send a message to another voter.
    Send {
        /// The agent of the receiving voter.
        to: Name,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// Persist a batch, then report [`CoordinatorEvent::Persisted`]. Batches are written in order.
    Persist {
        /// The number to report once the batch is durable.
        number: u64,
        /// The changes to write in one transaction.
        batch: WriteBatch,
    },
    /// Forward an operator's command to another agent.
    Forward {
        /// The call number to report in [`CoordinatorEvent::ForwardCompleted`].
        call: u64,
        /// The agent to which the command is forwarded.
        to: Name,
        /// The command, with its identifier.
        request: CommandRequest,
    },
    /// Answer the call of an operator or of another agent.
    Reply {
        /// The call to answer.
        call: u64,
        /// The result of the command.
        result: CommandResult,
    },
    /// Send an update to another agent.
    SendUpdate {
        /// The agent to update.
        to: Name,
        /// The cordoned servers and the voters.
        update: FleetUpdate,
    },
    /// In this order: persist the fencing tokens, apply the update to this agent's node, answer the call.
    ApplyUpdate {
        /// The call to answer.
        call: u64,
        /// The update to apply.
        update: FleetUpdate,
        /// The fencing tokens to persist.
        fencing: FencingTokens,
    },
    /// Reject an update whose fencing token is stale. The update has no effect.
    RejectUpdate {
        /// The call to answer.
        call: u64,
        /// The update's token and the highest token seen.
        stale: StaleToken,
    },
    /// Log that a role changed its holder.
    RoleHandedOver(Handover),
    /// Log that an alarm was raised or cleared. Only one agent of the fleet receives this action for a change.
    AlarmChanged {
        /// The alarm that was raised or cleared.
        alarm: Alarm,
        /// The alarm's details; `None` if it was cleared.
        raised: Option<RaisedAlarm>,
    },
    /// Log that the leader of the replicated log changed.
    LeaderChanged {
        /// The current term.
        term: u64,
        /// The leader; `None` while there is none, or its name is unknown.
        leader: Option<Name>,
        /// Whether the leader is this voter. The name does not tell: another voter with the same name may lead.
        is_self: bool,
    },
    /// This agent has no vote any more.
    VoteLost(VoteLostReason),
    /// This agent has handed over its roles and leadership, or the handover timed out: it may exit.
    HandoverComplete,
}

/// Why an agent lost its vote while it was running. Why an agent starts without a vote is logged by the runtime when it
/// opens the voter's database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteLostReason {
    /// An operator removed the voter.
    Removed,
    /// The voter's state could not be persisted.
    PersistFailed,
    /// A snapshot of the replicated state has a format that this program does not read.
    UnreadableState,
}

impl VoteLostReason {
    /// The reason as it is written to the log file.
    pub fn as_str(self) -> &'static str {
        match self {
            VoteLostReason::Removed => "an operator removed this voter",
            VoteLostReason::PersistFailed => "the voter's state could not be persisted",
            VoteLostReason::UnreadableState => "the replicated state has an unsupported format",
        }
    }
}
