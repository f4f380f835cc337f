//! Measurements of duties: how soon one is held again after its holder's death, how soon servers out reach all, how much
//! can be agreed on in a second, and what it costs at rest. The figures of `docs/control-plane.md` come from here.

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
const VOTERS: &str = "[duties]\nvoters = [\"m0\", \"m1\", \"m2\"]\n";
/// Servers taken out, one after the other.
const OUTS: usize = 40;
/// Calls one after the other, and callers at once.
const CALLS: usize = 200;
const CALLERS: usize = 16;

/// What was measured.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measured {
    /// From a holder's SIGKILL until another may act, of three voters.
    pub failover: Spread,
    /// From staff's call until all of five agents have the server out.
    pub out: Spread,
    /// Calls answered a second: one after the other, and many at once.
    pub calls: (f64, f64),
    /// Processor time of an agent in a second at rest, in milliseconds: a voter's, and one's without a vote.
    pub rest: (f64, f64),
}

/// On five real processes, three of them voters with a lease of 1 s.
pub async fn real(program: &Path, kills: usize) -> io::Result<Measured> {
    let folder = tempfile::tempdir()?;
    let mut agents = Agents::new(program, folder.path(), 5, FAST_SETTINGS, 1).await?;
    let all = [0, 1, 2, 3, 4];
    for agent in all {
        if agent < 3 {
            agents.voter_init(agent, &[0, 1, 2], VOTERS, false);
        }
        agents.start(agent, &[0, 1, 2], VOTERS);
    }
    agents.wait_until_converged(&all, COMMAND_TIMEOUT).await;
    let held = async |agents: &Agents| {
        agents
            .ask(0, "/out?server=first")
            .await
            .is_some_and(|a| a.is_committed())
    };
    agents
        .until("something is agreed on", COMMAND_TIMEOUT, held)
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
    let mut outs = Vec::new();
    for out in 0..OUTS {
        let start = Instant::now();
        let path = format!("/out?server=s{out}");
        if !agents
            .ask(out % 5, &path)
            .await
            .is_some_and(|answer| answer.is_committed())
        {
            return Err(io::Error::other("a call was not answered with yes"));
        }
        let server = format!("s{out}");
        let has = async |agents: &Agents| {
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
        agents.until("all have it out", COMMAND_TIMEOUT, has).await;
        outs.push(start.elapsed().as_millis() as u64);
    }
    let start = Instant::now();
    for call in 0..CALLS {
        yes(agents
            .ask(0, &format!("/back?server=s{}", call % OUTS))
            .await)?;
    }
    let alone = CALLS as f64 / start.elapsed().as_secs_f64();
    let start = Instant::now();
    let mut waves = 0;
    while waves < CALLS / CALLERS {
        let wave: Vec<_> = (0..CALLERS)
            .map(|at| agents.ask(at % 5, "/out?server=many"))
            .collect();
        for answer in join_all(wave).await {
            yes(answer)?;
        }
        waves += 1;
    }
    let together = (waves * CALLERS) as f64 / start.elapsed().as_secs_f64();
    drop(agents);
    Ok(Measured {
        failover: failover(program, kills).await?,
        out: Spread::of(outs),
        calls: (alone, together),
        rest,
    })
}

fn yes(answer: Option<CommandResult>) -> io::Result<()> {
    match answer {
        Some(CommandResult::Committed(_)) => Ok(()),
        other => Err(io::Error::other(format!(
            "a call was answered with {other:?}"
        ))),
    }
}

/// In virtual time: from staff's call until all of so many agents have the server out, without faults.
pub fn out(agents: usize, calls: usize) -> Spread {
    const STEP: u64 = 5_000;
    let mut world = World::sized(5, agents.max(5) - 5, 1, None);
    world.run(4_000_000);
    let mut spans = Vec::new();
    for _ in 0..calls {
        let start = world.now();
        world.call();
        world.run(STEP);
        while !world.all_have_it() && world.now() < start + 30_000_000 {
            world.run(STEP);
        }
        spans.push((world.now() - start) / 1_000);
        world.run(300_000);
    }
    Spread::of(spans)
}
