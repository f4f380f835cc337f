//! Measures real agents on loopback, as many as fit: what voters' staff have agreed a second, and how soon a server out
//! has reached all. Beside the plays, where nothing is lost to sockets, disks and other processes.

use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

use control_plane::coordinator::CommandResult;
use futures_util::future::{join_all, FutureExt};
use futures_util::stream::{iter, StreamExt, TryStreamExt};

use super::super::results::{About, Aspect, Loss, Measurement, Source};
use super::super::{middle, target, Effort, ScaleError};
use super::BASE;
use crate::agent_harness::processes::{name, Agents};

/// Agents that started are awaited for so long, and a server out likewise.
const AWAITED: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(10);
/// Staff's calls at a time at each voter: half of what its address takes.
const CALLERS: usize = 4;
/// Servers taken out, one after the other.
const OUTS: usize = 5;
/// Voters among agents that are told of a server out.
const VOTERS: usize = 3;

const REAL: &str = "agents as processes on loopback, this machine's disk";

/// The figures.
pub async fn measure(
    program: &Path,
    effort: &Effort,
    told: &mut impl FnMut(&str),
) -> Result<Vec<Measurement>, ScaleError> {
    let io = || ScaleError::io("real agents");
    if !program.is_file() {
        return Err(io()(io::Error::other(format!(
            "{}: no such program",
            program.display()
        ))));
    }
    let most = if effort.real_together {
        effort.real_voters.len() + effort.real_agents.len()
    } else {
        1
    };
    told("control: voters and agents as processes");
    let agreed = effort.real_voters.iter().map(|&voters| {
        async move { Ok((voters as f64, agree(program, voters, effort.ask_s).await?)) }
            .boxed_local()
    });
    let outs = effort.real_agents.iter().map(|&agents| {
        async move { Ok((agents as f64, out_all(program, agents).await?)) }.boxed_local()
    });
    let all: io::Result<Vec<(f64, f64)>> =
        iter(agreed.chain(outs)).buffered(most).try_collect().await;
    let mut agreed = all.map_err(io())?;
    let outs = agreed.split_off(effort.real_voters.len());
    let base = About {
        source: Source::Processes,
        carried_by: REAL,
        ..BASE
    };
    Ok(vec![
        Measurement::new(
            &About {
                aspect: Aspect::Messages,
                name: "real-entries",
                unit: "asks agreed a second, four callers at each voter",
                of: "voters",
                target: target::CONTROL as f64,
                ..base
            },
            &agreed,
        ),
        Measurement::new(
            &About {
                aspect: Aspect::Latency,
                name: "real-out-all",
                unit: "s from staff's ask until all agents have a server out, three voters",
                budget: Some(target::FORCE_MS / 1e3),
                loss: Loss::Time,
                ..base
            },
            &outs,
        ),
    ])
}

/// Agents of which the first vote, each of which has had a yes for its staff.
async fn started(
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
    let end = Instant::now() + AWAITED;
    for agent in 0..agents {
        while !all
            .ask(agent, "/back?server=first")
            .await
            .is_some_and(|answer| answer.is_committed())
        {
            if Instant::now() > end {
                return Err(io::Error::other(format!(
                    "{}: no yes for its staff",
                    name(agent)
                )));
            }
            tokio::time::sleep(LOOK).await;
        }
    }
    Ok(all)
}

/// Yes a second, a few callers at each voter asking one thing after the other.
async fn agree(program: &Path, voters: usize, seconds: u64) -> io::Result<f64> {
    let folder = tempfile::tempdir()?;
    let all = started(program, folder.path(), voters, voters).await?;
    let (from, span) = (Instant::now(), Duration::from_secs(seconds));
    let caller = async |voter: usize| {
        let mut yes = 0_u32;
        while from.elapsed() < span {
            let answer = all.ask(voter, "/back?server=none").await;
            yes += u32::from(answer.as_ref().is_some_and(CommandResult::is_committed));
        }
        yes
    };
    let callers: Vec<_> = (0..voters * CALLERS)
        .map(|at| caller(at % voters))
        .collect();
    let yes: u32 = join_all(callers).await.into_iter().sum();
    Ok(f64::from(yes) / from.elapsed().as_secs_f64())
}

/// From staff's ask until every agent says that a server is out, in s: the middle one.
async fn out_all(program: &Path, agents: usize) -> io::Result<f64> {
    let folder = tempfile::tempdir()?;
    let all = started(program, folder.path(), VOTERS, agents).await?;
    let mut spans = Vec::new();
    for out in 0..OUTS {
        let from = Instant::now();
        let server = format!("api-{out}");
        if !all
            .ask(out % agents, &format!("/out?server={server}"))
            .await
            .is_some_and(|a| a.is_committed())
        {
            return Err(io::Error::other("a call was not answered with yes"));
        }
        for agent in 0..agents {
            // One after the other: what all have, the last one asked has.
            while !all
                .duties(agent)
                .await
                .is_ok_and(|report| report.cordoned.contains_key(&server))
            {
                if from.elapsed() > AWAITED {
                    return Err(io::Error::other(format!(
                        "{}: never told of a server out",
                        name(agent)
                    )));
                }
                tokio::time::sleep(LOOK).await;
            }
        }
        spans.push(from.elapsed().as_secs_f64());
    }
    Ok(middle(spans))
}
