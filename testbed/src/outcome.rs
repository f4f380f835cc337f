//! Owns what a play ends with, the same whichever host played it. It judges and prints nothing.

use crate::checker::InvariantChecker;
use crate::world::Micros;

/// What is known at the end of a play.
#[derive(Debug)]
pub struct Outcome {
    /// Its rules and figures.
    pub checker: InvariantChecker,
    /// The nodes.
    pub nodes: Vec<NodeReport>,
    /// How late the lab itself sent requests, in microseconds: p50, p99 and most; `None` in virtual time.
    pub lateness: Option<[Micros; 3]>,
    /// Requests a second that were meant.
    pub rate: f64,
    /// Servers that were ever there.
    pub servers: usize,
    /// Requests that crossed the close of their connection and were sent once more.
    pub resent_after_close: u64,
    /// What went wrong and breaks no rule.
    pub warnings: Vec<String>,
}

/// What is known of a node at the end.
#[derive(Clone, Debug, Default)]
pub struct NodeReport {
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// Most memory at a time, in MB.
    pub memory_mb: f64,
    /// Most descriptors at a time.
    pub descriptors: usize,
    /// Processes that were started.
    pub starts: u32,
    /// How processes ended that nobody had told to.
    pub crashes: Vec<String>,
}
