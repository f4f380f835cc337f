//! Operators' commands that have no result yet.
//!
//! A command is reported as committed only once a majority has persisted it, as rejected as soon as it is known to have
//! no effect, and otherwise as unconfirmed when its deadline passes.

use std::collections::BTreeMap;

use super::command::Rejection;
use super::{CommandRequest, CommandResult, Coordinator, CoordinatorAction, OperatorCommand};
use crate::lease::{Command, CommandId, HandoverReason, Operation, Outcome, Role};
use crate::membership::{join_names, Name};
use crate::Micros;

/// How long a command may take that an operator sent to this agent, in microseconds.
pub(super) const COMMAND_TIMEOUT: Micros = 3_000_000;
/// How long a command that another agent forwards may take, in microseconds, at either end of the call.
pub const FORWARDED_COMMAND_TIMEOUT: Micros = 2_000_000;
/// Interval between attempts at a command, in microseconds: messages and proposals can be lost, for example when the
/// leader changes.
const COMMAND_RETRY_INTERVAL: Micros = 300_000;
/// Maximum number of pending commands, which is more than the number of calls that an agent accepts at a time.
const MAX_PENDING_COMMANDS: usize = 512;

/// A command that has no result yet.
struct PendingCommand {
    request: CommandRequest,
    deadline: Micros,
    next_attempt: Micros,
    /// Whether the command was forwarded to another agent that has not answered yet.
    is_forwarded: bool,
    /// Whether an earlier attempt may still take effect: a later rejection does not mean that the command changed
    /// nothing.
    may_take_effect: bool,
    /// For [`OperatorCommand::ReleaseRole`]: the token of the lease to release, as read at the first read barrier. A
    /// later lease is not released.
    token_to_release: Option<u64>,
}

/// One attempt at a pending command.
#[derive(Clone, Copy)]
struct Attempt {
    now: Micros,
    /// The call that waits for the result.
    call: u64,
    /// The command's identifier, the same in each attempt.
    id: CommandId,
}

/// Commands that have no result yet, by the call that waits for the result.
#[derive(Default)]
pub(super) struct PendingCommands {
    open: BTreeMap<u64, PendingCommand>,
    /// The latest call for each command: only that one is answered when the command is applied.
    by_command: BTreeMap<CommandId, u64>,
}

impl PendingCommands {
    /// Answers the call that waits for an applied command.
    pub fn on_applied(
        &mut self,
        command: &Command,
        outcome: Outcome,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        if let Some(call) = self.by_command.get(&command.id).copied() {
            self.close(call, outcome.into(), actions);
        }
    }

    fn insert(&mut self, call: u64, pending: PendingCommand) {
        self.by_command.insert(pending.request.id, call);
        self.open.insert(call, pending);
    }

    fn close(&mut self, call: u64, result: CommandResult, actions: &mut Vec<CoordinatorAction>) {
        let Some(pending) = self.open.remove(&call) else {
            return;
        };
        // A later call for the same command still waits for its result.
        if self.by_command.get(&pending.request.id) == Some(&call) {
            self.by_command.remove(&pending.request.id);
        }
        actions.push(CoordinatorAction::Reply { call, result });
    }

    fn calls_to_attempt(&self, now: Micros) -> Vec<u64> {
        self.open
            .iter()
            .filter(|(_, pending)| now >= pending.next_attempt)
            .map(|(call, _)| *call)
            .collect()
    }
}

impl Coordinator {
    /// Accepts a command that an operator sent to this agent.
    pub(super) fn on_operator_command(
        &mut self,
        now: Micros,
        call: u64,
        command: OperatorCommand,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let id = self.next_command_id();
        let request = CommandRequest { id, command };
        self.submit(now, call, request, COMMAND_TIMEOUT, actions);
    }

    /// Starts a command, or rejects it if nothing can be committed now.
    pub(super) fn submit(
        &mut self,
        now: Micros,
        call: u64,
        request: CommandRequest,
        timeout: Micros,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        if let Some(rejection) = self.rejection() {
            let result = rejection.into();
            return actions.push(CoordinatorAction::Reply { call, result });
        }
        let pending = PendingCommand {
            request,
            deadline: now + timeout,
            next_attempt: now,
            is_forwarded: false,
            may_take_effect: false,
            token_to_release: None,
        };
        self.pending.insert(call, pending);
        self.retry_pending(now, actions);
    }

    /// The reason why no command can be committed now; `None` if one can.
    fn rejection(&self) -> Option<Rejection> {
        let total = self.voters().len();
        let missing = self.missing_voters();
        let present = total - missing.len();
        let is_majority = present * 2 > total;
        if total == 0 {
            Some(Rejection::NoVoters)
        } else if !is_majority {
            Some(Rejection::NoMajority {
                present,
                total,
                missing: join_names(&missing),
            })
        } else if self.pending.open.len() >= MAX_PENDING_COMMANDS {
            Some(Rejection::TooManyCalls)
        } else {
            None
        }
    }

    /// Makes the attempts that are due, and closes commands whose deadline has passed.
    pub(super) fn retry_pending(&mut self, now: Micros, actions: &mut Vec<CoordinatorAction>) {
        for call in self.pending.calls_to_attempt(now) {
            let Some(pending) = self.pending.open.get_mut(&call) else {
                continue;
            };
            if now >= pending.deadline {
                let result = self.timeout_result();
                self.pending.close(call, result, actions);
                continue;
            }
            pending.next_attempt = (now + COMMAND_RETRY_INTERVAL).min(pending.deadline);
            let CommandRequest { id, command } = pending.request.clone();
            let attempt = Attempt { now, call, id };
            if let Some(result) = self.attempt(attempt, command, actions) {
                self.pending.close(call, result, actions);
            }
        }
    }

    fn timeout_result(&self) -> CommandResult {
        let missing = self.missing_voters();
        let mut text = "not agreed in time".to_owned();
        if !missing.is_empty() {
            text.push_str(", missing ");
            text.push_str(&join_names(&missing));
        }
        CommandResult::Unconfirmed(text)
    }

    /// Attempts a command once. Returns a result if the command has taken effect already, or never will.
    fn attempt(
        &mut self,
        attempt: Attempt,
        command: OperatorCommand,
        actions: &mut Vec<CoordinatorAction>,
    ) -> Option<CommandResult> {
        if self.voter.is_none() {
            let to = self.voter_for_attempt(attempt);
            self.forward(attempt.call, to, actions);
            return None;
        }
        match command {
            OperatorCommand::Cordon { server, cordon } => {
                let operation = Operation::Cordon { server, cordon };
                self.propose_server_change(attempt, operation, actions);
                None
            }
            OperatorCommand::Uncordon { server } => {
                let operation = Operation::Uncordon { server };
                self.propose_server_change(attempt, operation, actions);
                None
            }
            OperatorCommand::ReleaseRole(role) => self.attempt_release(attempt, role, actions),
            OperatorCommand::AddVoter { voter, name } if self.leads() => {
                let rejection = self.add_voter(attempt.now, voter, &name, actions);
                self.propose_read_barrier(attempt, actions);
                rejection.map(CommandResult::from)
            }
            OperatorCommand::RemoveVoter(name) if self.leads() => {
                let rejection = self.remove_voter(attempt.now, attempt.id, &name, actions);
                self.propose_read_barrier(attempt, actions);
                rejection.map(CommandResult::from)
            }
            OperatorCommand::AddVoter { .. } | OperatorCommand::RemoveVoter(_) => {
                let leader = self.leader();
                self.forward(attempt.call, leader, actions);
                None
            }
        }
    }

    /// The voter to which an agent without a vote forwards a command: a different one in each attempt.
    fn voter_for_attempt(&self, attempt: Attempt) -> Option<Name> {
        let others = self.other_voters();
        let nth = (attempt.call + attempt.now / COMMAND_RETRY_INTERVAL) as usize;
        others.get(nth % others.len().max(1)).cloned()
    }

    fn propose_server_change(
        &mut self,
        attempt: Attempt,
        operation: Operation,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        if let Some(pending) = self.pending.open.get_mut(&attempt.call) {
            pending.may_take_effect = true;
        }
        self.propose_with_id(attempt, operation, actions);
    }

    /// Proposes an entry that changes nothing: when it is applied, [`Coordinator::on_read_barrier`] reads the state at
    /// a position that a majority has agreed on.
    fn propose_read_barrier(&mut self, attempt: Attempt, actions: &mut Vec<CoordinatorAction>) {
        self.propose_with_id(attempt, Operation::ReadBarrier, actions);
    }

    /// Proposes an operation with the identifier of the operator's command, so that it takes effect once.
    fn propose_with_id(
        &mut self,
        attempt: Attempt,
        operation: Operation,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let command = Command {
            id: attempt.id,
            operation,
        };
        self.propose(attempt.now, &command, actions);
    }

    fn attempt_release(
        &mut self,
        attempt: Attempt,
        role: Role,
        actions: &mut Vec<CoordinatorAction>,
    ) -> Option<CommandResult> {
        let Some(token) = self.pending.open.get(&attempt.call)?.token_to_release else {
            // The lease to release is read at a read barrier, as the state here may be stale.
            self.propose_read_barrier(attempt, actions);
            return None;
        };
        if self.state.last_token(role) > token {
            return Some(CommandResult::Committed(None));
        }
        // If there is no lease, the role was released and is about to be granted, which a later attempt will find.
        if let Some(lease) = self.state.leases.get(&role).cloned() {
            if lease.process == self.me.process {
                self.release(attempt.now, role, HandoverReason::OperatorRequest);
            } else {
                self.forward(attempt.call, Some(lease.holder), actions);
            }
        }
        None
    }

    /// Handles a read barrier that was applied: closes the command that waits for it if the command has taken effect.
    pub(super) fn on_read_barrier(&mut self, id: CommandId, actions: &mut Vec<CoordinatorAction>) {
        let Some(call) = self.pending.by_command.get(&id).copied() else {
            return;
        };
        let Some(pending) = self.pending.open.get_mut(&call) else {
            return;
        };
        let state = &self.state;
        let has_taken_effect = match &pending.request.command {
            OperatorCommand::AddVoter { voter, .. } => state.voters.contains_key(voter),
            OperatorCommand::RemoveVoter(name) => {
                let mut known = state.voters.values().chain(state.learners.values());
                state.has_applied_removal(&id) || !known.any(|voter| voter == name)
            }
            OperatorCommand::ReleaseRole(role) => {
                if pending.token_to_release.is_none() {
                    pending.token_to_release = Some(state.last_token(*role));
                    pending.next_attempt = 0;
                }
                false
            }
            OperatorCommand::Cordon { .. } | OperatorCommand::Uncordon { .. } => false,
        };
        if has_taken_effect {
            self.pending
                .close(call, CommandResult::Committed(None), actions);
        }
    }

    fn forward(&mut self, call: u64, to: Option<Name>, actions: &mut Vec<CoordinatorAction>) {
        let (Some(pending), Some(to)) = (self.pending.open.get_mut(&call), to) else {
            return;
        };
        if to == self.me.name || pending.is_forwarded {
            return;
        }
        pending.is_forwarded = true;
        actions.push(CoordinatorAction::Forward {
            call,
            to,
            request: pending.request.clone(),
        });
    }

    /// Handles the answer of the agent to which a command was forwarded.
    pub(super) fn on_forward_completed(
        &mut self,
        call: u64,
        result: Option<CommandResult>,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let Some(pending) = self.pending.open.get_mut(&call) else {
            return;
        };
        match result {
            Some(committed @ CommandResult::Committed(_)) => {
                self.pending.close(call, committed, actions);
            }
            Some(rejected @ CommandResult::Rejected(_)) if !pending.may_take_effect => {
                self.pending.close(call, rejected, actions);
            }
            // Until the deadline, another voter may still know the result.
            _ => {
                pending.is_forwarded = false;
                pending.may_take_effect = true;
            }
        }
    }
}
