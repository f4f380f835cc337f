//! Collects the metrics of the node beside an agent, in slots of an hour. Each slot sums the differences between
//! readings of one process, so that a restart of the node counts nothing twice.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{MetricsAnswer, MetricsQuery, RequestCounts, SLOTS_PER_HOUR, SLOT_LENGTH};
use crate::Micros;

/// Gauges older than this are not reported.
const GAUGES_VALID_FOR: Micros = 5_000_000;
/// Starts within this span are reported; alarms compare them with [`AlarmSettings::starts_per_minute`]. When the node may
/// be started is decided by the [supervisor](crate::supervisor) on its own.
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
    /// Counted since its process started.
    pub counts: RequestCounts,
    /// At the time of the reading.
    pub gauges: NodeGauges,
}

/// Gauges of a node. The order of the fields is the wire format; their names are those of the JSON report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeGauges {
    /// Requests in flight.
    pub outstanding: u64,
    /// Servers on its endpoint list.
    pub discovered: u64,
    /// Of these, the ones it has ejected.
    pub ejected: u64,
    /// Hash of the endpoint list's ids; 0 where the node reports none.
    pub list: u64,
}

/// The latest gauges, with their age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CurrentGauges {
    /// Age in milliseconds.
    pub age_ms: u64,
    /// The gauges.
    pub gauges: NodeGauges,
}

#[derive(Debug)]
struct ReadGauges {
    read_at: Micros,
    gauges: NodeGauges,
}

/// Metrics of one node.
#[derive(Debug)]
pub struct NodeMetricsCollector {
    /// Counts of the running process at the last reading; `None` if its next reading is only a baseline.
    baseline: Option<RequestCounts>,
    /// Counts since the last slot was closed. They are reported once this slot is closed.
    open_slot: RequestCounts,
    /// The oldest first, at most an hour.
    closed_slots: VecDeque<RequestCounts>,
    /// Number of the last closed slot.
    last_slot: u64,
    last_closed_at: Micros,
    gauges: Option<ReadGauges>,
    starts: VecDeque<Micros>,
}

impl NodeMetricsCollector {
    /// A collector without readings, whose first slot begins now.
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

    /// This agent started the node: everything that the process will count is new.
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
        // What an adopted process counted before may have been reported by an earlier agent: it starts from here.
        if let Some(baseline) = &self.baseline {
            self.open_slot.add(&reading.counts.since(baseline));
        }
        self.baseline = Some(reading.counts);
        self.gauges = Some(ReadGauges {
            read_at: now,
            gauges: reading.gauges,
        });
    }

    /// Closes the slots that have ended by `now`, also those without a reading: slots follow each other without a gap.
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

    /// Answers a query. `process` is this agent's, `cordoned` the servers that operators cordoned at this node alone.
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
