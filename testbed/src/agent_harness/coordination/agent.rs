//! One simulated agent: its disk, its clocks and its processes, one after the other.

use control_plane::consensus::{PersistedState, VoterId};
use control_plane::coordinator::{Coordinator, FleetUpdate};
use control_plane::lease::FencingTokens;
use control_plane::Micros;

use super::world::ScheduledEvent;

/// A voter's store on the disk.
pub(super) struct Store {
    pub id: VoterId,
    pub persisted: PersistedState,
    /// The disk is full: writes fail.
    pub full: bool,
}

/// A simulated agent. What is on its disk outlives its process.
pub(super) struct SimulatedAgent {
    /// The voter's store; `None` on an agent without a vote.
    pub store: Option<Store>,
    pub fencing: FencingTokens,
    pub enforced: Option<FleetUpdate>,
    pub coordinator: Option<Coordinator>,
    /// Index of the last log entry at which its state was compared with the other agents'.
    pub index: u64,
    /// Virtual time at which its disk has finished the writes requested so far.
    pub busy_until: Micros,
    /// Number of its current process. Events meant for an earlier process are dropped.
    pub epoch: u64,
    /// While the process is paused: since when, and the events held for it.
    pub paused: Option<(Micros, Vec<ScheduledEvent>)>,
    /// Monotonic clock: its reading at virtual time 0 in microseconds, and its rate.
    pub offset: f64,
    pub rate: f64,
    /// Error of its wall clock, in milliseconds.
    pub wall_offset_ms: i64,
}

impl SimulatedAgent {
    pub fn clock(&self, now: Micros) -> Micros {
        (self.offset + now as f64 * self.rate) as Micros
    }

    /// Virtual time at which its clock shows `at`, or just after.
    pub fn world_time_at(&self, at: Micros) -> Micros {
        ((at as f64 - self.offset) / self.rate).max(0.0) as Micros + 1
    }

    /// Reading of its wall clock, in milliseconds.
    pub fn wall_ms(&self, now: Micros) -> u64 {
        (1_700_000_000_000 + (now / 1_000) as i64 + self.wall_offset_ms) as u64
    }
}

/// A process id that no other process of any agent has.
pub(super) fn process_id(agent: usize, epoch: u64) -> u64 {
    epoch << 8 | agent as u64
}
