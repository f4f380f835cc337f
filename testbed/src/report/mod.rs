//! Output on runs and experiments: the progress line, the table and the JSON file of a run, and the HTML
//! report of an experiment.

mod html;
mod json;
mod live;
mod plots;
mod table;

pub use html::html;
pub use json::write as write_json;
pub use live::Live;
pub use table::text;

use crate::outcome::Outcome;
use crate::world::Micros;

/// If the p99 of the testbed's own send lateness exceeds this, in microseconds, the table warns that the testbed ran
/// late.
pub const LATENESS_WARNING: Micros = 2_000;

/// Parameters of a run, for its report.
#[derive(Clone, Debug)]
pub struct RunInfo {
    /// Name or path of the scenario.
    pub scenario: String,
    /// Name of the policy in virtual time; `None` for real processes.
    pub policy: Option<String>,
    /// Seed of the simulated world.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of servers at the start.
    pub servers: usize,
    /// Seconds of load.
    pub seconds: f64,
}

/// Whether a run passed: no rule was broken and no node crashed.
pub fn passed(outcome: &Outcome) -> bool {
    outcome.checker.breaches().is_empty()
        && outcome.nodes.iter().all(|node| node.crashes.is_empty())
}
