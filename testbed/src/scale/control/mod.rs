//! Measures the control plane: the replicated log and its voters, lease roles, operator commands and fleet metrics. Runs
//! the agents' own state machines in virtual time, by numbers of voters, agents and cordoned servers and by round trip; a
//! few agents also run as processes.

mod commands;
mod fleet_metrics;
mod log;
mod quorum;
mod real;
mod simulation;
mod state;
mod updates;

use std::time::Duration;

use control_plane::coordinator::OperatorCommand;

use super::results::{Aspect, Impact, Measurement, MeasurementSpec, Source};
use super::{target, Plan, RunParameters, ScaleError};
use simulation::{CompletedCommand, Simulation};

const SECOND: u64 = 1_000_000;
/// Interval of virtual time at which a condition is checked.
const POLL_INTERVAL: u64 = 1_000;
/// Time after which every command has a result, in microseconds; the coordinator itself waits 3 s.
const COMMAND_TIMEOUT: u64 = 4 * SECOND;

const LOG: &str = "the agreed log (Raft), a tick of 100 ms, 10 to 20 of them without a leader";

const BASE: MeasurementSpec = MeasurementSpec {
    role: "control",
    aspect: Aspect::State,
    name: "",
    unit: "",
    size_unit: "agents",
    source: Source::Module,
    target: target::NODES as f64,
    budget: None,
    impact: Impact::Resources,
    mechanism: LOG,
};

/// Returns the measurements of the control role.
pub async fn measure(
    plan: &Plan,
    parameters: &RunParameters,
    progress: &mut impl FnMut(&str),
) -> Result<Vec<Measurement>, ScaleError> {
    let mut measurements = log::measure(parameters, progress);
    measurements.extend(state::measure(parameters, progress)?);
    measurements.extend(commands::measure(parameters, progress)?);
    measurements.extend(fleet_metrics::measure(parameters, progress)?);
    measurements.extend(updates::measure(parameters, progress)?);
    measurements.extend(quorum::measure(parameters, progress));
    measurements.extend(real::measure(&plan.agent, parameters, progress).await?);
    Ok(measurements)
}

/// Runs the simulation until `condition` returns a value; `None` after `max_wait`.
fn run_until<T>(
    simulation: &mut Simulation,
    max_wait: u64,
    mut condition: impl FnMut(&mut Simulation) -> Option<T>,
) -> Option<T> {
    let limit = simulation.now() + max_wait;
    while simulation.now() < limit {
        simulation.run(POLL_INTERVAL);
        if let Some(found) = condition(simulation) {
            return Some(found);
        }
    }
    None
}

/// A rate counts as sustained if this fraction of the commands is committed.
const SUSTAINED_SHARE: f64 = 0.95;
/// Rate at which the search for the highest rate starts, in commands per second; it doubles while sustained.
const MIN_RATE: f64 = 4.0;
/// Bisection steps of the search after the doubling.
const BISECTION_STEPS: usize = 4;

/// Highest sustained rate up to `max_rate`; 0 if there is none. `committed_share_at` runs a rate and returns the fraction of
/// commands that were committed.
fn highest_sustained_rate(max_rate: f64, mut committed_share_at: impl FnMut(f64) -> f64) -> f64 {
    let (mut sustained, mut rate) = (0.0, MIN_RATE);
    while rate <= max_rate && committed_share_at(rate) >= SUSTAINED_SHARE {
        (sustained, rate) = (rate, rate * 2.0);
    }
    if sustained == 0.0 || rate > max_rate {
        return sustained;
    }
    let mut step = sustained / 2.0;
    for _ in 0..BISECTION_STEPS {
        if committed_share_at(sustained + step) >= SUSTAINED_SHARE {
            sustained += step;
        }
        step /= 2.0;
    }
    sustained
}

/// Submits commands at a constant rate to the agents in turn, waits until all have a result, and returns the results.
fn offer_commands(
    simulation: &mut Simulation,
    rate: f64,
    seconds: u64,
    agents: std::ops::Range<usize>,
    mut next_command: impl FnMut() -> OperatorCommand,
) -> Vec<CompletedCommand> {
    let (from, commands) = (simulation.now(), (rate * seconds as f64).ceil() as u64);
    for nth in 0..commands {
        simulation.run(
            (from + (nth as f64 / rate * SECOND as f64) as u64).saturating_sub(simulation.now()),
        );
        simulation.submit(agents.start + nth as usize % agents.len(), next_command());
    }
    simulation.run(COMMAND_TIMEOUT);
    simulation.take_completed()
}

/// Committed commands as a fraction of those submitted.
fn committed_share(completed: &[CompletedCommand], commands: f64) -> f64 {
    completed
        .iter()
        .filter(|command| command.result.is_committed())
        .count() as f64
        / commands.ceil().max(1.0)
}

/// Processor time per item, in microseconds.
fn us_per_item(core: Duration, count: f64) -> f64 {
    core.as_secs_f64() * 1e6 / count
}

#[cfg(test)]
mod tests;
