//! The agent on tokio: sockets, timers, the node's process and the HTTP interface for operators. It makes no decisions:
//! it passes events to the state machines and carries out the actions that they return.

mod agent_calls;
mod agent_host;
mod change_log;
mod clock;
mod coordinator_actions;
mod coordinator_host;
mod error;
mod event;
pub mod http;
mod membership_actions;
mod metrics_host;
mod node_process;
mod node_scrape;
mod operator_api;
mod pid_file;
mod prometheus;
mod state_lock;
mod supervisor_actions;

pub use agent_calls::{LISTEN_BACKLOG, MAX_CALLERS};
pub use agent_host::{run, Exit};
pub use coordinator_host::VOTER_STORE_FILE;
pub use error::RuntimeError;
pub use pid_file::{PidFile, ProcessId};

use agent_host::AgentHost;
use event::HostEvent;
