//! Owns the host in virtual time: the same world, checker and scenarios as the host on sockets, with a
//! policy inside each node instead of a process. A queue of events orders everything; there is no
//! thread, no real clock and no order that depends on a hash, so one seed gives one result, to the byte.
//!
//! Against the socket host it leaves out: the time between client and node, bodies (they cost nothing),
//! the front's questions (it believes what happened, as late as the scenario says), and the node's own
//! faults outside its decisions.

mod links;
mod node;
pub(crate) mod queue;
mod run;
mod trace;

use crate::outcome::Outcome;
use crate::policy::PolicyKind;
use crate::scenario::Scenario;
use crate::wire::WireError;

pub use trace::TraceFilter;

/// What is to be played.
#[derive(Clone, Debug)]
pub struct SimPlan {
    /// The scenario.
    pub scenario: Scenario,
    /// Its seed.
    pub seed: u64,
    /// How many nodes.
    pub nodes: usize,
    /// How many servers at the start.
    pub servers: usize,
    /// Seconds of load.
    pub seconds: f64,
    /// What decides in each node.
    pub policy: PolicyKind,
    /// Whether the stream of the first node's first process is kept.
    pub record: bool,
    /// What is traced, if anything.
    pub trace_filter: Option<TraceFilter>,
}

/// Plays a plan to its end.
pub fn simulate(plan: &SimPlan) -> Result<SimOutput, WireError> {
    run::Run::new(plan)?.into_outcome()
}

/// What a play in virtual time ends with.
#[derive(Debug)]
pub struct SimOutput {
    /// As of a play on sockets.
    pub outcome: Outcome,
    /// The stream of the first node's first process, if it was to be kept (see [`crate::wire`]).
    pub stream: Option<String>,
    /// The trace, if there was to be one.
    pub trace: Option<String>,
    /// For each second, the requests that each server held.
    pub jobs_per_second: Vec<Vec<usize>>,
}

#[cfg(test)]
mod tests;
