//! The result of a run, the same for runs in real and in virtual time.

use crate::checker::InvariantChecker;
use crate::world::Micros;

/// The result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Violations of the rules, and the counts of requests.
    pub checker: InvariantChecker,
    /// Resource use, starts and crashes of each node.
    pub nodes: Vec<NodeReport>,
    /// Delay of the load generator between the due time of a request and sending it, in microseconds: p50, p99 and
    /// maximum. `None` in virtual time.
    pub lateness: Option<[Micros; 3]>,
    /// Mean rate of the generated load, in requests per second.
    pub rate: f64,
    /// Number of servers that existed at any time of the run.
    pub servers: usize,
    /// Requests that were sent again because the node closed the idle connection at the same moment.
    pub resent_after_close: u64,
    /// Problems that violate no rule.
    pub warnings: Vec<String>,
}

/// Resource use, starts and crashes of a node.
#[derive(Clone, Debug, Default)]
pub struct NodeReport {
    /// CPU time, in seconds.
    pub cpu_s: f64,
    /// Peak memory, in MB.
    pub memory_mb: f64,
    /// Peak number of open file descriptors.
    pub descriptors: usize,
    /// Number of processes started.
    pub starts: u32,
    /// Processes that ended without being stopped by the testbed: node, time, exit status and end of the log.
    pub crashes: Vec<String>,
}
