//! Owns what a reader sees of a play: the live line, the table, the JSON file. It reads outcomes and
//! changes nothing.

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

/// From this p99 of its own lateness on, in microseconds, the lab says that it ran late.
pub const LATE: Micros = 2_000;

/// What was played, for those who read the outcome.
#[derive(Clone, Debug)]
pub struct Play {
    /// The scenario's name.
    pub scenario: String,
    /// What decided, in virtual time; `None` for real processes.
    pub policy: Option<String>,
    /// Its seed.
    pub seed: u64,
    /// Nodes.
    pub nodes: usize,
    /// Servers at the start.
    pub servers: usize,
    /// Seconds of load.
    pub seconds: f64,
}

/// Whether a play was kept: no rule broken and no node crashed.
pub fn is_kept(outcome: &Outcome) -> bool {
    outcome.checker.breaches().is_empty()
        && outcome.nodes.iter().all(|node| node.crashes.is_empty())
}
