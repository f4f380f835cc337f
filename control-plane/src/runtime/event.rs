//! Events that the runtime's tasks send to the main task.

use tokio::sync::{oneshot, OwnedSemaphorePermit};

use crate::coordinator::{CommandResult, CoordinatorEvent, CoordinatorReport, OperatorCommand};
use crate::membership::{CallId, Name, Report};
use crate::metrics::{FleetMetricsReport, MetricsAnswer};
use crate::supervisor::SupervisorEvent;

/// An event for the main task.
pub enum HostEvent {
    /// Another agent has sent a call.
    Called {
        /// The encoded call.
        bytes: Vec<u8>,
        /// Receives the encoded answer; dropped if there is none.
        answer: oneshot::Sender<Vec<u8>>,
        /// Bounds the number of calls in memory; dropped once the call has been handled.
        permit: OwnedSemaphorePermit,
    },
    /// A call that membership made has ended.
    CallEnded {
        /// Identifies the call, as in the action that started it.
        call: CallId,
        /// The encoded answer; `None` if the call failed.
        answer: Option<Vec<u8>>,
    },
    /// The node's process has exited, or a status query has been answered or has timed out.
    Node(SupervisorEvent),
    /// An operator requests the fleet's report.
    ReportRequested(oneshot::Sender<Box<Report>>),
    /// The voter's storage has written a batch, or a call for the coordinator has completed.
    Coordinator(CoordinatorEvent),
    /// An operator requests the report of roles.
    RolesRequested(oneshot::Sender<Box<CoordinatorReport>>),
    /// An operator issues a command.
    CommandReceived {
        /// The command, which has been parsed but not checked against the replicated state.
        command: OperatorCommand,
        /// Receives the result.
        answer: oneshot::Sender<CommandResult>,
    },
    /// An operator requests the agent's metrics in OpenMetrics text.
    MetricsRequested(oneshot::Sender<String>),
    /// The node has answered a scrape with its metrics page.
    NodeMetricsReceived(bytes::Bytes),
    /// Another agent has answered a metrics query.
    MetricsAnswered {
        /// The name of the agent that answered.
        from: Name,
        /// The answer of the agent.
        answer: MetricsAnswer,
    },
    /// An operator requests the fleet's metrics. The answer is `None` if no holder of the aggregation role was found.
    FleetMetricsRequested(oneshot::Sender<Option<Box<FleetMetricsReport>>>),
}
