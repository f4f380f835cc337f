//! Measures the control machines: the voters of the agreed log with the duties and the census, and the agents that ask
//! them. Played in virtual time with the agent's own rooms, by numbers of voters, agents, servers out and round trips;
//! a few agents also as processes.

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

use super::results::{About, Aspect, Loss, Measurement, Source};
use super::{target, Effort, Plan, ScaleError};
use simulation::{Answered, Site};

const SECOND: u64 = 1_000_000;
/// How often a play is looked at for what is waited for.
const LOOK: u64 = 1_000;
/// A desk has answered by then, in one way or the other.
const COMMAND_TIMEOUT: u64 = 4 * SECOND;

const LOG: &str = "the agreed log (Raft), a tick of 100 ms, 10 to 20 of them without a leader";

const BASE: About = About {
    role: "control",
    aspect: Aspect::State,
    name: "",
    unit: "",
    of: "agents",
    source: Source::Module,
    target: target::NODES as f64,
    budget: None,
    loss: Loss::Room,
    carried_by: LOG,
};

/// The figures of the role.
pub async fn measure(
    plan: &Plan,
    effort: &Effort,
    told: &mut impl FnMut(&str),
) -> Result<Vec<Measurement>, ScaleError> {
    let mut measurements = log::measure(effort, told);
    measurements.extend(state::measure(effort, told)?);
    measurements.extend(commands::measure(effort, told)?);
    measurements.extend(fleet_metrics::measure(effort, told)?);
    measurements.extend(updates::measure(effort, told)?);
    measurements.extend(quorum::measure(effort, told));
    measurements.extend(real::measure(&plan.agent, effort, told).await?);
    Ok(measurements)
}

/// Plays until something has come, for so long at most.
fn within<T>(
    site: &mut Site,
    most: u64,
    mut come: impl FnMut(&mut Site) -> Option<T>,
) -> Option<T> {
    let limit = site.now() + most;
    while site.now() < limit {
        site.run(LOOK);
        if let Some(found) = come(site) {
            return Some(found);
        }
    }
    None
}

/// A rate counts as borne where this part of what was asked got its yes.
const BORNE: f64 = 0.95;
/// The search for the highest rate begins here, doubles, and then halves the step so often.
const LEAST_RATE: f64 = 4.0;
const HALVINGS: usize = 4;

/// The highest rate up to the most that is borne, where `yes` plays a rate and tells the part that got its yes; 0 where none is.
fn highest_borne(most: f64, mut yes: impl FnMut(f64) -> f64) -> f64 {
    let (mut borne, mut rate) = (0.0, LEAST_RATE);
    while rate <= most && yes(rate) >= BORNE {
        (borne, rate) = (rate, rate * 2.0);
    }
    if borne == 0.0 || rate > most {
        return borne;
    }
    let mut step = borne / 2.0;
    for _ in 0..HALVINGS {
        if yes(borne + step) >= BORNE {
            borne += step;
        }
        step /= 2.0;
    }
    borne
}

/// Asks at a steady rate, each of the next agent in turn, for so long; then time enough for all to be answered.
fn offer(
    site: &mut Site,
    rate: f64,
    seconds: u64,
    agents: std::ops::Range<usize>,
    mut wish: impl FnMut() -> OperatorCommand,
) -> Vec<Answered> {
    let (from, asks) = (site.now(), (rate * seconds as f64).ceil() as u64);
    for ask in 0..asks {
        site.run((from + (ask as f64 / rate * SECOND as f64) as u64).saturating_sub(site.now()));
        site.ask(agents.start + ask as usize % agents.len(), wish());
    }
    site.run(COMMAND_TIMEOUT);
    site.answers()
}

/// The part of so many asks that got its yes.
fn yes(answers: &[Answered], asks: f64) -> f64 {
    answers
        .iter()
        .filter(|answered| answered.answer.is_committed())
        .count() as f64
        / asks.ceil().max(1.0)
}

/// Microseconds of a core for each of so many.
fn share(core: Duration, count: f64) -> f64 {
    core.as_secs_f64() * 1e6 / count
}

#[cfg(test)]
mod tests;
