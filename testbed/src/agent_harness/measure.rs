//! Measurements of membership: how soon a death is known, how often anyone is called failed falsely, how soon halves
//! agree again, and what it costs. The figures of `docs/control-plane.md` come from here.

use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

use control_plane::membership::{Change, MemberState};
use nix::sys::signal::Signal;
use procfs::process::Process;
use rayon::prelude::*;
use serde::Serialize;

use super::processes::{Agents, FAST_SETTINGS};
use super::virtual_time::{fast_settings, name, Fleet, Links};

const SECOND: u64 = 1_000_000;
/// A death that not all know by then counts as this long.
const PATIENCE_S: u64 = 30;

/// Spans in milliseconds: the middle, the 99th of a hundred, the longest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Half are at most this.
    pub p50: u64,
    /// 99 of 100 are at most this.
    pub p99: u64,
    /// All are at most this.
    pub most: u64,
    /// How many there are.
    pub plays: usize,
}

impl Spread {
    /// Of spans in milliseconds.
    pub fn of(mut spans: Vec<u64>) -> Spread {
        spans.sort_unstable();
        let at = |part: f64| {
            spans
                .get(((spans.len() as f64 * part).ceil() as usize).max(1) - 1)
                .copied()
        };
        Spread {
            p50: at(0.5).unwrap_or(0),
            p99: at(0.99).unwrap_or(0),
            most: spans.last().copied().unwrap_or(0),
            plays: spans.len(),
        }
    }
}

/// Fleets from this size on do not join one by one.
const LARGE: usize = 200;

fn fleet(members: usize, seed: u64) -> Fleet {
    if members < LARGE {
        Fleet::converged(members, fast_settings(), Links::default(), seed)
    } else {
        Fleet::preconverged(members, fast_settings(), Links::default(), seed)
    }
}

/// From a kill until all others call it failed, one play a seed.
pub fn detection(members: usize, plays: u64) -> Spread {
    let span = |seed: u64| {
        let mut fleet = fleet(members, seed);
        // Anywhere in a probe's round.
        fleet.run(seed * 37_003 % SECOND);
        let victim = (seed as usize * 7 + 3) % members;
        let (killed, from) = (fleet.now(), fleet.reported_changes.len());
        fleet.kill(victim);
        let victim_name = name(victim);
        let is = |change: &Change| matches!(change, Change::Member { name, to: MemberState::Failed, .. } if name.as_str() == victim_name);
        loop {
            fleet.run(SECOND / 10);
            let known: Vec<u64> = fleet.reported_changes[from..]
                .iter()
                .filter(|told| is(&told.change))
                .map(|told| told.at)
                .collect();
            if known.len() >= members - 1 {
                return (known.into_iter().max().unwrap_or(killed) - killed) / 1_000;
            }
            if fleet.now() > killed + PATIENCE_S * SECOND {
                return PATIENCE_S * 1_000;
            }
        }
    };
    Spread::of((0..plays).into_par_iter().map(span).collect())
}

/// Members called failed though they ran, in so many hours of virtual time, an hour a seed.
pub fn false_failures(members: usize, loss: f64, hours: u64) -> usize {
    let hour = |seed: u64| {
        let mut fleet = fleet(members, seed);
        fleet.links.loss = loss;
        let mut falsely = 0;
        for _ in 0..60 {
            fleet.run(60 * SECOND);
            falsely += fleet.false_failures(&[]);
            fleet.reported_changes.clear();
        }
        falsely
    };
    (0..hours).into_par_iter().map(hour).sum()
}

/// From the healing of a partition three to two, 20 s long, until all see the same again.
pub fn healing(members: usize, plays: u64) -> Spread {
    let span = |seed: u64| {
        let mut fleet = fleet(members, seed);
        let (one, other): (Vec<usize>, Vec<usize>) = (0..members).partition(|agent| agent % 5 < 3);
        fleet.links.partition(&one, &other);
        fleet.run(20 * SECOND + seed * 37_003 % SECOND);
        fleet.links.cut.clear();
        let healed = fleet.now();
        while !fleet.is_converged() && fleet.now() < healed + PATIENCE_S * SECOND {
            fleet.run(SECOND / 50);
        }
        (fleet.now() - healed) / 1_000
    };
    Spread::of((0..plays).into_par_iter().map(span).collect())
}

/// What a member costs a second, at rest.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Cost {
    /// Bytes of datagrams sent.
    pub bytes_out: f64,
    /// Datagrams sent.
    pub datagrams_out: f64,
    /// Processor time of the core's decisions, in microseconds; without sockets.
    pub cpu_us: f64,
}

/// Over so many seconds of virtual time, ten at most in a large fleet, in one thread.
pub fn cost(members: usize, seconds: u64) -> Cost {
    let mut fleet = fleet(members, 1);
    // The news of the joins are passed on for a while.
    fleet.run(if members < LARGE {
        20 * SECOND
    } else {
        5 * SECOND
    });
    let seconds = if members < LARGE {
        seconds
    } else {
        seconds.min(10)
    };
    let sums = |fleet: &Fleet| {
        let counts = (0..members)
            .filter_map(|agent| fleet.core(agent))
            .map(|core| core.counts());
        counts.fold((0, 0), |(bytes, number), c| {
            (bytes + c.bytes_out, number + c.datagrams_out)
        })
    };
    let (before, began) = (sums(&fleet), Instant::now());
    fleet.run(seconds * SECOND);
    let (after, part) = (sums(&fleet), (members as u64 * seconds) as f64);
    Cost {
        bytes_out: (after.0 - before.0) as f64 / part,
        datagrams_out: (after.1 - before.1) as f64 / part,
        cpu_us: began.elapsed().as_micros() as f64 / part,
    }
}

/// What real agents showed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Real {
    /// From SIGKILL until all others call it failed, asked each 20 ms.
    pub detection: Spread,
    /// From the healing of a partition three to two until all see the same.
    pub healing: Spread,
    /// Processor time a member a second at rest, in milliseconds.
    pub cpu_ms: f64,
    /// The largest resident memory of any, in MiB.
    pub memory_mib: f64,
    /// Bytes of datagrams a member a second at rest.
    pub bytes_out: f64,
}

/// Plays with real processes of `program`, on loopback; so many kills and partitions.
pub async fn real(program: &Path, members: usize, plays: usize) -> io::Result<Real> {
    let folder = tempfile::tempdir()?;
    let patience = Duration::from_secs(PATIENCE_S);
    let mut agents = Agents::new(program, folder.path(), members, FAST_SETTINGS, 1).await?;
    agents.start_all(patience).await;
    let all: Vec<usize> = (0..members).collect();
    let (mut deaths, mut healings) = (Vec::new(), Vec::new());
    for play in 0..plays {
        let victim = play % members;
        agents.kill(victim);
        let killed = Instant::now();
        let others: Vec<usize> = all
            .iter()
            .copied()
            .filter(|&agent| agent != victim)
            .collect();
        let known = async |agents: &Agents| {
            for &by in &others {
                if agents.sees(by, victim).await != Some(MemberState::Failed) {
                    return false;
                }
            }
            true
        };
        agents.until("the death is known", patience, known).await;
        deaths.push(killed.elapsed().as_millis() as u64);
        agents.start(victim, &[others[0], others[1]], "");
        agents.wait_until_converged(&all, patience).await;
    }
    for _ in 0..plays.div_ceil(4) {
        let (one, other): (Vec<usize>, Vec<usize>) = all.iter().partition(|&agent| agent % 5 < 3);
        agents.links.partition(&one, &other);
        agents.wait_until_converged(&other, patience).await;
        agents.wait_until_converged(&one, patience).await;
        agents.links.heal();
        healings.push(
            agents
                .wait_until_converged(&all, patience)
                .await
                .as_millis() as u64,
        );
    }
    let cpu = |agents: &Agents| -> f64 {
        let stats = all
            .iter()
            .filter_map(|&agent| Process::new(agents.pid(agent)? as i32).ok()?.stat().ok());
        stats
            .map(|stat| (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64 * 1e3)
            .sum()
    };
    let bytes = async |agents: &Agents| {
        let mut sum = 0;
        for &agent in &all {
            sum += agents
                .report(agent)
                .await
                .map_or(0, |report| report.counts.bytes_out);
        }
        sum
    };
    let rest = Duration::from_secs(20);
    let before = (cpu(&agents), bytes(&agents).await);
    tokio::time::sleep(rest).await;
    let after = (cpu(&agents), bytes(&agents).await);
    let part = rest.as_secs_f64() * members as f64;
    let memory = all.iter().filter_map(|&agent| {
        Process::new(agents.pid(agent)? as i32)
            .ok()?
            .status()
            .ok()?
            .vmhwm
            .map(|kib| kib as f64 / 1_024.0)
    });
    let memory_mib = memory.fold(0.0, f64::max);
    for &agent in &all {
        agents.signal(agent, Signal::SIGTERM);
    }
    Ok(Real {
        detection: Spread::of(deaths),
        healing: Spread::of(healings),
        cpu_ms: (after.0 - before.0) / part,
        memory_mib,
        bytes_out: (after.1 - before.1) as f64 / part,
    })
}

/// How soon a duty is held again after its holder dies, among three voters of real processes: from SIGKILL until
/// another may act, asked each 20 ms.
pub async fn failover(program: &Path, kills: usize) -> io::Result<Spread> {
    let folder = tempfile::tempdir()?;
    let patience = Duration::from_secs(PATIENCE_S);
    let mut agents = Agents::new(program, folder.path(), 3, FAST_SETTINGS, 1).await?;
    let more = "[duties]\nvoters = [\"m0\", \"m1\", \"m2\"]\n";
    let all = [0, 1, 2];
    for agent in all {
        agents.voter_init(agent, &all, more, false);
        agents.start(agent, &all, more);
    }
    agents.wait_until_converged(&all, patience).await;
    let mut spans = Vec::new();
    for _ in 0..kills {
        // Who may act now, by its own word; all duties are of one kind here.
        let mut holder = None;
        agents
            .until(
                "somebody holds the duty",
                patience,
                async |agents: &Agents| {
                    for agent in all {
                        if agents
                            .duties(agent)
                            .await
                            .is_ok_and(|report| report.roles[0].lease_ms > 0)
                        {
                            holder = Some(agent);
                            return true;
                        }
                    }
                    false
                },
            )
            .await;
        let Some(victim) = holder else { break };
        agents.kill(victim);
        let killed = Instant::now();
        let followed = async |agents: &Agents| {
            for agent in all.into_iter().filter(|&agent| agent != victim) {
                if agents
                    .duties(agent)
                    .await
                    .is_ok_and(|report| report.roles[0].lease_ms > 0)
                {
                    return true;
                }
            }
            false
        };
        agents
            .until("another holds the duty", patience, followed)
            .await;
        spans.push(killed.elapsed().as_millis() as u64);
        agents.start(victim, &all, more);
        agents.wait_until_converged(&all, patience).await;
    }
    Ok(Spread::of(spans))
}
