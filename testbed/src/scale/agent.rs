//! Measures the agent's cluster membership in virtual time. Each member is the membership state machine alone, without
//! sockets, which allows sizes that one machine can't run as processes; fleets over distant or partitioned regions too.

use std::time::Instant;

use control_plane::membership::{Change, MemberState, MembershipSettings};
use procfs::process::Process;

use super::results::{Aspect, Impact, Measurement, MeasurementSpec, Source};
use super::{check_memory, target, RunParameters, ScaleError};
use crate::agent_harness::virtual_time::{fast_settings, Fleet, Links};

const ROLE: &str = "agent";
const SECOND: u64 = 1_000_000;
/// Seconds after the start in which the gossip about the joins dies down before the idle measurement begins.
const SETTLING_S: u64 = 3;
/// Longest wait for the survivors to detect all failed members of a zone, in seconds.
const MAX_DETECTION_S: u64 = 60;
/// Seconds in which a fleet over regions is observed for false failures.
const REGIONAL_S: u64 = 60;
/// Seconds for which one region is cut off from all others.
const PARTITION_S: u64 = 120;
/// Longest wait for convergence after the region is reachable again, in seconds.
const MAX_HEALING_S: u64 = 120;
/// Digest computations that are averaged.
const DIGEST_READS: u32 = 1_000;

const SWIM: &str = "SWIM with Lifeguard's parts, a probe each second";
const FAST_PROBES: &str = "SWIM with Lifeguard's parts, a probe each 200 ms";
const RATE_LIMITED: &str = "gossip held to a rate of 4,500 bytes a second, probes first";
const FULL_SYNC: &str = "views exchanged whole where digests stay apart";

/// Returns the measurements of the agent role.
pub fn measure(
    parameters: &RunParameters,
    progress: &mut impl FnMut(&str),
) -> Result<Vec<Measurement>, ScaleError> {
    let (mut idle, mut zones, mut regional) = (Vec::new(), Vec::new(), Vec::new());
    let bare_mb = resident_mb()?;
    for &members in parameters.members {
        progress(&format!("agent: {members} idle members"));
        let mut fleet =
            Fleet::preconverged(members, MembershipSettings::default(), Links::default(), 1);
        idle.push((
            members as f64,
            idle_usage(&mut fleet, members, parameters.idle_s, bare_mb)?,
        ));
        progress(&format!("agent: {members} members, a zone fails"));
        zones.push((members as f64, fail_zone(&mut fleet, members)));
    }
    for &members in parameters.regional_members {
        progress(&format!(
            "agent: {members} members over {} regions",
            target::REGIONS
        ));
        regional.push((members as f64, across_regions(members)));
    }
    let mut measurements = idle_measurements(&idle);
    measurements.extend(zone_failure_measurements(&zones));
    measurements.extend(regional_measurements(&regional));
    Ok(measurements)
}

const BASE: MeasurementSpec = MeasurementSpec {
    role: ROLE,
    aspect: Aspect::State,
    name: "",
    unit: "",
    size_unit: "members",
    source: Source::Module,
    target: target::NODES as f64,
    budget: None,
    impact: Impact::Resources,
    mechanism: SWIM,
};

#[derive(Clone, Copy, Debug)]
struct IdleUsage {
    bytes: f64,
    core: f64,
    view_mb: f64,
    digest_us: f64,
}

fn resident_mb() -> Result<f64, ScaleError> {
    Ok(Process::myself()?.status()?.vmrss.unwrap_or(0) as f64 / 1_024.0)
}

fn sent(fleet: &Fleet, members: usize) -> u64 {
    (0..members)
        .filter_map(|agent| fleet.core(agent))
        .map(|core| core.counts().bytes_out)
        .sum()
}

/// `bare_mb` is this process's resident memory before any member existed.
fn idle_usage(
    fleet: &mut Fleet,
    members: usize,
    seconds: u64,
    bare_mb: f64,
) -> Result<IdleUsage, ScaleError> {
    fleet.run(SETTLING_S * SECOND);
    check_memory(0.0)?;
    let before = (sent(fleet, members), fleet.core_time);
    fleet.run(seconds * SECOND);
    let member_seconds = (members as u64 * seconds) as f64;
    let bytes = (sent(fleet, members) - before.0) as f64 / member_seconds;
    let core = (fleet.core_time - before.1).as_secs_f64() / member_seconds * 100.0;
    let started = Instant::now();
    let digests: Vec<u64> = (0..DIGEST_READS)
        .filter_map(|read| fleet.core(read as usize % members))
        .map(|core| core.view().digest())
        .collect();
    let digest_us = started.elapsed().as_secs_f64() * 1e6 / digests.len().max(1) as f64;
    Ok(IdleUsage {
        bytes,
        core,
        // This process holds all members, each with its own view of all the others: the mean per member counts as one
        // view.
        view_mb: (resident_mb()? - bare_mb) / members as f64,
        digest_us,
    })
}

fn idle_measurements(idle: &[(f64, IdleUsage)]) -> Vec<Measurement> {
    let measurement = |spec: MeasurementSpec, value_of: fn(&IdleUsage) -> f64| {
        let measured: Vec<(f64, f64)> = idle
            .iter()
            .map(|(size, usage)| (*size, value_of(usage)))
            .collect();
        Measurement::new(&spec, &measured)
    };
    vec![
        measurement(
            MeasurementSpec {
                aspect: Aspect::Messages,
                name: "rest-bytes",
                unit: "bytes of datagrams a second from each",
                budget: Some(target::BYTES_PER_S),
                ..BASE
            },
            |usage| usage.bytes,
        ),
        measurement(
            MeasurementSpec {
                aspect: Aspect::Processor,
                name: "rest-core",
                unit: "% of a core, decisions alone",
                budget: Some(target::CORE_PERCENT),
                ..BASE
            },
            |usage| usage.core,
        ),
        measurement(
            MeasurementSpec {
                aspect: Aspect::Memory,
                name: "view",
                unit: "MB of a member's view and what it keeps with it",
                budget: Some(target::MEMORY_MB),
                ..BASE
            },
            |usage| usage.view_mb,
        ),
        measurement(
            MeasurementSpec {
                aspect: Aspect::Processor,
                name: "digest",
                unit: "us to read the view's digest",
                ..BASE
            },
            |usage| usage.digest_us,
        ),
    ]
}

#[derive(Clone, Copy, Debug)]
struct ZoneFailure {
    /// Most bytes that a member sent in one second, on average over the survivors.
    bytes: f64,
    core: f64,
    /// Seconds until every survivor knows of every failed member; `None` where some don't in time.
    known_s: Option<f64>,
}

/// Kills one zone, a sixteenth of the members, at once.
fn fail_zone(fleet: &mut Fleet, members: usize) -> ZoneFailure {
    let failed_members: Vec<usize> = (0..members)
        .filter(|agent| agent.is_multiple_of(target::ZONES))
        .collect();
    let living = (members - failed_members.len()) as f64;
    let (killed, from) = (fleet.now(), fleet.reported_changes.len());
    failed_members.iter().for_each(|agent| fleet.kill(*agent));
    let expected = failed_members.len() * (members - failed_members.len());
    let (mut bytes, mut core) = (0.0_f64, 0.0_f64);
    for _ in 0..MAX_DETECTION_S {
        let before = (sent(fleet, members), fleet.core_time);
        fleet.run(SECOND);
        bytes = bytes.max((sent(fleet, members) - before.0) as f64 / living);
        core = core.max((fleet.core_time - before.1).as_secs_f64() / living * 100.0);
        let known = fleet.reported_changes[from..].iter().filter(|report| {
            matches!(
                &report.change,
                Change::Member {
                    to: MemberState::Failed,
                    ..
                }
            )
        });
        if known.count() >= expected {
            break;
        }
    }
    let failed: Vec<u64> = fleet.reported_changes[from..]
        .iter()
        .filter(|report| {
            matches!(
                &report.change,
                Change::Member {
                    to: MemberState::Failed,
                    ..
                }
            )
        })
        .map(|report| report.at)
        .collect();
    let last = failed
        .iter()
        .max()
        .map(|at| (at - killed) as f64 / SECOND as f64);
    ZoneFailure {
        bytes,
        core,
        known_s: last.filter(|_| failed.len() >= expected),
    }
}

fn zone_failure_measurements(zones: &[(f64, ZoneFailure)]) -> Vec<Measurement> {
    let measurement = |spec: MeasurementSpec, value_of: fn(&ZoneFailure) -> f64| {
        let measured: Vec<(f64, f64)> = zones
            .iter()
            .map(|(size, zone)| (*size, value_of(zone)))
            .collect();
        Measurement::new(&spec, &measured)
    };
    let known: Vec<(f64, f64)> = zones
        .iter()
        .filter_map(|(size, zone)| Some((*size, zone.known_s?)))
        .collect();
    let spec = MeasurementSpec {
        aspect: Aspect::Latency,
        name: "zone-known",
        unit: "s until all know of a zone's members that died together",
        ..BASE
    };
    vec![
        measurement(
            MeasurementSpec {
                aspect: Aspect::Messages,
                name: "zone-burst-bytes",
                unit: "bytes in the worst second from each, a zone's members dead",
                budget: Some(target::BYTES_PER_S),
                mechanism: RATE_LIMITED,
                ..BASE
            },
            |zone| zone.bytes,
        ),
        measurement(
            MeasurementSpec {
                aspect: Aspect::Processor,
                name: "zone-burst-core",
                unit: "% of a core in the worst second, decisions alone",
                budget: Some(target::CORE_PERCENT),
                ..BASE
            },
            |zone| zone.core,
        ),
        Measurement::new(&spec, &known),
    ]
}

#[derive(Clone, Copy, Debug)]
struct Regional {
    /// Number of running members that were declared failed: at one probe per second, and at one every 200 ms.
    false_failures: [f64; 2],
    /// Seconds until all views agree after a region is reachable again; `None` if they don't in time.
    healed_s: Option<f64>,
    /// Most bytes sent in one second until all views agree, on average over all members.
    healing_bytes: f64,
}

fn across_regions(members: usize) -> Regional {
    let links = || Links {
        regions: target::REGIONS,
        ..Links::default()
    };
    let false_failures = [MembershipSettings::default(), fast_settings()].map(|settings| {
        let mut fleet = Fleet::preconverged(members, settings, links(), 1);
        fleet.run(REGIONAL_S * SECOND);
        fleet.false_failures(&[]) as f64
    });
    let mut fleet = Fleet::preconverged(members, MembershipSettings::default(), links(), 1);
    let (isolated, rest): (Vec<usize>, Vec<usize>) =
        (0..members).partition(|agent| agent.is_multiple_of(target::REGIONS));
    fleet.links.partition(&isolated, &rest);
    fleet.run(PARTITION_S * SECOND);
    fleet.links.cut.clear();
    let (healed, mut bytes, mut second, mut before) =
        (fleet.now(), 0.0_f64, 0, sent(&fleet, members));
    while !fleet.is_converged() && fleet.now() < healed + MAX_HEALING_S * SECOND {
        fleet.run(SECOND / 10);
        second += 1;
        if second % 10 == 0 {
            let now = sent(&fleet, members);
            bytes = bytes.max((now - before) as f64 / members as f64);
            before = now;
        }
    }
    let healed_s = fleet
        .is_converged()
        .then(|| (fleet.now() - healed) as f64 / SECOND as f64);
    Regional {
        false_failures,
        healed_s,
        healing_bytes: bytes,
    }
}

fn regional_measurements(regional: &[(f64, Regional)]) -> Vec<Measurement> {
    let measurement = |spec: MeasurementSpec, value_of: fn(&Regional) -> f64| {
        let measured: Vec<(f64, f64)> = regional
            .iter()
            .map(|(size, run)| (*size, value_of(run)))
            .collect();
        Measurement::new(&spec, &measured)
    };
    let healed: Vec<(f64, f64)> = regional
        .iter()
        .filter_map(|(size, run)| Some((*size, run.healed_s?)))
        .collect();
    let spec = MeasurementSpec {
        aspect: Aspect::Latency,
        name: "region-healed",
        unit: "s until all see the same, after a region was cut off for 2 min",
        impact: Impact::Delay,
        mechanism: FULL_SYNC,
        ..BASE
    };
    let false_failures = MeasurementSpec {
        name: "falsely-failed",
        unit: "members that ran and were called failed in 60 s, round trips of 5 to 250 ms between 7 regions",
        budget: Some(0.0),
        impact: Impact::Partial,
        ..BASE
    };
    vec![
        measurement(false_failures, |run| run.false_failures[0]),
        measurement(
            MeasurementSpec {
                name: "falsely-failed-brisk",
                mechanism: FAST_PROBES,
                ..false_failures
            },
            |run| run.false_failures[1],
        ),
        Measurement::new(&spec, &healed),
        measurement(
            MeasurementSpec {
                aspect: Aspect::Messages,
                name: "region-healing-bytes",
                unit: "bytes of datagrams in the worst second from each, the region back",
                budget: Some(target::BYTES_PER_S),
                mechanism: RATE_LIMITED,
                ..BASE
            },
            |run| run.healing_bytes,
        ),
    ]
}
