//! Simulates the replicated log and the role leases under fault injection, in virtual time: agents with disks
//! and clocks of their own, each running the coordinator of the real program, the links between them, and
//! operators that send commands. `check.rs` judges a run by its recorded history alone.

mod actions;
mod agent;
mod check;
mod faults;
pub mod measure;
pub mod model;
mod operators;
mod world;

use rayon::prelude::*;

pub use check::{Breach, CommandEvent, History, Operation, RoleAction};
pub use world::World;

/// A bug that is injected on purpose, to prove that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// Targets apply updates whatever their fencing token.
    FencingDisabled,
    /// Lease holders and grantors allow for no clock drift.
    ClockDriftIgnored,
    /// A voter reports a write as persisted before it is synced to the disk.
    AcknowledgedBeforeSync,
    /// A killed voter restarts under its old voter id with an empty store.
    StoreLost,
}

/// The result of one run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Seed of the run.
    pub seed: u64,
    /// Invariants that were broken; empty for a correct run.
    pub breaches: Vec<Breach>,
    /// Number of different grants (pairs of role and token) under which a holder was active.
    pub changes: usize,
    /// Updates that took effect, and updates that a target rejected for their stale token.
    pub acts: (usize, u64),
    /// Operator commands that were committed, and all that were sent. The reads after healing count in both.
    pub calls: (usize, usize),
    /// Voters that operators replaced with a new store.
    pub replaced: usize,
}

/// Runs one seed with `voters` voters and two agents without a vote: 2 s of start-up, 20 s of injected
/// faults, then healing and 10 s without faults.
pub fn run_seed(voters: usize, seed: u64, bug: Option<InjectedBug>) -> RunResult {
    let mut world = World::new(voters, seed, bug);
    world.run(2_000_000);
    faults::inject(&mut world, 20_000_000);
    world.heal();
    world.run(10_000_000);
    let replaced = world.replaced();
    let history = world.into_history();
    RunResult {
        seed,
        breaches: check::check_history(&history),
        changes: history.changes(),
        acts: (history.accepted.len(), history.rejected),
        calls: history.calls(),
        replaced,
    }
}

/// Runs many seeds, on all cores.
pub fn run_seeds(
    voters: usize,
    seeds: std::ops::Range<u64>,
    bug: Option<InjectedBug>,
) -> Vec<RunResult> {
    seeds
        .into_par_iter()
        .map(|seed| run_seed(voters, seed, bug))
        .collect()
}
