//! Measures the replicated log among voters alone: its highest command rate, the cost of an entry, the commit latency over
//! distant regions, the time to elect a new leader, and whether leases stay held at such distances.

use control_plane::consensus::MAX_COMMAND_BYTES;
use control_plane::coordinator::OperatorCommand;
use control_plane::lease::Role;

use super::super::results::{Aspect, Impact, Measurement, MeasurementSpec, Source};
use super::super::{median, target, RunParameters};
use super::simulation::{cordon, RoundTrips, Simulation, SYNC_WRITE};
use super::{
    committed_share, highest_sustained_rate, offer_commands, run_until, us_per_item, BASE,
    COMMAND_TIMEOUT, LOG, SECOND,
};

const SERIAL_WRITES: &str =
    "one synced write at a time at each voter, with all that came meanwhile; the leader takes no copy of what is open";
/// Servers that are cordoned in turn; few, so that the state stays small.
const SERVERS: u64 = 200;
/// Longest wait for a command's result.
const MAX_WAIT: u64 = 10 * SECOND;
/// Default length of a cordon's reason, in bytes.
const REASON_BYTES: usize = 40;

/// Returns the measurements of the replicated log.
pub fn measure(parameters: &RunParameters, progress: &mut impl FnMut(&str)) -> Vec<Measurement> {
    let (mut loaded, mut idle, mut election_times) = (Vec::new(), Vec::new(), Vec::new());
    for &voters in parameters.voters {
        progress(&format!("control: the log under load, {voters} voters"));
        loaded.push((voters as f64, load_log(parameters, voters)));
        idle.push((voters as f64, idle_usage(voters, parameters.log_s)));
        progress(&format!("control: leader failures, {voters} voters"));
        election_times.push((
            voters as f64,
            measure_elections(voters, RoundTrips::Regions, parameters.elections),
        ));
    }
    progress("control: the log by length of a command and by duration of a synced write");
    let by_reason: Vec<(f64, f64)> = parameters
        .reason_bytes
        .iter()
        .map(|&reason_bytes| {
            (
                reason_bytes as f64,
                max_command_rate(parameters, target::VOTERS, SYNC_WRITE, reason_bytes),
            )
        })
        .collect();
    let by_sync_write: Vec<(f64, f64)> = parameters
        .sync_writes_us
        .iter()
        .map(|&sync_write| {
            (
                sync_write as f64 / 1e3,
                max_command_rate(parameters, target::VOTERS, sync_write as u64, REASON_BYTES),
            )
        })
        .collect();
    let (mut committed, mut election_times_by_round_trip, mut lost_share) =
        (Vec::new(), Vec::new(), Vec::new());
    for &round_trip_ms in parameters.round_trips_ms {
        progress(&format!(
            "control: {} voters, round trips of {round_trip_ms} ms",
            target::VOTERS
        ));
        let round_trips = RoundTrips::Uniform(round_trip_ms as u64 * 1_000);
        committed.push((
            round_trip_ms as f64,
            commit_latency(target::VOTERS, round_trips, parameters.sequential_commands),
        ));
        election_times_by_round_trip.push((
            round_trip_ms as f64,
            measure_elections(target::VOTERS, round_trips, parameters.elections),
        ));
        lost_share.push((
            round_trip_ms as f64,
            lease_lost_share(round_trips, parameters.lease_s),
        ));
    }
    let mut round_trips_to_commit = Vec::new();
    for &voters in parameters.voters {
        let (leader, _) = commit_latency(
            voters,
            RoundTrips::Uniform(200_000),
            parameters.sequential_commands,
        );
        round_trips_to_commit.push((voters as f64, leader / 200.0));
    }
    let mut measurements = cost_measurements(&loaded, &idle, &by_reason, &by_sync_write);
    measurements.extend(latency_measurements(
        &committed,
        &round_trips_to_commit,
        &election_times,
        &election_times_by_round_trip,
        &lost_share,
    ));
    measurements
}

#[derive(Clone, Copy, Debug)]
struct LoadedLog {
    /// Highest sustained rate, in commands per second.
    max_command_rate: f64,
    /// Processor time of the leader per command at that rate, in microseconds.
    leader_us: f64,
    /// Median processor time of the other voters per command at that rate, in microseconds.
    follower_us: f64,
    /// Bytes sent by all voters per command at that rate.
    bytes: f64,
    /// Bytes sent by the leader per command at that rate.
    leader_bytes: f64,
    /// Median time from submission to result at that rate, in ms.
    ms: f64,
    /// Commands committed per second while each voter has as many open as it accepts.
    overloaded: f64,
}

fn stable(voters: usize, sync_write: u64) -> Simulation {
    let mut simulation = Simulation::new(voters, voters, RoundTrips::Regions, sync_write, 1);
    simulation.run_until_stable();
    simulation
}

/// Commands that cordon servers in turn, each with a reason of `reason_bytes` bytes.
fn cordons(reason_bytes: usize) -> impl FnMut() -> OperatorCommand {
    let mut server = 0;
    move || {
        server += 1;
        cordon(server % SERVERS, reason_bytes)
    }
}

/// Highest sustained command rate, with the commands submitted at all voters in turn.
fn max_command_rate(
    parameters: &RunParameters,
    voters: usize,
    sync_write: u64,
    reason_bytes: usize,
) -> f64 {
    let seconds = parameters.log_s;
    highest_sustained_rate(parameters.max_rate, |rate| {
        let mut simulation = stable(voters, sync_write);
        committed_share(
            &offer_commands(
                &mut simulation,
                rate,
                seconds,
                0..voters,
                cordons(reason_bytes),
            ),
            rate * seconds as f64,
        )
    })
}

fn load_log(parameters: &RunParameters, voters: usize) -> LoadedLog {
    let seconds = parameters.log_s;
    let rate = max_command_rate(parameters, voters, SYNC_WRITE, REASON_BYTES);
    let mut simulation = stable(voters, SYNC_WRITE);
    let before: Vec<_> = (0..voters).map(|voter| simulation.usage(voter)).collect();
    let results = offer_commands(
        &mut simulation,
        rate,
        seconds,
        0..voters,
        cordons(REASON_BYTES),
    );
    let commands = (rate * seconds as f64).max(1.0);
    let leader = simulation.leader().unwrap_or(0);
    let us =
        |voter: usize| us_per_item(simulation.usage(voter).core - before[voter].core, commands);
    let bytes = |voter: usize| {
        (simulation.usage(voter).message_bytes - before[voter].message_bytes) as f64 / commands
    };
    let others: Vec<f64> = (0..voters)
        .filter(|voter| *voter != leader)
        .map(us)
        .collect();
    LoadedLog {
        max_command_rate: rate,
        leader_us: us(leader),
        follower_us: median(others),
        bytes: (0..voters).map(bytes).sum(),
        leader_bytes: bytes(leader),
        ms: median(
            results
                .iter()
                .map(|a| (a.completed_at - a.submitted_at) as f64 / 1e3)
                .collect(),
        ),
        overloaded: overload(voters, parameters.open_commands, seconds),
    }
}

fn overload(voters: usize, open: usize, seconds: u64) -> f64 {
    let (mut simulation, mut next) = (stable(voters, SYNC_WRITE), cordons(REASON_BYTES));
    for voter in 0..voters {
        for _ in 0..open {
            simulation.submit(voter, next());
        }
    }
    // Counts only after the first commands had a result, when the overload has built up.
    simulation.run_with_follow_ups(COMMAND_TIMEOUT, |_| Some(next()));
    simulation.take_completed();
    simulation.run_with_follow_ups(seconds * SECOND, |_| Some(next()));
    committed_share(&simulation.take_completed(), seconds as f64)
}

/// Bytes per second between all voters, and percent of the leader's core, without commands.
fn idle_usage(voters: usize, seconds: u64) -> (f64, f64) {
    let mut simulation = Simulation::new(voters, voters, RoundTrips::Regions, SYNC_WRITE, 1);
    simulation.run_until_stable();
    let leader = simulation.leader().unwrap_or(0);
    let bytes = |simulation: &Simulation| {
        (0..voters)
            .map(|voter| simulation.usage(voter).message_bytes)
            .sum::<u64>()
    };
    let before = (bytes(&simulation), simulation.usage(leader).core);
    simulation.run(seconds * SECOND);
    let span_s = seconds as f64;
    let core = (simulation.usage(leader).core - before.1).as_secs_f64() / span_s * 100.0;
    ((bytes(&simulation) - before.0) as f64 / span_s, core)
}

/// Median time from command to commit in ms, one command at a time: submitted at the leader, and at another voter.
fn commit_latency(voters: usize, round_trips: RoundTrips, commands: usize) -> (f64, f64) {
    let mut simulation = Simulation::new(voters, voters, round_trips, SYNC_WRITE, 1);
    simulation.run_until_stable();
    let mut latencies = [Vec::new(), Vec::new()];
    for nth in 0..commands {
        for (voter_offset, latencies) in latencies.iter_mut().enumerate() {
            let leader = simulation.leader().unwrap_or(0);
            simulation.submit(
                (leader + voter_offset * (1 + nth % (voters - 1))) % voters,
                cordon(nth as u64 % SERVERS, REASON_BYTES),
            );
            if let Some(completed) = run_until(&mut simulation, MAX_WAIT, |simulation| {
                simulation.take_completed().pop()
            }) {
                latencies.push((completed.completed_at - completed.submitted_at) as f64 / 1e3);
            }
        }
    }
    let [leader, other] = latencies.map(median);
    (leader, other)
}

/// Seconds from a leader's failure until another voter leads: median and slowest.
fn measure_elections(voters: usize, round_trips: RoundTrips, failures: u64) -> (f64, f64) {
    let mut times_s = Vec::new();
    for seed in 0..failures {
        let mut simulation = Simulation::new(voters, voters, round_trips, SYNC_WRITE, seed + 1);
        simulation.run_until_stable();
        // Varies the moment of the failure relative to the leader's heartbeats.
        simulation.run(SECOND + seed * 7_919);
        let Some(leader) = simulation.leader() else {
            continue;
        };
        let (killed_at, elections_before) = (simulation.now(), simulation.elected.len());
        simulation.kill(leader);
        let next = run_until(&mut simulation, 60 * SECOND, |simulation| {
            simulation.elected[elections_before..].first().copied()
        });
        times_s.extend(next.map(|(at, _)| (at - killed_at) as f64 / SECOND as f64));
    }
    let slowest = times_s.iter().copied().fold(0.0, f64::max);
    (median(times_s), slowest)
}

/// Share of the time, in percent, in which a role had no active lease holder although nothing had failed.
fn lease_lost_share(round_trips: RoundTrips, seconds: u64) -> f64 {
    let mut simulation =
        Simulation::new(target::VOTERS, target::VOTERS, round_trips, SYNC_WRITE, 1);
    if !simulation.run_until_stable() {
        return 100.0;
    }
    let (checks, mut without_holder) = (seconds * 20, 0_usize);
    for _ in 0..checks {
        simulation.run(SECOND / 20);
        without_holder += Role::ALL
            .iter()
            .filter(|role| simulation.holder(**role).is_none())
            .count();
    }
    without_holder as f64 / (checks as usize * Role::ALL.len()) as f64 * 100.0
}

fn cost_measurements(
    loaded: &[(f64, LoadedLog)],
    idle: &[(f64, (f64, f64))],
    by_reason: &[(f64, f64)],
    by_sync_write: &[(f64, f64)],
) -> Vec<Measurement> {
    let measurement = |spec: MeasurementSpec, value_of: fn(&LoadedLog) -> f64| {
        let measured: Vec<(f64, f64)> = loaded
            .iter()
            .map(|(size, loaded)| (*size, value_of(loaded)))
            .collect();
        Measurement::new(&spec, &measured)
    };
    let base = MeasurementSpec {
        size_unit: "voters",
        target: target::VOTERS as f64,
        mechanism: LOG,
        ..BASE
    };
    let messages = MeasurementSpec {
        aspect: Aspect::Messages,
        ..base
    };
    let processor = MeasurementSpec {
        aspect: Aspect::Processor,
        ..base
    };
    let changes = target::CONFIG_CHANGES_PER_DAY
        + 2 * (target::SERVER_RESTARTS_PER_DAY + target::MACHINE_FAILURES_PER_DAY);
    let utilization: Vec<(f64, f64)> = loaded
        .iter()
        .map(|(size, loaded)| {
            (
                *size,
                changes as f64 / 86_400.0 / loaded.max_command_rate * 100.0,
            )
        })
        .collect();
    let idle_values = |value_of: fn(&(f64, f64)) -> f64| -> Vec<(f64, f64)> {
        idle.iter()
            .map(|(size, usage)| (*size, value_of(usage)))
            .collect()
    };
    vec![
        measurement(
            MeasurementSpec {
                name: "entries",
                unit: "asks agreed a second at most, none above 4,096 tried, a synced write of 2 ms, round trips of 5 to 250 ms",
                mechanism: SERIAL_WRITES,
                ..messages
            },
            |loaded| loaded.max_command_rate,
        ),
        measurement(
            MeasurementSpec {
                name: "entries-overdriven",
                unit: "asks agreed a second while each voter has 64 open, as many as it takes",
                mechanism: SERIAL_WRITES,
                ..messages
            },
            |loaded| loaded.overloaded,
        ),
        Measurement::new(
            &MeasurementSpec {
                name: "entries-by-write",
                unit: "asks agreed a second at most, none above 4,096 tried, nine voters",
                size_unit: "ms of a synced write",
                target: SYNC_WRITE as f64 / 1e3,
                mechanism: SERIAL_WRITES,
                ..messages
            },
            by_sync_write,
        ),
        Measurement::new(
            &MeasurementSpec {
                name: "entries-by-reason",
                unit: "asks agreed a second at most, none above 4,096 tried, nine voters, each with a reason so long",
                size_unit: "bytes",
                // The longest command, less the bytes of its other fields.
                target: (MAX_COMMAND_BYTES - 100) as f64,
                ..messages
            },
            by_reason,
        ),
        Measurement::new(
            &MeasurementSpec {
                name: "changes-a-day",
                unit: "% of what the log bears: 1,700 changes, and each restart or lost machine a server out and back",
                source: Source::Arithmetic,
                budget: Some(50.0),
                impact: Impact::Delay,
                ..messages
            },
            &utilization,
        ),
        measurement(
            MeasurementSpec { name: "entry-bytes", unit: "bytes between all voters for each entry at that rate", ..messages },
            |loaded| loaded.bytes,
        ),
        measurement(
            MeasurementSpec { name: "entry-bytes-leader", unit: "bytes from the leader for each entry at that rate", ..messages },
            |loaded| loaded.leader_bytes,
        ),
        Measurement::new(
            &MeasurementSpec { name: "voters-rest-bytes", unit: "bytes a second between all voters at rest", ..messages },
            &idle_values(|idle_values| idle_values.0),
        ),
        Measurement::new(
            &MeasurementSpec {
                name: "leader-rest-core",
                unit: "% of the leader's core at rest, decisions alone",
                budget: Some(target::CORE_PERCENT),
                ..processor
            },
            &idle_values(|idle_values| idle_values.1),
        ),
        measurement(
            MeasurementSpec { name: "entry-core-leader", unit: "us of the leader's core for each entry at that rate", ..processor },
            |loaded| loaded.leader_us,
        ),
        measurement(
            MeasurementSpec {
                name: "entry-core-follower",
                unit: "us of another voter's core for each entry at that rate",
                ..processor
            },
            |loaded| loaded.follower_us,
        ),
        measurement(
            MeasurementSpec {
                aspect: Aspect::Latency,
                name: "entry-driven",
                unit: "ms from ask to yes at that rate, the middle one",
                budget: Some(target::IN_FORCE_WITHIN_MS),
                impact: Impact::Delay,
                ..base
            },
            |loaded| loaded.ms,
        ),
    ]
}

fn latency_measurements(
    committed: &[(f64, (f64, f64))],
    round_trips_to_commit: &[(f64, f64)],
    election_times: &[(f64, (f64, f64))],
    election_times_by_round_trip: &[(f64, (f64, f64))],
    lost_share: &[(f64, f64)],
) -> Vec<Measurement> {
    let values =
        |pairs: &[(f64, (f64, f64))], value_of: fn(&(f64, f64)) -> f64| -> Vec<(f64, f64)> {
            pairs
                .iter()
                .map(|(size, pair)| (*size, value_of(pair)))
                .collect()
        };
    let by_round_trip = MeasurementSpec {
        aspect: Aspect::Latency,
        size_unit: "ms of round trip between each two",
        target: target::MAX_ROUND_TRIP_MS,
        impact: Impact::Delay,
        mechanism: LOG,
        ..BASE
    };
    let voters = MeasurementSpec {
        size_unit: "voters",
        target: target::VOTERS as f64,
        ..by_round_trip
    };
    let in_force_budget = Some(target::IN_FORCE_WITHIN_MS);
    let update_budget = Some(target::UPDATE_WITHIN_MS / 1e3);
    vec![
        Measurement::new(
            &MeasurementSpec {
                name: "agreed-leader",
                unit: "ms from ask to yes at the leader",
                budget: in_force_budget,
                ..by_round_trip
            },
            &values(committed, |pair| pair.0),
        ),
        Measurement::new(
            &MeasurementSpec {
                name: "agreed-other",
                unit: "ms from ask to yes at another voter",
                budget: in_force_budget,
                ..by_round_trip
            },
            &values(committed, |pair| pair.1),
        ),
        Measurement::new(
            &MeasurementSpec {
                name: "agreed-rounds",
                unit: "round trips of 200 ms from ask to yes at the leader",
                ..voters
            },
            round_trips_to_commit,
        ),
        Measurement::new(
            &MeasurementSpec {
                name: "leader-middle",
                unit: "s from a leader's death to the next, the middle one",
                ..voters
            },
            &values(election_times, |pair| pair.0),
        ),
        Measurement::new(
            &MeasurementSpec {
                name: "leader-slowest",
                unit: "s from a leader's death to the next, the slowest",
                budget: update_budget,
                ..voters
            },
            &values(election_times, |pair| pair.1),
        ),
        Measurement::new(
            &MeasurementSpec {
                name: "leader-far",
                unit: "s from a leader's death to the next, the slowest",
                budget: update_budget,
                ..by_round_trip
            },
            &values(election_times_by_round_trip, |pair| pair.1),
        ),
        Measurement::new(
            &MeasurementSpec {
                aspect: Aspect::State,
                name: "leases-lost",
                unit:
                    "% of the time in which a duty had nobody that might act, nothing being wrong",
                budget: Some(0.0),
                impact: Impact::Partial,
                ..by_round_trip
            },
            lost_share,
        ),
    ]
}
