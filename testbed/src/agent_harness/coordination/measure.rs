//! Measures the coordinator: how soon a role is held again after its holder's death, how soon a cordon
//! reaches all agents, how many commands are committed per second, and the cost at rest. The figures of
//! `docs/control-plane.md` come from here.

use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

use control_plane::coordinator::CommandResult;
use futures_util::future::join_all;
use procfs::process::Process;
use serde::Serialize;

use super::World;
use crate::agent_harness::measure::{failover, Spread};
use crate::agent_harness::processes::{Agents, FAST_SETTINGS};

const COMMAND_TIMEOUT: Duration = Duration::from_secs(30);
const VOTERS_CONFIG: &str = "[duties]\nvoters = [\"m0\", \"m1\", \"m2\"]\n";
/// Servers that are cordoned, one after the other.
const CORDONS: usize = 40;
/// Commands in each of the two throughput measurements, sequential and concurrent.
const COMMANDS: usize = 200;
/// Concurrent callers in the concurrent throughput measurement.
const CALLERS: usize = 16;

/// Results of [`real`].
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measured {
    /// Time from SIGKILL of a role holder until another agent is active, with three voters.
    pub failover: Spread,
    /// Time from a cordon command until all five agents have the cordon.
    pub out: Spread,
    /// Commands per second: one after the other, and with concurrent callers.
    pub calls: (f64, f64),
    /// Processor time of an agent at rest, in milliseconds per second: of a voter, and of an agent without a
    /// vote.
    pub rest: (f64, f64),
}

/// Measures five real processes, three of them voters with a lease of 1 s, over `kills` failovers.
pub async fn real(program: &Path, kills: usize) -> io::Result<Measured> {
    let folder = tempfile::tempdir()?;
    let mut agents = Agents::new(program, folder.path(), 5, FAST_SETTINGS, 1).await?;
    let all = [0, 1, 2, 3, 4];
    for agent in all {
        if agent < 3 {
            agents.voter_init(agent, &[0, 1, 2], VOTERS_CONFIG, false);
        }
        agents.start(agent, &[0, 1, 2], VOTERS_CONFIG);
    }
    agents.wait_until_converged(&all, COMMAND_TIMEOUT).await;
    let committed = async |agents: &Agents| {
        agents
            .ask(0, "/out?server=first")
            .await
            .is_some_and(|a| a.is_committed())
    };
    agents
        .until("a command is committed", COMMAND_TIMEOUT, committed)
        .await;
    let cpu = |agent: usize, agents: &Agents| -> f64 {
        let stat = agents
            .pid(agent)
            .and_then(|pid| Process::new(pid as i32).ok()?.stat().ok());
        stat.map_or(0.0, |s| {
            (s.utime + s.stime) as f64 / procfs::ticks_per_second() as f64 * 1e3
        })
    };
    let span = 20;
    let before: Vec<f64> = all.iter().map(|agent| cpu(*agent, &agents)).collect();
    tokio::time::sleep(Duration::from_secs(span)).await;
    let spent: Vec<f64> = all
        .iter()
        .map(|a| (cpu(*a, &agents) - before[*a]) / span as f64)
        .collect();
    let rest = (
        spent[..3].iter().sum::<f64>() / 3.0,
        spent[3..].iter().sum::<f64>() / 2.0,
    );
    let mut cordon_times = Vec::new();
    for number in 0..CORDONS {
        let start = Instant::now();
        let path = format!("/out?server=s{number}");
        if !agents
            .ask(number % 5, &path)
            .await
            .is_some_and(|answer| answer.is_committed())
        {
            return Err(io::Error::other("a cordon command was not committed"));
        }
        let server = format!("s{number}");
        let has_cordon = async |agents: &Agents| {
            for agent in all {
                if !agents
                    .duties(agent)
                    .await
                    .is_ok_and(|report| report.cordoned.contains_key(&server))
                {
                    return false;
                }
            }
            true
        };
        agents
            .until("all agents have the cordon", COMMAND_TIMEOUT, has_cordon)
            .await;
        cordon_times.push(start.elapsed().as_millis() as u64);
    }
    let start = Instant::now();
    for call in 0..COMMANDS {
        expect_committed(
            agents
                .ask(0, &format!("/back?server=s{}", call % CORDONS))
                .await,
        )?;
    }
    let sequential = COMMANDS as f64 / start.elapsed().as_secs_f64();
    let start = Instant::now();
    let mut batches = 0;
    while batches < COMMANDS / CALLERS {
        let batch: Vec<_> = (0..CALLERS)
            .map(|at| agents.ask(at % 5, "/out?server=many"))
            .collect();
        for answer in join_all(batch).await {
            expect_committed(answer)?;
        }
        batches += 1;
    }
    let concurrent = (batches * CALLERS) as f64 / start.elapsed().as_secs_f64();
    drop(agents);
    Ok(Measured {
        failover: failover(program, kills).await?,
        out: Spread::of(cordon_times),
        calls: (sequential, concurrent),
        rest,
    })
}

fn expect_committed(answer: Option<CommandResult>) -> io::Result<()> {
    match answer {
        Some(CommandResult::Committed(_)) => Ok(()),
        other => Err(io::Error::other(format!(
            "an operator command was not committed: {other:?}"
        ))),
    }
}

/// Measures, in virtual time and without faults, the time from a cordon or uncordon command until all of
/// `agents` agents enforce the result.
pub fn out(agents: usize, calls: usize) -> Spread {
    const STEP: u64 = 5_000;
    let mut world = World::sized(5, agents.max(5) - 5, 1, None);
    world.run(4_000_000);
    let mut times = Vec::new();
    for _ in 0..calls {
        let start = world.now();
        world.send_command();
        world.run(STEP);
        while !world.cordons_converged() && world.now() < start + 30_000_000 {
            world.run(STEP);
        }
        times.push((world.now() - start) / 1_000);
        world.run(300_000);
    }
    Spread::of(times)
}
