//! Measures what the holders of duties bring to all agents: a server out, how soon and by how many messages, what the
//! holder spends on knowing that nothing is to be brought, and alarms of a whole zone at once.

use std::collections::BTreeMap;

use control_plane::coordinator::FleetUpdate;
use control_plane::lease::{Alarm, RaisedAlarm, Role};
use control_plane::membership::{fleet_id, CallMessage, Name};

use super::super::results::{About, Aspect, Loss, Measurement, Source};
use super::super::{check_memory, middle, target, Effort, ScaleError};
use super::simulation::{out, Site, Trips, SYNC};
use super::state::with_out;
use super::{within, BASE, SECOND};

const BRING: &str =
    "acts of the holder of `maintenance`: all servers out to each agent, 32 each 50 ms";
const RAISE: &str = "the holder of `watch`: an entry for each alarm, tried again each 300 ms";
const AWAITED: u64 = 60 * SECOND;
/// Servers that are taken out, one after the other.
const OUTS: u64 = 5;
const WHY: usize = 40;

/// The figures.
pub fn measure(
    effort: &Effort,
    told: &mut impl FnMut(&str),
) -> Result<Vec<Measurement>, ScaleError> {
    let (mut brought, mut raised) = (Vec::new(), Vec::new());
    for &agents in effort.agents {
        told(&format!("control: a server out for {agents} agents"));
        brought.push((agents as f64, bring(agents, effort.ask_s)));
        check_memory(0.0)?;
        told(&format!("control: alarms of a zone of {agents} agents"));
        raised.push((agents as f64, alarms(agents)));
    }
    let acts: Vec<(f64, f64)> = effort
        .out
        .iter()
        .map(|&servers| {
            (
                servers as f64,
                act_bytes(servers) as f64 * target::NODES as f64,
            )
        })
        .collect();
    let mut measurements = of_bringing(&brought, &acts);
    measurements.extend(of_alarms(&raised));
    Ok(measurements)
}

#[derive(Clone, Copy, Debug)]
struct Brought {
    /// Until all have it, in s; `None` where one did not come to all.
    all_s: Option<f64>,
    calls: f64,
    bytes: f64,
    /// % of the holder's core, nothing being brought.
    core: f64,
}

fn bring(agents: usize, seconds: u64) -> Brought {
    let mut site = Site::new(target::CONTROL, agents, Trips::Regions, SYNC, 1);
    site.settle();
    site.run(10 * SECOND);
    let holder = site.holder(Role::Maintenance).unwrap_or(0);
    let before = site.meter(holder).core;
    site.run(seconds * SECOND);
    let core = (site.meter(holder).core - before).as_secs_f64() / seconds as f64 * 100.0;
    let calls = |site: &Site| site.meter(holder).calls;
    let bytes = |site: &Site| {
        (0..agents)
            .map(|agent| site.meter(agent).call_bytes)
            .sum::<u64>()
    };
    let (mut spans, mut all) = (Vec::new(), true);
    let start = (calls(&site), bytes(&site));
    for server in 0..OUTS {
        let from = site.now();
        site.ask(server as usize % target::CONTROL, out(server, WHY));
        let version = |site: &Site| {
            let states = (0..target::CONTROL).filter_map(|voter| Some(site.desk(voter)?.state()));
            states
                .filter(|state| state.cordoned.len() as u64 > server)
                .map(|state| state.version)
                .max()
        };
        let done = within(&mut site, AWAITED, |site| {
            version(site)
                .filter(|version| site.enforced(*version) == agents)
                .map(|_| site.now())
        });
        match done {
            Some(at) => spans.push((at - from) as f64 / SECOND as f64),
            None => all = false,
        }
        // The last answers come in before the next.
        site.run(SECOND);
    }
    Brought {
        all_s: all.then(|| middle(spans)),
        calls: (calls(&site) - start.0) as f64 / OUTS as f64,
        bytes: (bytes(&site) - start.1) as f64 / OUTS as f64,
        core,
    }
}

/// Bytes of what is brought to one agent while so many servers are out.
fn act_bytes(servers: usize) -> usize {
    let voters = (0..target::CONTROL)
        .filter_map(|voter| format!("control-{voter}").parse().ok())
        .collect();
    let out = with_out(servers).0.cordoned;
    let act = FleetUpdate {
        role: Role::Maintenance,
        token: 1 << 20,
        version: 1 << 21,
        cordoned: out,
        voters,
    };
    CallMessage::ApplyUpdate(act).encode(fleet_id("lab")).len()
}

#[derive(Clone, Copy, Debug)]
struct Alarms {
    /// Until all stand, in s.
    all_s: Option<f64>,
    /// Entries of the log for each alarm, leases' renewals left out.
    entries: f64,
    bytes: f64,
}

/// The nodes of a sixteenth of the agents start again and again, and the watch sees it of all at once.
fn alarms(agents: usize) -> Alarms {
    // The same play twice, once without alarms: what leases and heartbeats cost is the same in both.
    let site = || {
        let mut site = Site::new(target::CONTROL, target::CONTROL, Trips::Regions, SYNC, 1);
        site.settle();
        site
    };
    let (mut site, mut calm) = (site(), site());
    let holder = site.holder(Role::Alerting).unwrap_or(0);
    let letters = |site: &Site| {
        (0..target::CONTROL)
            .map(|v| site.meter(v).letter_bytes)
            .sum::<u64>()
    };
    let index = |site: &Site| site.desk(holder).map_or(0, |desk| desk.state().index);
    let nodes = agents.div_ceil(target::ZONES);
    let seen: BTreeMap<Alarm, RaisedAlarm> = (0..nodes)
        .filter_map(|node| {
            let name: Name = format!("node-{node:04}").parse().ok()?;
            let words = format!("the node of {name} started 3 times in a minute");
            Some((
                Alarm::RestartLoop(name),
                RaisedAlarm {
                    message: words,
                    since_ms: 1_700_000_000_000,
                },
            ))
        })
        .collect();
    let from = site.now();
    site.observe(holder, seen);
    let stand = |site: &Site, voter: usize| {
        site.desk(voter)
            .is_some_and(|d| d.state().alarms.len() >= nodes)
    };
    let at = within(&mut site, AWAITED, |site| {
        (0..target::CONTROL)
            .all(|voter| stand(site, voter))
            .then(|| site.now())
    });
    // What was tried again meanwhile is agreed, too.
    site.run(2 * SECOND);
    calm.run(site.now() - calm.now());
    let entries = index(&site) as f64 - index(&calm) as f64;
    let bytes = letters(&site) as f64 - letters(&calm) as f64;
    Alarms {
        all_s: at.map(|at| (at - from) as f64 / SECOND as f64),
        entries: entries / nodes as f64,
        bytes,
    }
}

fn of_bringing(brought: &[(f64, Brought)], acts: &[(f64, f64)]) -> Vec<Measurement> {
    let measurement = |about: About, of: fn(&Brought) -> f64| {
        let measured: Vec<(f64, f64)> = brought
            .iter()
            .map(|(size, brought)| (*size, of(brought)))
            .collect();
        Measurement::new(&about, &measured)
    };
    let all: Vec<(f64, f64)> = brought
        .iter()
        .filter_map(|(size, brought)| Some((*size, brought.all_s?)))
        .collect();
    let base = About {
        carried_by: BRING,
        ..BASE
    };
    let messages = About {
        aspect: Aspect::Messages,
        ..base
    };
    vec![
        Measurement::new(
            &About {
                aspect: Aspect::Latency,
                name: "out-all",
                unit: "s from staff's ask until all agents have a server out",
                budget: Some(target::FORCE_MS / 1e3),
                loss: Loss::Time,
                ..base
            },
            &all,
        ),
        measurement(
            About {
                name: "out-calls",
                unit: "calls of the holder for a server out",
                ..messages
            },
            |brought| brought.calls,
        ),
        measurement(
            About {
                name: "out-bytes",
                unit: "bytes of calls and answers for a server out, at most five out",
                ..messages
            },
            |brought| brought.bytes,
        ),
        Measurement::new(
            &About {
                name: "out-bytes-by-out",
                unit: "bytes from the holder to 1,900 agents for one server more or less out",
                of: "servers out",
                target: target::MOST_OUT as f64,
                source: Source::Arithmetic,
                ..messages
            },
            acts,
        ),
        measurement(
            About {
                aspect: Aspect::Processor,
                name: "hold-core",
                unit: "% of the holder's core, nothing being brought, decisions alone",
                budget: Some(target::CORE),
                ..base
            },
            |brought| brought.core,
        ),
    ]
}

fn of_alarms(raised: &[(f64, Alarms)]) -> Vec<Measurement> {
    let measurement = |about: About, of: fn(&Alarms) -> f64| {
        let measured: Vec<(f64, f64)> = raised
            .iter()
            .map(|(size, raised)| (*size, of(raised)))
            .collect();
        Measurement::new(&about, &measured)
    };
    let all: Vec<(f64, f64)> = raised
        .iter()
        .filter_map(|(size, raised)| Some((*size, raised.all_s?)))
        .collect();
    let base = About {
        carried_by: RAISE,
        ..BASE
    };
    let messages = About {
        aspect: Aspect::Messages,
        ..base
    };
    vec![
        Measurement::new(
            &About {
                aspect: Aspect::Latency,
                name: "alarms-stand",
                unit: "s until the alarms of a zone's nodes stand at all voters, seen at once",
                budget: Some(target::TOLD_MS / 1e3),
                loss: Loss::Time,
                ..base
            },
            &all,
        ),
        measurement(
            About {
                name: "alarm-entries",
                unit: "entries of the log for each of these alarms",
                budget: Some(1.0),
                ..messages
            },
            |raised| raised.entries,
        ),
        measurement(
            About {
                name: "alarms-bytes",
                unit: "bytes between all voters for these alarms",
                ..messages
            },
            |raised| raised.bytes,
        ),
    ]
}
