//! Metrics of the fleet. Pure: readings and the time in, queries, sums and alarms out. How metrics are collected:
//!
//! 1. The agent scrapes the metrics page of its node each second (`runtime/node_scrape.rs` maps the page's names).
//! 2. [`NodeMetricsCollector`] at the same agent stores the counts of the last hour in slots of [`SLOT_LENGTH`].
//! 3. [`FleetMetrics`] at the holder of the aggregation role queries all agents and sums their slots.
//! 4. [`AlarmEvaluator`] at the holder of the alerting role derives alarms from metrics that this holder queries
//!    likewise.

mod aggregation;
mod alerting;
mod node_collector;

use serde::{Deserialize, Serialize};

pub use aggregation::{
    AddressedQuery, FleetMetrics, FleetMetricsReport, NodeRow, MAX_QUERIES_PER_SECOND,
};
pub use alerting::{AlarmEvaluator, AlarmSettings};
pub use node_collector::{CurrentGauges, NodeGauges, NodeMetricsCollector, NodeReading};

use crate::lease::Role;
use crate::Micros;

/// Length of a slot, the interval by which requests are counted.
pub const SLOT_LENGTH: Micros = 5_000_000;
/// Number of slots in an hour, the most that are stored.
pub const SLOTS_PER_HOUR: usize = 720;

/// Requests and attempts of one or more nodes. The order of the fields is the wire format; their names are those of the
/// JSON report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Requests that succeeded.
    pub served: u64,
    /// Requests rejected by the balancer.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Attempts sent completely to servers.
    pub forwards: u64,
}

impl RequestCounts {
    /// Number of requests that have ended, whatever their result.
    pub fn requests(&self) -> u64 {
        self.served + self.refused + self.failed
    }

    fn add(&mut self, other: &RequestCounts) {
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.forwards += other.forwards;
    }

    /// The increase since an earlier reading of the same process; 0 where a count has fallen.
    fn since(&self, earlier: &RequestCounts) -> RequestCounts {
        RequestCounts {
            served: self.served.saturating_sub(earlier.served),
            refused: self.refused.saturating_sub(earlier.refused),
            failed: self.failed.saturating_sub(earlier.failed),
            forwards: self.forwards.saturating_sub(earlier.forwards),
        }
    }
}

impl<'a> std::iter::Sum<&'a RequestCounts> for RequestCounts {
    fn sum<I: Iterator<Item = &'a RequestCounts>>(counts: I) -> RequestCounts {
        let mut sum = RequestCounts::default();
        for one in counts {
            sum.add(one);
        }
        sum
    }
}

/// A role holder's query of an agent's metrics. The order of the fields is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MetricsQuery {
    /// Role that the sender holds.
    pub role: Role,
    /// Fencing token of that role.
    pub token: u64,
    /// Number of the agent's process whose slots the sender has. Any other process answers with all its slots.
    pub process: u64,
    /// Number of the last closed slot of that process that the sender has.
    pub since: u64,
}

/// An agent's answer to a [`MetricsQuery`]. The order of the fields is the wire format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MetricsAnswer {
    /// Number of the agent's process.
    pub process: u64,
    /// Number of the last closed slot of that process.
    pub slot: u64,
    /// How long ago that slot was closed, in milliseconds.
    pub closed_ms: u64,
    /// The closed slots that the sender lacks, the oldest first.
    pub slots: Vec<RequestCounts>,
    /// Latest gauges of the node; `None` without a node, or while the node does not answer.
    pub now: Option<CurrentGauges>,
    /// Starts of the node within the last minute.
    pub starts: u64,
    /// Servers that operators cordoned at this node alone: the first few.
    pub by_hand: Vec<String>,
}
