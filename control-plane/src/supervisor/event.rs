//! The events that the host passes to the supervisor, and the actions that the supervisor requests from it.

use crate::membership::NodeState;

/// Result of a status query of the node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The process accepts clients.
    Ready,
    /// The process answers, but accepts no clients.
    NotReady,
    /// The process did not answer in time.
    Unresponsive,
}

/// An event that the host passes to the supervisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SupervisorEvent {
    /// Supervision begins. A process that an earlier agent left running is adopted.
    Begin {
        /// Process id of the adopted process; `None` if there is none, and one is to be started.
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
    /// The agent shuts down: the node is to be drained and ended, and not started again.
    Shutdown,
}

/// An action that the host carries out.
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
        /// The new state of the node.
        state: NodeState,
        /// What caused the change, as a note for operators.
        note: String,
    },
    /// Close the clients' listening socket, so that clients are rejected at once while no process accepts them.
    CloseListener,
    /// No process is running, and none will be started.
    Finished,
}
