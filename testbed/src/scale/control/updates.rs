//! Measures the work of lease holders: sending a new cordon to all agents (time and messages), the cost while there is
//! nothing to send, and raising the alarms of a whole zone at once.

use std::collections::BTreeMap;

use control_plane::coordinator::FleetUpdate;
use control_plane::lease::{Alarm, RaisedAlarm, Role};
use control_plane::membership::{fleet_id, CallMessage, Name};

use super::super::results::{Aspect, Impact, Measurement, MeasurementSpec, Source};
use super::super::{check_memory, median, target, RunParameters, ScaleError};
use super::simulation::{cordon, RoundTrips, Simulation, SYNC_WRITE};
use super::state::with_cordoned;
use super::{run_until, BASE, SECOND};

const UPDATES: &str =
    "acts of the holder of `maintenance`: all servers out to each agent, 32 each 50 ms";
const ALARMS: &str = "the holder of `watch`: an entry for each alarm, tried again each 300 ms";
const MAX_WAIT: u64 = 60 * SECOND;
/// Servers that are cordoned one after the other.
const CORDONS: u64 = 5;
/// Length of a cordon's reason, in bytes.
const REASON_BYTES: usize = 40;

/// Returns the measurements of fleet updates and alarms.
pub fn measure(
    parameters: &RunParameters,
    progress: &mut impl FnMut(&str),
) -> Result<Vec<Measurement>, ScaleError> {
    let (mut costs, mut alarm_costs) = (Vec::new(), Vec::new());
    for &agents in parameters.agents {
        progress(&format!("control: cordons sent to {agents} agents"));
        costs.push((
            agents as f64,
            cordon_everywhere(agents, parameters.command_s),
        ));
        check_memory(0.0)?;
        progress(&format!("control: alarms of one zone of {agents} agents"));
        alarm_costs.push((agents as f64, raise_zone_alarms(agents)));
    }
    let bytes_by_cordoned: Vec<(f64, f64)> = parameters
        .cordoned
        .iter()
        .map(|&servers| {
            (
                servers as f64,
                update_bytes(servers) as f64 * target::NODES as f64,
            )
        })
        .collect();
    let mut measurements = update_measurements(&costs, &bytes_by_cordoned);
    measurements.extend(alarm_measurements(&alarm_costs));
    Ok(measurements)
}

#[derive(Clone, Copy, Debug)]
struct UpdateCost {
    /// Median seconds until all agents have a cordon; `None` if a cordon did not reach all of them in time.
    all_s: Option<f64>,
    calls: f64,
    bytes: f64,
    /// Percent of the holder's core while there is nothing to send.
    core: f64,
}

fn cordon_everywhere(agents: usize, seconds: u64) -> UpdateCost {
    let mut simulation =
        Simulation::new(target::VOTERS, agents, RoundTrips::Regions, SYNC_WRITE, 1);
    simulation.run_until_stable();
    simulation.run(10 * SECOND);
    let holder = simulation.holder(Role::Maintenance).unwrap_or(0);
    let before = simulation.usage(holder).core;
    simulation.run(seconds * SECOND);
    let core = (simulation.usage(holder).core - before).as_secs_f64() / seconds as f64 * 100.0;
    let calls = |simulation: &Simulation| simulation.usage(holder).calls;
    let bytes = |simulation: &Simulation| {
        (0..agents)
            .map(|agent| simulation.usage(agent).call_bytes)
            .sum::<u64>()
    };
    let (mut times_s, mut all_reached) = (Vec::new(), true);
    let start = (calls(&simulation), bytes(&simulation));
    for server in 0..CORDONS {
        let from = simulation.now();
        simulation.submit(
            server as usize % target::VOTERS,
            cordon(server, REASON_BYTES),
        );
        let version = |simulation: &Simulation| {
            let states = (0..target::VOTERS)
                .filter_map(|voter| Some(simulation.coordinator(voter)?.state()));
            states
                .filter(|state| state.cordoned.len() as u64 > server)
                .map(|state| state.version)
                .max()
        };
        let done = run_until(&mut simulation, MAX_WAIT, |simulation| {
            version(simulation)
                .filter(|version| simulation.enforced_count(*version) == agents)
                .map(|_| simulation.now())
        });
        match done {
            Some(at) => times_s.push((at - from) as f64 / SECOND as f64),
            None => all_reached = false,
        }
        // Lets the last replies arrive before the next cordon.
        simulation.run(SECOND);
    }
    UpdateCost {
        all_s: all_reached.then(|| median(times_s)),
        calls: (calls(&simulation) - start.0) as f64 / CORDONS as f64,
        bytes: (bytes(&simulation) - start.1) as f64 / CORDONS as f64,
        core,
    }
}

/// Size in bytes of the fleet update sent to one agent while `servers` servers are cordoned.
fn update_bytes(servers: usize) -> usize {
    let voters = (0..target::VOTERS)
        .filter_map(|voter| format!("control-{voter}").parse().ok())
        .collect();
    let cordoned = with_cordoned(servers).0.cordoned;
    let update = FleetUpdate {
        role: Role::Maintenance,
        token: 1 << 20,
        version: 1 << 21,
        cordoned,
        voters,
    };
    CallMessage::ApplyUpdate(update)
        .encode(fleet_id("lab"))
        .len()
}

#[derive(Clone, Copy, Debug)]
struct AlarmCost {
    /// Seconds until all alarms are in the state of every voter.
    all_s: Option<f64>,
    /// Log entries per alarm, without lease renewals.
    entries: f64,
    bytes: f64,
}

/// The nodes of a zone's agents, a sixteenth of all, restart in a loop, and the alerting role's holder observes all of
/// them at once.
fn raise_zone_alarms(agents: usize) -> AlarmCost {
    // Runs the same simulation once without alarms, to subtract the cost of leases and heartbeats.
    let stable = || {
        let mut simulation = Simulation::new(
            target::VOTERS,
            target::VOTERS,
            RoundTrips::Regions,
            SYNC_WRITE,
            1,
        );
        simulation.run_until_stable();
        simulation
    };
    let (mut simulation, mut quiet) = (stable(), stable());
    let holder = simulation.holder(Role::Alerting).unwrap_or(0);
    let message_bytes = |simulation: &Simulation| {
        (0..target::VOTERS)
            .map(|v| simulation.usage(v).message_bytes)
            .sum::<u64>()
    };
    let index = |simulation: &Simulation| {
        simulation
            .coordinator(holder)
            .map_or(0, |coordinator| coordinator.state().index)
    };
    let nodes = agents.div_ceil(target::ZONES);
    let alarms: BTreeMap<Alarm, RaisedAlarm> = (0..nodes)
        .filter_map(|node| {
            let name: Name = format!("node-{node:04}").parse().ok()?;
            let message = format!("the node of {name} started 3 times in a minute");
            Some((
                Alarm::RestartLoop(name),
                RaisedAlarm {
                    message,
                    since_ms: 1_700_000_000_000,
                },
            ))
        })
        .collect();
    let from = simulation.now();
    simulation.observe(holder, alarms);
    let has_alarms = |simulation: &Simulation, voter: usize| {
        simulation
            .coordinator(voter)
            .is_some_and(|coordinator| coordinator.state().alarms.len() >= nodes)
    };
    let at = run_until(&mut simulation, MAX_WAIT, |simulation| {
        (0..target::VOTERS)
            .all(|voter| has_alarms(simulation, voter))
            .then(|| simulation.now())
    });
    // Lets the commands that were retried meanwhile commit, too.
    simulation.run(2 * SECOND);
    quiet.run(simulation.now() - quiet.now());
    let entries = index(&simulation) as f64 - index(&quiet) as f64;
    let bytes = message_bytes(&simulation) as f64 - message_bytes(&quiet) as f64;
    AlarmCost {
        all_s: at.map(|at| (at - from) as f64 / SECOND as f64),
        entries: entries / nodes as f64,
        bytes,
    }
}

fn update_measurements(
    costs: &[(f64, UpdateCost)],
    bytes_by_cordoned: &[(f64, f64)],
) -> Vec<Measurement> {
    let measurement = |spec: MeasurementSpec, value_of: fn(&UpdateCost) -> f64| {
        let measured: Vec<(f64, f64)> = costs
            .iter()
            .map(|(size, cost)| (*size, value_of(cost)))
            .collect();
        Measurement::new(&spec, &measured)
    };
    let all_reached: Vec<(f64, f64)> = costs
        .iter()
        .filter_map(|(size, cost)| Some((*size, cost.all_s?)))
        .collect();
    let base = MeasurementSpec {
        mechanism: UPDATES,
        ..BASE
    };
    let messages = MeasurementSpec {
        aspect: Aspect::Messages,
        ..base
    };
    vec![
        Measurement::new(
            &MeasurementSpec {
                aspect: Aspect::Latency,
                name: "out-all",
                unit: "s from staff's ask until all agents have a server out",
                budget: Some(target::IN_FORCE_WITHIN_MS / 1e3),
                impact: Impact::Delay,
                ..base
            },
            &all_reached,
        ),
        measurement(
            MeasurementSpec {
                name: "out-calls",
                unit: "calls of the holder for a server out",
                ..messages
            },
            |cost| cost.calls,
        ),
        measurement(
            MeasurementSpec {
                name: "out-bytes",
                unit: "bytes of calls and answers for a server out, at most five out",
                ..messages
            },
            |cost| cost.bytes,
        ),
        Measurement::new(
            &MeasurementSpec {
                name: "out-bytes-by-out",
                unit: "bytes from the holder to 1,900 agents for one server more or less out",
                size_unit: "servers out",
                target: target::MAX_CORDONED as f64,
                source: Source::Arithmetic,
                ..messages
            },
            bytes_by_cordoned,
        ),
        measurement(
            MeasurementSpec {
                aspect: Aspect::Processor,
                name: "hold-core",
                unit: "% of the holder's core, nothing being brought, decisions alone",
                budget: Some(target::CORE_PERCENT),
                ..base
            },
            |cost| cost.core,
        ),
    ]
}

fn alarm_measurements(alarm_costs: &[(f64, AlarmCost)]) -> Vec<Measurement> {
    let measurement = |spec: MeasurementSpec, value_of: fn(&AlarmCost) -> f64| {
        let measured: Vec<(f64, f64)> = alarm_costs
            .iter()
            .map(|(size, cost)| (*size, value_of(cost)))
            .collect();
        Measurement::new(&spec, &measured)
    };
    let all_reached: Vec<(f64, f64)> = alarm_costs
        .iter()
        .filter_map(|(size, cost)| Some((*size, cost.all_s?)))
        .collect();
    let base = MeasurementSpec {
        mechanism: ALARMS,
        ..BASE
    };
    let messages = MeasurementSpec {
        aspect: Aspect::Messages,
        ..base
    };
    vec![
        Measurement::new(
            &MeasurementSpec {
                aspect: Aspect::Latency,
                name: "alarms-stand",
                unit: "s until the alarms of a zone's nodes stand at all voters, seen at once",
                budget: Some(target::UPDATE_WITHIN_MS / 1e3),
                impact: Impact::Delay,
                ..base
            },
            &all_reached,
        ),
        measurement(
            MeasurementSpec {
                name: "alarm-entries",
                unit: "entries of the log for each of these alarms",
                budget: Some(1.0),
                ..messages
            },
            |cost| cost.entries,
        ),
        measurement(
            MeasurementSpec {
                name: "alarms-bytes",
                unit: "bytes between all voters for these alarms",
                ..messages
            },
            |cost| cost.bytes,
        ),
    ]
}
