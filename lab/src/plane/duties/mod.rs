//! Owns plays of the agreed log and the duties under faults, in virtual time: voters with disks and clocks of their own,
//! links between them, a target that is acted on, and staff who ask. What happened is judged by
//! its history alone, in `check.rs`.

mod check;
mod faults;
mod world;

use rayon::prelude::*;

pub use check::{Breach, History};
pub use world::World;

/// Something broken on purpose, for the checks: each has to be found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Targets let acts of any token pass.
    FenceOff,
    /// Leases are kept without regard to the drift of clocks.
    DriftIgnored,
    /// A voter says that its vote is kept before it is.
    VoteNotSynced,
}

/// What a play came to.
#[derive(Clone, Debug)]
pub struct Play {
    /// Its seed.
    pub seed: u64,
    /// What broke, if anything.
    pub breaches: Vec<Breach>,
    /// Changes of hands.
    pub changes: usize,
    /// Acts that took effect, and acts that the fence refused.
    pub acts: (usize, u64),
    /// Staff's calls that got a yes, of all.
    pub calls: (usize, usize),
}

/// Plays one seed: 20 s of faults among so many voters, then all is healed for 8 s.
pub fn play(voters: usize, seed: u64, sabotage: Option<Sabotage>) -> Play {
    let mut world = World::new(voters, seed, sabotage);
    world.run(2_000_000);
    faults::strike(&mut world, 20_000_000);
    world.heal();
    world.run(8_000_000);
    let history = world.into_history();
    Play {
        seed,
        breaches: check::judge(&history),
        changes: history.changes(),
        acts: (history.accepted.len(), history.refused),
        calls: (history.calls.iter().filter(|call| call.answered.is_some()).count(), history.calls.len()),
    }
}

/// Plays many seeds; those that broke something, and all of them in sum.
pub fn plays(voters: usize, seeds: std::ops::Range<u64>, sabotage: Option<Sabotage>) -> Vec<Play> {
    seeds.into_par_iter().map(|seed| play(voters, seed, sabotage)).collect()
}
