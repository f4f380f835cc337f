//! Simulation in virtual time: the same world, checker and scenarios as the runs with real processes, with a policy in
//! place of each node's process. A single event queue orders everything. There is no thread, no real clock and no
//! order that depends on a hash, so the same seed gives the same result, byte for byte.
//!
//! Compared to runs with real processes, the simulation leaves out the latency between client and node, the cost of
//! bodies, the readiness checks of the front ends (which learn of a failure after the configured delay), and faults of
//! a node outside its decisions.

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

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub struct SimPlan {
    /// The scenario.
    pub scenario: Scenario,
    /// Random seed.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of servers at the start.
    pub servers: usize,
    /// Duration of the load, in seconds.
    pub seconds: f64,
    /// Policy that decides in each node.
    pub policy: PolicyKind,
    /// Whether to record the events and actions of the first node's first process.
    pub record: bool,
    /// What to trace; `None` for no trace.
    pub trace_filter: Option<TraceFilter>,
}

/// Runs a simulation to its end.
pub fn simulate(plan: &SimPlan) -> Result<SimOutput, WireError> {
    run::Run::new(plan)?.into_outcome()
}

/// The result of a simulation.
#[derive(Debug)]
pub struct SimOutput {
    /// Result with the same fields as that of a run with real processes.
    pub outcome: Outcome,
    /// The recorded stream of the first node's first process, if [`SimPlan::record`] was set (see [`crate::wire`]).
    pub stream: Option<String>,
    /// The trace, if [`SimPlan::trace_filter`] was set.
    pub trace: Option<String>,
    /// For each second, the number of requests queued or in process at each server.
    pub jobs_per_second: Vec<Vec<usize>>,
}

#[cfg(test)]
mod tests;
