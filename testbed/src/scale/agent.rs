//! Measures the agent: membership in virtual time among hollow members, each the pure core with nothing but clocks and
//! links round it, up to sizes that no machine runs as processes; also over regions that are far apart or cut off.

use std::time::Instant;

use control_plane::membership::{Change, MemberState, MembershipSettings};
use procfs::process::Process;

use super::results::{About, Aspect, Loss, Measurement, Source};
use super::{check_memory, target, Effort, ScaleError};
use crate::agent_harness::virtual_time::{fast_settings, Fleet, Links};

const ROLE: &str = "agent";
const SECOND: u64 = 1_000_000;
/// After the start, the news of the joins are passed on for so long.
const CALM_S: u64 = 3;
/// A zone's members die together; the others are watched for so long.
const AFTER_S: u64 = 60;
/// A fleet that lies over regions is watched for so long.
const FAR_S: u64 = 60;
/// One region is cut off from all others for so long, and the healing waited for.
const PARTED_S: u64 = 120;
const HEALS_S: u64 = 120;
/// Looks at the digest, of which the mean counts.
const LOOKS: u32 = 1_000;

const SWIM: &str = "SWIM with Lifeguard's parts, a probe each second";
const BRISK: &str = "SWIM with Lifeguard's parts, a probe each 200 ms";
const PACED: &str = "gossip held to a rate of 4,500 bytes a second, probes first";
const SYNC: &str = "views exchanged whole where digests stay apart";

/// The figures of the role.
pub fn measure(
    effort: &Effort,
    told: &mut impl FnMut(&str),
) -> Result<Vec<Measurement>, ScaleError> {
    let (mut rests, mut zones, mut fars) = (Vec::new(), Vec::new(), Vec::new());
    let bare_mb = resident_mb()?;
    for &members in effort.members {
        told(&format!("agent: {members} members at rest"));
        let mut fleet =
            Fleet::preconverged(members, MembershipSettings::default(), Links::default(), 1);
        rests.push((
            members as f64,
            rest(&mut fleet, members, effort.rest_s, bare_mb)?,
        ));
        told(&format!("agent: {members} members, a zone dies"));
        zones.push((members as f64, zone(&mut fleet, members)));
    }
    for &members in effort.far {
        told(&format!(
            "agent: {members} members over {} regions",
            target::REGIONS
        ));
        fars.push((members as f64, far(members)));
    }
    let mut measurements = at_rest(&rests);
    measurements.extend(when_a_zone_dies(&zones));
    measurements.extend(over_regions(&fars));
    Ok(measurements)
}

const BASE: About = About {
    role: ROLE,
    aspect: Aspect::State,
    name: "",
    unit: "",
    of: "members",
    source: Source::Module,
    target: target::NODES as f64,
    budget: None,
    loss: Loss::Room,
    carried_by: SWIM,
};

#[derive(Clone, Copy, Debug)]
struct Rest {
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

/// `bare_mb` is what this process held before it had any members.
fn rest(fleet: &mut Fleet, members: usize, seconds: u64, bare_mb: f64) -> Result<Rest, ScaleError> {
    fleet.run(CALM_S * SECOND);
    check_memory(0.0)?;
    let before = (sent(fleet, members), fleet.core_time);
    fleet.run(seconds * SECOND);
    let part = (members as u64 * seconds) as f64;
    let bytes = (sent(fleet, members) - before.0) as f64 / part;
    let core = (fleet.core_time - before.1).as_secs_f64() / part * 100.0;
    let began = Instant::now();
    let looks: Vec<u64> = (0..LOOKS)
        .filter_map(|look| fleet.core(look as usize % members))
        .map(|core| core.view().digest())
        .collect();
    let digest_us = began.elapsed().as_secs_f64() * 1e6 / looks.len().max(1) as f64;
    // All members share this process, and each holds a view of all.
    Ok(Rest {
        bytes,
        core,
        view_mb: (resident_mb()? - bare_mb) / members as f64,
        digest_us,
    })
}

fn at_rest(rests: &[(f64, Rest)]) -> Vec<Measurement> {
    let measurement = |about: About, of: fn(&Rest) -> f64| {
        let measured: Vec<(f64, f64)> =
            rests.iter().map(|(size, rest)| (*size, of(rest))).collect();
        Measurement::new(&about, &measured)
    };
    vec![
        measurement(
            About {
                aspect: Aspect::Messages,
                name: "rest-bytes",
                unit: "bytes of datagrams a second from each",
                budget: Some(target::BYTES_A_SECOND),
                ..BASE
            },
            |rest| rest.bytes,
        ),
        measurement(
            About {
                aspect: Aspect::Processor,
                name: "rest-core",
                unit: "% of a core, decisions alone",
                budget: Some(target::CORE),
                ..BASE
            },
            |rest| rest.core,
        ),
        measurement(
            About {
                aspect: Aspect::Memory,
                name: "view",
                unit: "MB of a member's view and what it keeps with it",
                budget: Some(target::MEMORY_MB),
                ..BASE
            },
            |rest| rest.view_mb,
        ),
        measurement(
            About {
                aspect: Aspect::Processor,
                name: "digest",
                unit: "us to read the view's digest",
                ..BASE
            },
            |rest| rest.digest_us,
        ),
    ]
}

#[derive(Clone, Copy, Debug)]
struct Zone {
    /// The most in one second, a member.
    bytes: f64,
    core: f64,
    /// Until all that live know of all that died; `None` where some do not by the end.
    known_s: Option<f64>,
}

/// A sixteenth of the members dies at once.
fn zone(fleet: &mut Fleet, members: usize) -> Zone {
    let lost: Vec<usize> = (0..members)
        .filter(|agent| agent.is_multiple_of(target::ZONES))
        .collect();
    let living = (members - lost.len()) as f64;
    let (killed, from) = (fleet.now(), fleet.reported_changes.len());
    lost.iter().for_each(|agent| fleet.kill(*agent));
    let wanted = lost.len() * (members - lost.len());
    let (mut bytes, mut core) = (0.0_f64, 0.0_f64);
    for _ in 0..AFTER_S {
        let before = (sent(fleet, members), fleet.core_time);
        fleet.run(SECOND);
        bytes = bytes.max((sent(fleet, members) - before.0) as f64 / living);
        core = core.max((fleet.core_time - before.1).as_secs_f64() / living * 100.0);
        let known = fleet.reported_changes[from..].iter().filter(|told| {
            matches!(
                &told.change,
                Change::Member {
                    to: MemberState::Failed,
                    ..
                }
            )
        });
        if known.count() >= wanted {
            break;
        }
    }
    let failed: Vec<u64> = fleet.reported_changes[from..]
        .iter()
        .filter(|told| {
            matches!(
                &told.change,
                Change::Member {
                    to: MemberState::Failed,
                    ..
                }
            )
        })
        .map(|told| told.at)
        .collect();
    let last = failed
        .iter()
        .max()
        .map(|at| (at - killed) as f64 / SECOND as f64);
    Zone {
        bytes,
        core,
        known_s: last.filter(|_| failed.len() >= wanted),
    }
}

fn when_a_zone_dies(zones: &[(f64, Zone)]) -> Vec<Measurement> {
    let measurement = |about: About, of: fn(&Zone) -> f64| {
        let measured: Vec<(f64, f64)> =
            zones.iter().map(|(size, zone)| (*size, of(zone))).collect();
        Measurement::new(&about, &measured)
    };
    let known: Vec<(f64, f64)> = zones
        .iter()
        .filter_map(|(size, zone)| Some((*size, zone.known_s?)))
        .collect();
    let about = About {
        aspect: Aspect::Latency,
        name: "zone-known",
        unit: "s until all know of a zone's members that died together",
        ..BASE
    };
    vec![
        measurement(
            About {
                aspect: Aspect::Messages,
                name: "zone-burst-bytes",
                unit: "bytes in the worst second from each, a zone's members dead",
                budget: Some(target::BYTES_A_SECOND),
                carried_by: PACED,
                ..BASE
            },
            |zone| zone.bytes,
        ),
        measurement(
            About {
                aspect: Aspect::Processor,
                name: "zone-burst-core",
                unit: "% of a core in the worst second, decisions alone",
                budget: Some(target::CORE),
                ..BASE
            },
            |zone| zone.core,
        ),
        Measurement::new(&about, &known),
    ]
}

#[derive(Clone, Copy, Debug)]
struct Far {
    /// Members that ran and were called failed, at a probe each second and each 200 ms.
    falsely: [f64; 2],
    /// After a region came back: until all see the same, and the most that a member sent in a second.
    healed_s: Option<f64>,
    healing_bytes: f64,
}

fn far(members: usize) -> Far {
    let links = || Links {
        regions: target::REGIONS,
        ..Links::default()
    };
    let falsely = [MembershipSettings::default(), fast_settings()].map(|settings| {
        let mut fleet = Fleet::preconverged(members, settings, links(), 1);
        fleet.run(FAR_S * SECOND);
        fleet.false_failures(&[]) as f64
    });
    let mut fleet = Fleet::preconverged(members, MembershipSettings::default(), links(), 1);
    let (gone, rest): (Vec<usize>, Vec<usize>) =
        (0..members).partition(|agent| agent.is_multiple_of(target::REGIONS));
    fleet.links.partition(&gone, &rest);
    fleet.run(PARTED_S * SECOND);
    fleet.links.cut.clear();
    let (healed, mut bytes, mut second, mut before) =
        (fleet.now(), 0.0_f64, 0, sent(&fleet, members));
    while !fleet.is_converged() && fleet.now() < healed + HEALS_S * SECOND {
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
    Far {
        falsely,
        healed_s,
        healing_bytes: bytes,
    }
}

fn over_regions(fars: &[(f64, Far)]) -> Vec<Measurement> {
    let measurement = |about: About, of: fn(&Far) -> f64| {
        let measured: Vec<(f64, f64)> = fars.iter().map(|(size, far)| (*size, of(far))).collect();
        Measurement::new(&about, &measured)
    };
    let healed: Vec<(f64, f64)> = fars
        .iter()
        .filter_map(|(size, far)| Some((*size, far.healed_s?)))
        .collect();
    let about = About {
        aspect: Aspect::Latency,
        name: "region-healed",
        unit: "s until all see the same, after a region was cut off for 2 min",
        loss: Loss::Time,
        carried_by: SYNC,
        ..BASE
    };
    let falsely = About {
        name: "falsely-failed",
        unit: "members that ran and were called failed in 60 s, round trips of 5 to 250 ms between 7 regions",
        budget: Some(0.0),
        loss: Loss::Part,
        ..BASE
    };
    vec![
        measurement(falsely, |far| far.falsely[0]),
        measurement(
            About {
                name: "falsely-failed-brisk",
                carried_by: BRISK,
                ..falsely
            },
            |far| far.falsely[1],
        ),
        Measurement::new(&about, &healed),
        measurement(
            About {
                aspect: Aspect::Messages,
                name: "region-healing-bytes",
                unit: "bytes of datagrams in the worst second from each, the region back",
                budget: Some(target::BYTES_A_SECOND),
                carried_by: PACED,
                ..BASE
            },
            |far| far.healing_bytes,
        ),
    ]
}
