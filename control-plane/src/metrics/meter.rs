//! Owns what one node did: differences of its counts, so that a start anew adds nothing twice, in slots of an hour.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{Counts, Look, Tally, SLOT, SLOTS};
use crate::Micros;

/// A reading older than this is none.
const STALE: Micros = 5_000_000;
const MINUTE: Micros = 60_000_000;
/// Starts remembered, at most.
const STARTS: usize = 64;
/// Servers out by hand that are told, at most.
const BY_HAND: usize = 16;

/// A node's figures, as it tells them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// Since the start of its process.
    pub counts: Counts,
    /// At the moment.
    pub gauges: Gauges,
}

/// What is so at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gauges {
    /// Requests taken and not ended.
    pub outstanding: u64,
    /// Servers on the list.
    pub discovered: u64,
    /// Of them those that the node avoids.
    pub ejected: u64,
    /// A hash of the list's ids; 0 where the node tells none.
    pub list: u64,
}

/// The newest reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Now {
    /// How old it is, in milliseconds.
    pub age_ms: u64,
    /// What it was.
    pub gauges: Gauges,
}

/// One node's meter.
#[derive(Debug)]
pub struct Meter {
    /// What the running process had told when it was last read; `None` where its first reading is only a beginning.
    last: Option<Counts>,
    open: Counts,
    slots: VecDeque<Counts>,
    /// The number of the last closed slot, and when it was closed.
    slot: u64,
    closed: Micros,
    read: Option<(Micros, Gauges)>,
    starts: VecDeque<Micros>,
}

impl Meter {
    /// Nothing read yet.
    pub fn new(now: Micros) -> Meter {
        Meter {
            last: None,
            open: Counts::default(),
            slots: VecDeque::new(),
            slot: 0,
            closed: now,
            read: None,
            starts: VecDeque::new(),
        }
    }

    /// This agent started the node: all that it will tell is new.
    pub fn started(&mut self, now: Micros) {
        (self.last, self.read) = (Some(Counts::default()), None);
        self.starts.push_back(now);
        if self.starts.len() > STARTS {
            self.starts.pop_front();
        }
    }

    /// The node told its figures.
    pub fn read(&mut self, now: Micros, reading: &Reading) {
        self.close(now);
        // Of one that was adopted it is not known what an earlier agent has told: it begins here.
        if let Some(last) = &self.last {
            self.open.add(&reading.counts.since(last));
        }
        self.last = Some(reading.counts);
        self.read = Some((now, reading.gauges));
    }

    fn close(&mut self, now: Micros) {
        while now >= self.closed + SLOT {
            self.closed += SLOT;
            self.slot += 1;
            self.slots.push_back(std::mem::take(&mut self.open));
            if self.slots.len() > SLOTS {
                self.slots.pop_front();
            }
        }
    }

    /// The answer to a holder's question. `process` is this agent's.
    pub fn tally(&mut self, now: Micros, look: &Look, process: u64, by_hand: Vec<String>) -> Tally {
        self.close(now);
        let since = if look.process == process {
            look.since
        } else {
            0
        };
        let new = (self.slot.saturating_sub(since) as usize).min(self.slots.len());
        let fresh = self.read.filter(|(at, _)| now < at + STALE);
        Tally {
            process,
            slot: self.slot,
            closed_ms: now.saturating_sub(self.closed) / 1_000,
            slots: self
                .slots
                .range(self.slots.len() - new..)
                .copied()
                .collect(),
            now: fresh.map(|(at, gauges)| Now {
                age_ms: (now - at) / 1_000,
                gauges,
            }),
            starts: self.starts.iter().filter(|at| now < **at + MINUTE).count() as u64,
            by_hand: by_hand.into_iter().take(BY_HAND).collect(),
        }
    }
}
