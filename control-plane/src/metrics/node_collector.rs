//! Collects the metrics of an agent's node in slots, and keeps those of the last hour. Each slot sums the differences
//! between consecutive readings of one process, so that a restart of the node counts nothing twice.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{MetricsAnswer, MetricsQuery, RequestCounts, SLOTS_PER_HOUR, SLOT_LENGTH};
use crate::Micros;

/// Gauges older than this are not reported.
const GAUGES_VALID_FOR: Micros = 5_000_000;
/// Starts within this span are reported; alarms compare them with [`AlarmSettings::starts_per_minute`]. The
/// [supervisor](crate::supervisor) does not use it to decide when the node may be started.
///
/// [`AlarmSettings::starts_per_minute`]: super::AlarmSettings::starts_per_minute
const REPORTED_STARTS_WINDOW: Micros = 60_000_000;
/// Most starts remembered.
const MAX_STARTS: usize = 64;
/// Most cordoned servers reported.
const MAX_CORDONED_SERVERS: usize = 16;

/// One reading of a node's metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeReading {
    /// Counts since the node's process started.
    pub counts: RequestCounts,
    /// Gauges at the time of the reading.
    pub gauges: NodeGauges,
}

/// Gauges of a node. The order of the fields is the wire format; their names are those of the JSON report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeGauges {
    /// Requests in flight.
    pub outstanding: u64,
    /// Number of servers on the node's endpoint list.
    pub discovered: u64,
    /// Number of these servers that the node has ejected.
    pub ejected: u64,
    /// Hash of the endpoint list's ids; 0 where the node reports none.
    pub list: u64,
}

/// The latest gauges, with their age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CurrentGauges {
    /// Age in milliseconds.
    pub age_ms: u64,
    /// Gauges of the node at its last reading.
    pub gauges: NodeGauges,
}

#[derive(Debug)]
struct ReadGauges {
    read_at: Micros,
    gauges: NodeGauges,
}

/// Collects the metrics of one node.
#[derive(Debug)]
pub struct NodeMetricsCollector {
    /// Counts of the node's process at the last reading; `None` before the first reading of an adopted process, which only
    /// sets the baseline.
    baseline: Option<RequestCounts>,
    /// Counts since the last slot was closed, reported when this slot is closed.
    open_slot: RequestCounts,
    /// Closed slots of the last hour, the oldest first.
    closed_slots: VecDeque<RequestCounts>,
    /// Number of the last closed slot.
    last_slot: u64,
    last_closed_at: Micros,
    gauges: Option<ReadGauges>,
    starts: VecDeque<Micros>,
}

impl NodeMetricsCollector {
    /// Creates a collector without readings, whose first slot begins now.
    pub fn new(now: Micros) -> NodeMetricsCollector {
        NodeMetricsCollector {
            baseline: None,
            open_slot: RequestCounts::default(),
            closed_slots: VecDeque::new(),
            last_slot: 0,
            last_closed_at: now,
            gauges: None,
            starts: VecDeque::new(),
        }
    }

    /// Records that this agent started the node. All that the new process counts is added.
    pub fn record_start(&mut self, now: Micros) {
        self.baseline = Some(RequestCounts::default());
        self.gauges = None;
        self.starts.push_back(now);
        if self.starts.len() > MAX_STARTS {
            self.starts.pop_front();
        }
    }

    /// Adds a reading of the node.
    pub fn record(&mut self, now: Micros, reading: &NodeReading) {
        self.close_slots(now);
        // Without a baseline, the process was adopted. An earlier agent may have reported what it counted before this
        // reading, so that is not added.
        if let Some(baseline) = &self.baseline {
            self.open_slot.add(&reading.counts.since(baseline));
        }
        self.baseline = Some(reading.counts);
        self.gauges = Some(ReadGauges {
            read_at: now,
            gauges: reading.gauges,
        });
    }

    /// Closes the slots that have ended by `now`, including those without a reading, so that no slot is missing.
    fn close_slots(&mut self, now: Micros) {
        while now >= self.last_closed_at + SLOT_LENGTH {
            self.last_closed_at += SLOT_LENGTH;
            self.last_slot += 1;
            self.closed_slots
                .push_back(std::mem::take(&mut self.open_slot));
            if self.closed_slots.len() > SLOTS_PER_HOUR {
                self.closed_slots.pop_front();
            }
        }
    }

    /// Answers a query. `process` is the number of this agent's process, `cordoned` the servers that operators cordoned at
    /// this node alone.
    pub fn answer(
        &mut self,
        now: Micros,
        query: &MetricsQuery,
        process: u64,
        cordoned: Vec<String>,
    ) -> MetricsAnswer {
        self.close_slots(now);
        let since = if query.process == process {
            query.since
        } else {
            0
        };
        let missing = (self.last_slot.saturating_sub(since) as usize).min(self.closed_slots.len());
        let first = self.closed_slots.len() - missing;
        MetricsAnswer {
            process,
            slot: self.last_slot,
            closed_ms: now.saturating_sub(self.last_closed_at) / 1_000,
            slots: self.closed_slots.range(first..).copied().collect(),
            now: self.current_gauges(now),
            starts: self.recent_starts(now),
            by_hand: cordoned.into_iter().take(MAX_CORDONED_SERVERS).collect(),
        }
    }

    fn current_gauges(&self, now: Micros) -> Option<CurrentGauges> {
        let read = self.gauges.as_ref()?;
        (now < read.read_at + GAUGES_VALID_FOR).then(|| CurrentGauges {
            age_ms: (now - read.read_at) / 1_000,
            gauges: read.gauges,
        })
    }

    fn recent_starts(&self, now: Micros) -> u64 {
        let is_recent = |at: &&Micros| now < **at + REPORTED_STARTS_WINDOW;
        self.starts.iter().filter(is_recent).count() as u64
    }
}
