//! Measures membership: how soon a death is known to all, how many members are called failed falsely, how
//! soon views agree after a partition, and the cost. The figures of `docs/control-plane.md` come from here.

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
/// Longest time that is measured, in seconds. A death that not all members know of by then, or a partition
/// after which the views still differ, is recorded with this time. With real processes, the run panics.
const DETECTION_LIMIT_S: u64 = 30;

/// Distribution of durations in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Maximum.
    pub most: u64,
    /// Number of durations.
    pub plays: usize,
}

impl Spread {
    /// Sorts durations in milliseconds into a distribution.
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

/// Fleets from this size on start with complete views instead of joining.
const LARGE_FLEET: usize = 200;

fn fleet(members: usize, seed: u64) -> Fleet {
    if members < LARGE_FLEET {
        Fleet::converged(members, fast_settings(), Links::default(), seed)
    } else {
        Fleet::preconverged(members, fast_settings(), Links::default(), seed)
    }
}

/// Measures the time from a kill until all other members call the victim failed, one run per seed.
pub fn detection(members: usize, runs: u64) -> Spread {
    let span = |seed: u64| {
        let mut fleet = fleet(members, seed);
        // Seeds differ in where in the probe interval the kill falls.
        fleet.run(seed * 37_003 % SECOND);
        let victim = (seed as usize * 7 + 3) % members;
        let (killed, from) = (fleet.now(), fleet.reported_changes.len());
        fleet.kill(victim);
        let victim_name = name(victim);
        let is_failure = |change: &Change| matches!(change, Change::Member { name, to: MemberState::Failed, .. } if name.as_str() == victim_name);
        loop {
            fleet.run(SECOND / 10);
            let known: Vec<u64> = fleet.reported_changes[from..]
                .iter()
                .filter(|reported| is_failure(&reported.change))
                .map(|reported| reported.at)
                .collect();
            if known.len() >= members - 1 {
                return (known.into_iter().max().unwrap_or(killed) - killed) / 1_000;
            }
            if fleet.now() > killed + DETECTION_LIMIT_S * SECOND {
                return DETECTION_LIMIT_S * 1_000;
            }
        }
    };
    Spread::of((0..runs).into_par_iter().map(span).collect())
}

/// Counts members that were called failed although they ran, over `hours` hours of virtual time, one hour per
/// seed.
pub fn false_failures(members: usize, loss: f64, hours: u64) -> usize {
    let hour = |seed: u64| {
        let mut fleet = fleet(members, seed);
        fleet.links.loss = loss;
        let mut false_failures = 0;
        for _ in 0..60 {
            fleet.run(60 * SECOND);
            false_failures += fleet.false_failures(&[]);
            fleet.reported_changes.clear();
        }
        false_failures
    };
    (0..hours).into_par_iter().map(hour).sum()
}

/// Measures the time from the end of a partition of 20 s or slightly more, three members in five against two,
/// until all views agree again.
pub fn healing(members: usize, runs: u64) -> Spread {
    let span = |seed: u64| {
        let mut fleet = fleet(members, seed);
        let (one, other): (Vec<usize>, Vec<usize>) = (0..members).partition(|agent| agent % 5 < 3);
        fleet.links.partition(&one, &other);
        fleet.run(20 * SECOND + seed * 37_003 % SECOND);
        fleet.links.cut.clear();
        let healed = fleet.now();
        while !fleet.is_converged() && fleet.now() < healed + DETECTION_LIMIT_S * SECOND {
            fleet.run(SECOND / 50);
        }
        (fleet.now() - healed) / 1_000
    };
    Spread::of((0..runs).into_par_iter().map(span).collect())
}

/// Cost of membership at rest, per member and second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Cost {
    /// Bytes of datagrams that a member sends.
    pub bytes_out: f64,
    /// Datagrams that a member sends.
    pub datagrams_out: f64,
    /// Time to simulate a member, in microseconds: its state machine and the links, without sockets.
    pub cpu_us: f64,
}

/// Measures the cost of membership over `seconds` seconds of virtual time, at most ten in a large fleet, in one
/// thread.
pub fn cost(members: usize, seconds: u64) -> Cost {
    let mut fleet = fleet(members, 1);
    // Gossip about the joins goes on for a while and is no part of the cost at rest.
    fleet.run(if members < LARGE_FLEET {
        20 * SECOND
    } else {
        5 * SECOND
    });
    let seconds = if members < LARGE_FLEET {
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
    let (after, member_seconds) = (sums(&fleet), (members as u64 * seconds) as f64);
    Cost {
        bytes_out: (after.0 - before.0) as f64 / member_seconds,
        datagrams_out: (after.1 - before.1) as f64 / member_seconds,
        cpu_us: began.elapsed().as_micros() as f64 / member_seconds,
    }
}

/// Results of [`real`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Real {
    /// Time from SIGKILL until all others call the victim failed, polled every 20 ms.
    pub detection: Spread,
    /// Time from the end of a partition, three members in five against two, until all views agree.
    pub healing: Spread,
    /// Processor time of a member at rest, in milliseconds per second.
    pub cpu_ms: f64,
    /// Largest resident memory of any member, in MiB.
    pub memory_mib: f64,
    /// Bytes of datagrams that a member sends per second at rest.
    pub bytes_out: f64,
}

/// Measures `members` real processes of `program` on loopback, over `kills` kills and a quarter as many
/// partitions.
pub async fn real(program: &Path, members: usize, kills: usize) -> io::Result<Real> {
    let folder = tempfile::tempdir()?;
    let timeout = Duration::from_secs(DETECTION_LIMIT_S);
    let mut agents = Agents::new(program, folder.path(), members, FAST_SETTINGS, 1).await?;
    agents.start_all(timeout).await;
    let all: Vec<usize> = (0..members).collect();
    let (mut detection_times, mut healing_times) = (Vec::new(), Vec::new());
    for kill in 0..kills {
        let victim = kill % members;
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
        agents.until("the death is known", timeout, known).await;
        detection_times.push(killed.elapsed().as_millis() as u64);
        agents.start(victim, &[others[0], others[1]], "");
        agents.wait_until_converged(&all, timeout).await;
    }
    for _ in 0..kills.div_ceil(4) {
        let (one, other): (Vec<usize>, Vec<usize>) = all.iter().partition(|&agent| agent % 5 < 3);
        agents.links.partition(&one, &other);
        agents.wait_until_converged(&other, timeout).await;
        agents.wait_until_converged(&one, timeout).await;
        agents.links.heal();
        healing_times.push(agents.wait_until_converged(&all, timeout).await.as_millis() as u64);
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
    let rest_time = Duration::from_secs(20);
    let before = (cpu(&agents), bytes(&agents).await);
    tokio::time::sleep(rest_time).await;
    let after = (cpu(&agents), bytes(&agents).await);
    let member_seconds = rest_time.as_secs_f64() * members as f64;
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
        detection: Spread::of(detection_times),
        healing: Spread::of(healing_times),
        cpu_ms: (after.0 - before.0) / member_seconds,
        memory_mib,
        bytes_out: (after.1 - before.1) as f64 / member_seconds,
    })
}

/// Measures, with three voters as real processes, the time from SIGKILL of a role's holder until another agent
/// is active, polled every 20 ms.
pub async fn failover(program: &Path, kills: usize) -> io::Result<Spread> {
    let folder = tempfile::tempdir()?;
    let timeout = Duration::from_secs(DETECTION_LIMIT_S);
    let mut agents = Agents::new(program, folder.path(), 3, FAST_SETTINGS, 1).await?;
    let voters_config = "[duties]\nvoters = [\"m0\", \"m1\", \"m2\"]\n";
    let all = [0, 1, 2];
    for agent in all {
        agents.voter_init(agent, &all, voters_config, false);
        agents.start(agent, &all, voters_config);
    }
    agents.wait_until_converged(&all, timeout).await;
    let mut spans = Vec::new();
    for _ in 0..kills {
        // The agent that reports an active lease. All roles use the same lease, so the first one stands for
        // all.
        let mut holder = None;
        agents
            .until(
                "an agent holds the role",
                timeout,
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
            .until("another agent holds the role", timeout, followed)
            .await;
        spans.push(killed.elapsed().as_millis() as u64);
        agents.start(victim, &all, voters_config);
        agents.wait_until_converged(&all, timeout).await;
    }
    Ok(Spread::of(spans))
}
