//! Measures agents as real processes on loopback, as many as one machine can run: commands committed per second, and the
//! time until all agents have a cordon. Complements the simulations, which leave out sockets, disks and other processes.

use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

use control_plane::coordinator::CommandResult;
use futures_util::future::{join_all, FutureExt};
use futures_util::stream::{iter, StreamExt, TryStreamExt};

use super::super::results::{Aspect, Impact, Measurement, MeasurementSpec, Source};
use super::super::{median, target, RunParameters, ScaleError};
use super::BASE;
use crate::agent_harness::processes::{name, Agents};

/// Longest wait for started agents, and for a cordon to reach all agents.
const MAX_WAIT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Concurrent operator calls at each voter: half of what its address for operators accepts.
const CALLERS: usize = 4;
/// Servers cordoned one after the other.
const CORDONS: usize = 5;
/// Voters among the agents that a cordon is sent to.
const VOTERS: usize = 3;

const PROCESSES: &str = "agents as processes on loopback, this machine's disk";

/// Returns the measurements of agents as processes.
pub async fn measure(
    program: &Path,
    parameters: &RunParameters,
    progress: &mut impl FnMut(&str),
) -> Result<Vec<Measurement>, ScaleError> {
    let io = || ScaleError::io("agents as processes");
    if !program.is_file() {
        return Err(io()(io::Error::other(format!(
            "{}: agent executable not found",
            program.display()
        ))));
    }
    let concurrency = if parameters.real_concurrently {
        parameters.real_voters.len() + parameters.real_agents.len()
    } else {
        1
    };
    progress("control: voters and agents as processes");
    let commit_rates = parameters.real_voters.iter().map(|&voters| {
        async move {
            Ok((
                voters as f64,
                commit_rate(program, voters, parameters.command_s).await?,
            ))
        }
        .boxed_local()
    });
    let cordon_times = parameters.real_agents.iter().map(|&agents| {
        async move { Ok((agents as f64, cordon_everywhere(program, agents).await?)) }.boxed_local()
    });
    let all: io::Result<Vec<(f64, f64)>> = iter(commit_rates.chain(cordon_times))
        .buffered(concurrency)
        .try_collect()
        .await;
    let mut commit_rates = all.map_err(io())?;
    let cordon_times = commit_rates.split_off(parameters.real_voters.len());
    let base = MeasurementSpec {
        source: Source::Processes,
        mechanism: PROCESSES,
        ..BASE
    };
    Ok(vec![
        Measurement::new(
            &MeasurementSpec {
                aspect: Aspect::Messages,
                name: "real-entries",
                unit: "asks agreed a second, four callers at each voter",
                size_unit: "voters",
                target: target::VOTERS as f64,
                ..base
            },
            &commit_rates,
        ),
        Measurement::new(
            &MeasurementSpec {
                aspect: Aspect::Latency,
                name: "real-out-all",
                unit: "s from staff's ask until all agents have a server out, three voters",
                budget: Some(target::IN_FORCE_WITHIN_MS / 1e3),
                impact: Impact::Delay,
                ..base
            },
            &cordon_times,
        ),
    ])
}

/// Starts agents, of which the first ones are voters, and waits until each has had an operator command committed.
async fn start_agents(
    program: &Path,
    folder: &Path,
    voters: usize,
    agents: usize,
) -> io::Result<Agents> {
    let mut all = Agents::new(program, folder, agents, "", 1).await?;
    let names: Vec<String> = (0..voters)
        .map(|voter| format!("\"{}\"", name(voter)))
        .collect();
    let duties = format!("[duties]\nvoters = [{}]\n", names.join(", "));
    for agent in 0..agents {
        if agent < voters {
            all.voter_init(agent, &[0, 1, 2], &duties, false);
        }
        all.start(agent, &[0, 1, 2], &duties);
    }
    let end = Instant::now() + MAX_WAIT;
    for agent in 0..agents {
        while !all
            .ask(agent, "/back?server=first")
            .await
            .is_some_and(|answer| answer.is_committed())
        {
            if Instant::now() > end {
                return Err(io::Error::other(format!(
                    "{}: no operator command was committed within {MAX_WAIT:?} of the start",
                    name(agent)
                )));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(all)
}

/// Commands committed per second, with [`CALLERS`] callers at each voter that each send one command after the other.
async fn commit_rate(program: &Path, voters: usize, seconds: u64) -> io::Result<f64> {
    let folder = tempfile::tempdir()?;
    let all = start_agents(program, folder.path(), voters, voters).await?;
    let (from, duration) = (Instant::now(), Duration::from_secs(seconds));
    let caller = async |voter: usize| {
        let mut committed = 0_u32;
        while from.elapsed() < duration {
            let answer = all.ask(voter, "/back?server=none").await;
            committed += u32::from(answer.as_ref().is_some_and(CommandResult::is_committed));
        }
        committed
    };
    let callers: Vec<_> = (0..voters * CALLERS)
        .map(|at| caller(at % voters))
        .collect();
    let committed: u32 = join_all(callers).await.into_iter().sum();
    Ok(f64::from(committed) / from.elapsed().as_secs_f64())
}

/// Median seconds from the operator command until every agent reports the server as cordoned.
async fn cordon_everywhere(program: &Path, agents: usize) -> io::Result<f64> {
    let folder = tempfile::tempdir()?;
    let all = start_agents(program, folder.path(), VOTERS, agents).await?;
    let mut times_s = Vec::new();
    for nth in 0..CORDONS {
        let from = Instant::now();
        let server = format!("api-{nth}");
        if !all
            .ask(nth % agents, &format!("/out?server={server}"))
            .await
            .is_some_and(|a| a.is_committed())
        {
            return Err(io::Error::other("the cordon of a server was not committed"));
        }
        for agent in 0..agents {
            // Polls the agents one after the other: once the last one has the cordon, all have it.
            while !all
                .duties(agent)
                .await
                .is_ok_and(|report| report.cordoned.contains_key(&server))
            {
                if from.elapsed() > MAX_WAIT {
                    return Err(io::Error::other(format!(
                        "{}: did not receive a cordon within {MAX_WAIT:?}",
                        name(agent)
                    )));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        times_s.push(from.elapsed().as_secs_f64());
    }
    Ok(median(times_s))
}
