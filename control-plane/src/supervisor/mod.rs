//! Supervises the node's process beside an agent: when it is started, queried, terminated and restarted.
//!
//! - A process that exits, for whatever reason, is started again after a backoff, and later if the limit on starts per
//!   minute is reached. It is not started again once the agent shuts down.
//! - A process is terminated if it is not ready within `ready_timeout` of its start, or if it answers no status query
//!   for `unresponsive_timeout`, which is checked when a query times out. Any HTTP response is an answer. A process
//!   that was ready and then answers that it is not ready is on standby, and is left alone.
//! - A process that was asked to exit and has not done so by its deadline is killed.
//!
//! The supervisor is a pure state machine for one process at a time, without I/O or a clock. The host identifies the
//! process and carries out the [`SupervisorAction`]s.

mod event;
mod restart;
mod settings;

pub use event::{Status, SupervisorAction, SupervisorEvent};
use restart::RestartHistory;
pub use settings::SupervisorSettings;

use crate::membership::NodeState;
use crate::{micros, Micros};

/// Time that an unresponsive process has to exit before it is killed. It cannot be expected to drain.
const UNRESPONSIVE_GRACE: Micros = 2_000_000;
/// Longest time for which clients are left waiting in the listening socket's queue for a restart. For longer delays the
/// socket is closed.
const MAX_LISTEN_QUEUE_WAIT: Micros = 1_000_000;

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// No process is running; one is started at `until`.
    BackingOff { until: Micros },
    /// The host is starting a process.
    Starting,
    /// A process is running.
    Running(Running),
    /// The process was asked to exit, and is killed once if it has not by `kill_at`.
    Terminating { kill_at: Micros, killed: bool },
    /// No process is running, and none is to be started.
    Finished,
}

/// A running process.
#[derive(Clone, Debug, PartialEq)]
struct Running {
    /// When this agent started or adopted the process.
    started_at: Micros,
    /// When the process was first ready; `None` if it has not been ready yet.
    ready_since: Option<Micros>,
    /// When the process last answered a status query; before the first answer, when it was started or adopted.
    last_answer: Micros,
}

/// Supervises the process of one node.
#[derive(Debug)]
pub struct Supervisor {
    settings: SupervisorSettings,
    phase: Phase,
    /// Whether the agent is shutting down. No process is started any more.
    shutting_down: bool,
    /// When the process is queried next, unless a query is in flight.
    next_query: Micros,
    /// At most one query is in flight, so that a slow process is not queried more often.
    query_in_flight: bool,
    restarts: RestartHistory,
    /// The state of the node that was reported last.
    state: NodeState,
}

impl Supervisor {
    /// A supervisor without a process; [`SupervisorEvent::Begin`] starts or adopts one.
    pub fn new(settings: SupervisorSettings) -> Supervisor {
        Supervisor {
            settings,
            phase: Phase::Finished,
            shutting_down: false,
            next_query: Micros::MAX,
            query_in_flight: false,
            restarts: RestartHistory::default(),
            state: NodeState::Stopped,
        }
    }

    /// When the host has to deliver [`SupervisorEvent::Wake`]; [`Micros::MAX`] for never.
    pub fn next_wake(&self) -> Micros {
        match &self.phase {
            Phase::BackingOff { until } => *until,
            Phase::Running(process) if process.ready_since.is_none() => {
                self.next_query_at().min(self.ready_deadline(process))
            }
            Phase::Running(_) => self.next_query_at(),
            Phase::Terminating {
                kill_at,
                killed: false,
            } => *kill_at,
            Phase::Terminating { .. } | Phase::Starting | Phase::Finished => Micros::MAX,
        }
    }

    /// Handles an event and appends the actions it causes, in order.
    pub fn on_event(
        &mut self,
        now: Micros,
        event: SupervisorEvent,
        actions: &mut Vec<SupervisorAction>,
    ) {
        match event {
            SupervisorEvent::Begin { adopted: Some(pid) } => {
                self.enter_running(now);
                let note = format!("adopted process {pid}");
                self.report(NodeState::Starting, note, actions);
            }
            SupervisorEvent::Begin { adopted: None } => self.start(now, actions),
            SupervisorEvent::Started(pid) => self.on_started(now, pid, actions),
            SupervisorEvent::StartFailed(reason) => {
                self.on_exited(now, format!("can't be started: {reason}"), actions);
            }
            SupervisorEvent::Exited(description) => self.on_exited(now, description, actions),
            SupervisorEvent::StatusReceived(status) => self.on_status(now, status, actions),
            SupervisorEvent::Wake => self.on_wake(now, actions),
            SupervisorEvent::Shutdown => self.on_shutdown(now, actions),
        }
    }

    fn next_query_at(&self) -> Micros {
        if self.query_in_flight {
            Micros::MAX
        } else {
            self.next_query
        }
    }

    fn ready_deadline(&self, process: &Running) -> Micros {
        process.started_at + micros(self.settings.ready_timeout)
    }

    fn report(&mut self, state: NodeState, note: String, actions: &mut Vec<SupervisorAction>) {
        self.state = state;
        actions.push(SupervisorAction::ReportState { state, note });
    }

    fn start(&mut self, now: Micros, actions: &mut Vec<SupervisorAction>) {
        self.restarts.record_start(now);
        self.phase = Phase::Starting;
        actions.push(SupervisorAction::Start);
    }

    fn enter_running(&mut self, now: Micros) {
        self.phase = Phase::Running(Running {
            started_at: now,
            ready_since: None,
            last_answer: now,
        });
        self.next_query = now;
        self.query_in_flight = false;
    }

    /// Asks the process to drain and exit; it is killed if it has not by `kill_at`.
    fn terminate(&mut self, kill_at: Micros, actions: &mut Vec<SupervisorAction>) {
        self.phase = Phase::Terminating {
            kill_at,
            killed: false,
        };
        actions.push(SupervisorAction::Terminate);
    }

    /// Terminates a process that does not answer, or never became ready.
    fn terminate_unresponsive(
        &mut self,
        now: Micros,
        note: String,
        actions: &mut Vec<SupervisorAction>,
    ) {
        let grace = UNRESPONSIVE_GRACE.min(micros(self.settings.drain_timeout));
        self.terminate(now + grace, actions);
        self.report(NodeState::Draining, note, actions);
    }

    fn on_started(&mut self, now: Micros, pid: u32, actions: &mut Vec<SupervisorAction>) {
        self.enter_running(now);
        let note = format!("started as process {pid}");
        self.report(NodeState::Starting, note, actions);
        if self.shutting_down {
            self.terminate(now + micros(self.settings.drain_timeout), actions);
        }
    }

    fn on_shutdown(&mut self, now: Micros, actions: &mut Vec<SupervisorAction>) {
        self.shutting_down = true;
        match self.phase {
            Phase::Running(_) => {
                actions.push(SupervisorAction::CloseListener);
                self.terminate(now + micros(self.settings.drain_timeout), actions);
                self.report(NodeState::Draining, "the agent ends".into(), actions);
            }
            // Nothing is done yet: a process that is terminating exits or is killed, and one that is being started is
            // terminated in `on_started`.
            Phase::Terminating { .. } | Phase::Starting => {}
            Phase::BackingOff { .. } | Phase::Finished => {
                self.phase = Phase::Finished;
                self.report(NodeState::Stopped, "the agent ends".into(), actions);
                actions.push(SupervisorAction::Finished);
            }
        }
    }

    /// The process has exited or could not be started: schedules a restart, unless the agent shuts down.
    fn on_exited(&mut self, now: Micros, description: String, actions: &mut Vec<SupervisorAction>) {
        if self.shutting_down {
            self.phase = Phase::Finished;
            self.report(NodeState::Stopped, description, actions);
            return actions.push(SupervisorAction::Finished);
        }
        if self.served_for_max_backoff(now) {
            self.restarts.reset_backoff();
        }
        let restart = self.restarts.schedule(now, &self.settings);
        self.phase = Phase::BackingOff { until: restart.at };
        let delay = restart.at - now;
        if delay > MAX_LISTEN_QUEUE_WAIT {
            actions.push(SupervisorAction::CloseListener);
        }
        let limit = if restart.limited {
            let max_starts = self.settings.max_starts_per_minute;
            format!("; {max_starts} starts in a minute are enough")
        } else {
            String::new()
        };
        let delay_ms = delay / 1_000;
        let note = format!("{description}{limit}; starts again in {delay_ms} ms");
        self.report(NodeState::Starting, note, actions);
    }

    /// Whether the process that has just exited was ready for at least the longest backoff.
    fn served_for_max_backoff(&self, now: Micros) -> bool {
        let Phase::Running(process) = &self.phase else {
            return false;
        };
        process
            .ready_since
            .is_some_and(|since| now - since >= micros(self.settings.max_backoff))
    }

    /// A status query was answered or timed out. Answers about a process that is being terminated change nothing.
    fn on_status(&mut self, now: Micros, status: Status, actions: &mut Vec<SupervisorAction>) {
        self.query_in_flight = false;
        self.next_query = now + micros(self.settings.status_interval);
        let Phase::Running(process) = &mut self.phase else {
            return;
        };
        if status == Status::Unresponsive {
            let silence = now - process.last_answer;
            if silence >= micros(self.settings.unresponsive_timeout) {
                let silence_ms = silence / 1_000;
                let note = format!("no answer for {silence_ms} ms: it is ended");
                self.terminate_unresponsive(now, note, actions);
            }
            return;
        }
        process.last_answer = now;
        if status == Status::Ready {
            process.ready_since.get_or_insert(now);
        }
        let was_ready = process.ready_since.is_some();
        let state = match status {
            Status::Ready => NodeState::Serving,
            _ if was_ready => NodeState::StandingBy,
            _ => NodeState::Starting,
        };
        if state != self.state {
            // The texts of notes must not change: they are part of the member's record, and operators read them in the
            // log and in `balancer-agent members`.
            let note = if status == Status::Ready {
                "says yes"
            } else {
                "says no"
            };
            self.report(state, note.to_owned(), actions);
        }
    }

    fn on_wake(&mut self, now: Micros, actions: &mut Vec<SupervisorAction>) {
        match &self.phase {
            Phase::BackingOff { until } if *until <= now => self.start(now, actions),
            Phase::Running(process)
                if process.ready_since.is_none() && now >= self.ready_deadline(process) =>
            {
                let note = "never said yes: it is ended".to_owned();
                self.terminate_unresponsive(now, note, actions);
            }
            Phase::Running(_) if now >= self.next_query_at() => {
                self.query_in_flight = true;
                actions.push(SupervisorAction::QueryStatus);
            }
            Phase::Terminating {
                kill_at,
                killed: false,
            } if now >= *kill_at => {
                self.phase = Phase::Terminating {
                    kill_at: *kill_at,
                    killed: true,
                };
                actions.push(SupervisorAction::Kill);
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
