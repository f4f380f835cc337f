//! Owns one agent's place in a play: its disk, its clock and its lives.

use control_plane::consensus::{PersistedState, VoterId};
use control_plane::coordinator::{Coordinator, FleetUpdate};
use control_plane::lease::FencingTokens;
use control_plane::Micros;

use super::world::Due;

/// A store on a disk.
pub(super) struct Store {
    pub id: VoterId,
    pub kept: PersistedState,
    /// No more fits on it.
    pub full: bool,
}

/// An agent's place.
pub(super) struct Seat {
    /// What its disk holds for good.
    pub store: Option<Store>,
    pub fence: FencingTokens,
    pub enforced: Option<FleetUpdate>,
    pub desk: Option<Coordinator>,
    /// The last entry of its state that was looked at.
    pub index: u64,
    /// Until when its disk is busy with what was asked of it.
    pub busy_until: Micros,
    /// Counts its processes.
    pub life: u64,
    /// Since when it is stopped, and what waits for it.
    pub paused: Option<(Micros, Vec<Due>)>,
    /// Its clock: where it stood at the world's zero, and its pace.
    pub offset: f64,
    pub rate: f64,
    /// How far its wall clock is off, in milliseconds.
    pub wall: i64,
}

impl Seat {
    pub fn clock(&self, now: Micros) -> Micros {
        (self.offset + now as f64 * self.rate) as Micros
    }

    /// The world's time at which its clock shows `at`, or just after.
    pub fn true_at(&self, at: Micros) -> Micros {
        ((at as f64 - self.offset) / self.rate).max(0.0) as Micros + 1
    }

    /// Its wall clock, in milliseconds.
    pub fn wall_ms(&self, now: Micros) -> u64 {
        (1_700_000_000_000 + (now / 1_000) as i64 + self.wall) as u64
    }
}

/// Its process, as a number that no other life has.
pub(super) fn process(seat: usize, life: u64) -> u64 {
    life << 8 | seat as u64
}
