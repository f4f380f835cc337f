//! What the supervisor is informed of, and what it asks its host to do.

use crate::membership::NodeState;

/// A process's answer to a status query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It accepts clients.
    Ready,
    /// It answers, and accepts no clients.
    NotReady,
    /// It did not answer in time.
    Unresponsive,
}

/// What the supervisor is informed of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SupervisorEvent {
    /// Supervision begins. A process that an earlier agent left running is adopted.
    Begin {
        /// Process id of the adopted process.
        adopted: Option<u32>,
    },
    /// The process was started, with this process id.
    Started(u32),
    /// The process could not be started; with the reason.
    StartFailed(String),
    /// The process has exited; with a description of how.
    Exited(String),
    /// A status query was answered, or timed out.
    StatusReceived(Status),
    /// The time of [`Supervisor::next_wake`](super::Supervisor::next_wake) has come.
    Wake,
    /// The agent shuts down: the node is drained, ended, and not started again.
    Shutdown,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SupervisorAction {
    /// Start the node. The host answers with [`SupervisorEvent::Started`] or [`SupervisorEvent::StartFailed`].
    Start,
    /// Query the node's status. The host answers with [`SupervisorEvent::StatusReceived`].
    QueryStatus,
    /// Ask the process to drain and exit (SIGTERM).
    Terminate,
    /// End the process at once (SIGKILL).
    Kill,
    /// Report a change of the node's state.
    ReportState {
        /// The new state.
        state: NodeState,
        /// A note for operators.
        note: String,
    },
    /// Close the clients' listening socket, so that they are rejected at once while no process accepts.
    CloseListener,
    /// There is no process, and none will be started.
    Finished,
}
