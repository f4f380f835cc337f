//! The fleet's figures: what one node did, kept for an hour beside it; their sums at the holder of the census; and the
//! alarms that the holder of the watch draws from them. Pure: readings and time in, questions and sums out.

mod meter;
mod sums;
mod watch;

use serde::{Deserialize, Serialize};

pub use meter::{Gauges, Meter, Now, Reading};
pub use sums::{Census, CensusReport, Row, A_SECOND};
pub use watch::{Settings as WatchSettings, Watch};

use crate::lease::Role;
use crate::Micros;

/// Figures are kept by slots of this length.
pub const SLOT: Micros = 5_000_000;
/// Slots kept: an hour.
pub const SLOTS: usize = 720;

/// What nodes did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests served.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Attempts written whole to servers.
    pub forwards: u64,
}

impl Counts {
    /// All requests that ended.
    pub fn requests(&self) -> u64 {
        self.served + self.refused + self.failed
    }

    fn add(&mut self, more: &Counts) {
        self.served += more.served;
        self.refused += more.refused;
        self.failed += more.failed;
        self.forwards += more.forwards;
    }

    /// What came since an earlier look at the same process.
    fn since(&self, before: &Counts) -> Counts {
        Counts {
            served: self.served.saturating_sub(before.served),
            refused: self.refused.saturating_sub(before.refused),
            failed: self.failed.saturating_sub(before.failed),
            forwards: self.forwards.saturating_sub(before.forwards),
        }
    }
}

/// A holder's question to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Look {
    /// Under which duty.
    pub duty: Role,
    /// Under which token.
    pub token: u64,
    /// The agent's process that the holder has heard of; another one is asked from its start.
    pub process: u64,
    /// The last closed slot of that process that the holder has.
    pub since: u64,
}

/// An agent's answer: what its node did.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The agent's process.
    pub process: u64,
    /// The number of its last closed slot.
    pub slot: u64,
    /// For how long that has been closed, in milliseconds.
    pub closed_ms: u64,
    /// Closed slots after those that the holder has, the oldest first.
    pub slots: Vec<Counts>,
    /// The newest reading; `None` without a node, or while it does not answer.
    pub now: Option<Now>,
    /// Starts of the node in the last minute.
    pub starts: u64,
    /// Servers that staff took out at this node alone, some of them where there are many.
    pub by_hand: Vec<String>,
}
