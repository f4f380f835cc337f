//! Owns plays of the agreed log and the duties under faults, in virtual time: agents with disks and clocks of their own, as
//! the real program's desk has it, links between them, and staff who ask. What happened is judged by its history
//! alone, in `check.rs`.

mod actions;
mod check;
mod faults;
pub mod measure;
pub mod model;
mod operators;
mod replica;
mod world;

use rayon::prelude::*;

pub use check::{Act, Breach, History, Op, Step};
pub use world::World;

/// Something broken on purpose, for the checks: each has to be found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// Targets let acts of any token pass.
    FenceOff,
    /// Leases are kept without regard to the drift of clocks.
    DriftIgnored,
    /// A voter says that its vote is kept before it is.
    VoteNotSynced,
    /// A voter that was killed comes back under its number with an empty store.
    StoreLost,
}

/// What a play came to.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Its seed.
    pub seed: u64,
    /// What broke, if anything.
    pub breaches: Vec<Breach>,
    /// Changes of hands.
    pub changes: usize,
    /// Acts that took effect, and acts that a fence refused.
    pub acts: (usize, u64),
    /// Staff's calls that got a yes, of all.
    pub calls: (usize, usize),
    /// Voters that were replaced.
    pub replaced: usize,
}

/// Plays one seed: 20 s of faults among so many voters and two agents without a vote, then all is healed for 10 s.
pub fn run_seed(voters: usize, seed: u64, sabotage: Option<InjectedBug>) -> RunResult {
    let mut world = World::new(voters, seed, sabotage);
    world.run(2_000_000);
    faults::strike(&mut world, 20_000_000);
    world.heal();
    world.run(10_000_000);
    let replaced = world.replaced();
    let history = world.into_history();
    RunResult {
        seed,
        breaches: check::judge(&history),
        changes: history.changes(),
        acts: (history.accepted.len(), history.refused),
        calls: history.calls(),
        replaced,
    }
}

/// Plays many seeds, on all cores.
pub fn run_seeds(
    voters: usize,
    seeds: std::ops::Range<u64>,
    sabotage: Option<InjectedBug>,
) -> Vec<RunResult> {
    seeds
        .into_par_iter()
        .map(|seed| run_seed(voters, seed, sabotage))
        .collect()
}
