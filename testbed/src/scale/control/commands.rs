//! Measures operator commands: what one costs the voters, how many the voters' sockets admit, and what happens when all
//! agents send one at the same moment, as after a partitioned region is reachable again.

use control_plane::coordinator::OperatorCommand;

use super::super::results::{Aspect, Impact, Measurement, MeasurementSpec, Source};
use super::super::{check_memory, median, target, RunParameters, ScaleError};
use super::simulation::{uncordon, RoundTrips, Simulation, Usage, SYNC_WRITE};
use super::{
    committed_share, highest_sustained_rate, offer_commands, BASE, COMMAND_TIMEOUT, SECOND,
};

const CALL_LIMITS: &str =
    "256 calls at a time at each voter's socket, 128 in its queue, 2 s for each; the agreed log";
/// Servers that the commands name in turn; few, so that the state stays small.
const SERVERS: u64 = 200;
/// Commands per second of all agents while the cost of one is measured: far below what the sockets admit.
const LIGHT_RATE: u64 = 50;
/// Longest wait for the commits of a burst, in seconds.
const MAX_WAIT_S: u64 = 60;

/// Returns the measurements of operator commands.
pub fn measure(
    parameters: &RunParameters,
    progress: &mut impl FnMut(&str),
) -> Result<Vec<Measurement>, ScaleError> {
    let (mut command_costs, mut bursts, mut late_by_sync_write) =
        (Vec::new(), Vec::new(), Vec::new());
    for &agents in parameters.agents {
        progress(&format!(
            "control: one command after the other from {agents} agents"
        ));
        command_costs.push((agents as f64, command_cost(agents, parameters.command_s)));
        check_memory(0.0)?;
        progress(&format!(
            "control: a command from each of {agents} agents at once"
        ));
        bursts.push((agents as f64, command_burst(agents, SYNC_WRITE)));
        check_memory(0.0)?;
    }
    let largest = parameters
        .agents
        .iter()
        .copied()
        .max()
        .unwrap_or(target::VOTERS);
    for &sync_write_us in parameters.sync_writes_us {
        progress(&format!(
            "control: a command from each of {largest} agents at once, {sync_write_us} us per synced write"
        ));
        late_by_sync_write.push((
            sync_write_us as f64 / 1e3,
            command_burst(largest, sync_write_us as u64).late,
        ));
    }
    let mut throughput = Vec::new();
    for &voters in parameters.voters {
        progress(&format!(
            "control: {voters} voters, commands without pause from {} agents",
            parameters.saturating_agents
        ));
        throughput.push((voters as f64, measure_throughput(parameters, voters)));
    }
    let mut measurements = cost_measurements(&command_costs, &throughput);
    measurements.extend(burst_measurements(&bursts, &late_by_sync_write));
    Ok(measurements)
}

#[derive(Clone, Copy, Debug)]
struct CommandCost {
    voters_us: f64,
    leader_us: f64,
    bytes: f64,
    ms: f64,
}

fn stable_simulation(agents: usize, sync_write_us: u64) -> Simulation {
    let mut simulation = Simulation::new(
        target::VOTERS,
        agents,
        RoundTrips::Regions,
        sync_write_us,
        1,
    );
    simulation.run_until_stable();
    // Lets the first lease holder finish sending its updates to all agents.
    simulation.run(10 * SECOND);
    simulation
}

/// A non-voting agent, if there is one; chosen in turn.
fn non_voter(nth: u64, agents: usize) -> usize {
    let others = agents.saturating_sub(target::VOTERS).max(1) as u64;
    (target::VOTERS + (nth % others) as usize).min(agents - 1)
}

/// Cost of one command at the voters, beyond their idle cost.
fn command_cost(agents: usize, seconds: u64) -> CommandCost {
    let mut simulation = stable_simulation(agents, SYNC_WRITE);
    // Ticks are left out: each looks at all agents whatever the commands, and would hide the cost of a command.
    let core = |usage: &Usage| (usage.core - usage.ticks).as_secs_f64();
    let voters_usage = |simulation: &Simulation| {
        let usages = (0..target::VOTERS).map(|voter| simulation.usage(voter));
        usages.fold((0.0, 0), |(sum, bytes), usage| {
            (
                sum + core(&usage),
                bytes + usage.message_bytes + usage.call_bytes,
            )
        })
    };
    let leader_core = |simulation: &Simulation| {
        simulation
            .leader()
            .map_or(0.0, |leader| core(&simulation.usage(leader)))
    };
    let start = (voters_usage(&simulation), leader_core(&simulation));
    simulation.run(seconds * SECOND);
    let after_idle = (voters_usage(&simulation), leader_core(&simulation));
    let idle = (
        after_idle.0 .0 - start.0 .0,
        after_idle.0 .1 - start.0 .1,
        after_idle.1 - start.1,
    );
    let mut latencies = Vec::new();
    for nth in 0..seconds * LIGHT_RATE {
        // Lifting a cordon that doesn't exist changes nothing, so that no update is sent to all agents.
        simulation.submit(non_voter(nth, agents), uncordon(nth % SERVERS));
        simulation.run(SECOND / LIGHT_RATE);
        latencies.extend(
            simulation
                .take_completed()
                .iter()
                .map(|a| (a.completed_at - a.submitted_at) as f64 / 1e3),
        );
    }
    let after_load = (voters_usage(&simulation), leader_core(&simulation));
    let commands = (seconds * LIGHT_RATE) as f64;
    let per = |after: f64, before: f64, idle: f64| (after - before - idle) / commands;
    CommandCost {
        voters_us: per(after_load.0 .0, after_idle.0 .0, idle.0) * 1e6,
        leader_us: per(after_load.1, after_idle.1, idle.2) * 1e6,
        bytes: per(
            after_load.0 .1 as f64,
            after_idle.0 .1 as f64,
            idle.1 as f64,
        ),
        ms: median(latencies),
    }
}

fn commands() -> impl FnMut() -> OperatorCommand {
    let mut server = 0;
    move || {
        server += 1;
        uncordon(server % SERVERS)
    }
}

/// Highest sustained rate of commands from non-voters; and the commands committed per second while each non-voter submits
/// the next command as soon as the last one has a result.
fn measure_throughput(parameters: &RunParameters, voters: usize) -> (f64, f64) {
    let (seconds, saturated) = (parameters.command_s, parameters.saturating_agents);
    let stable = || {
        let mut simulation = Simulation::new(
            voters,
            saturated + voters,
            RoundTrips::Regions,
            SYNC_WRITE,
            1,
        );
        simulation.run_until_stable();
        simulation.run(5 * SECOND);
        simulation
    };
    let agents = voters..voters + saturated;
    let sustained = highest_sustained_rate(parameters.max_rate, |rate| {
        committed_share(
            &offer_commands(&mut stable(), rate, seconds, agents.clone(), commands()),
            rate * seconds as f64,
        )
    });
    let (mut simulation, mut next) = (stable(), commands());
    agents.for_each(|agent| simulation.submit(agent, next()));
    simulation.run_with_follow_ups(COMMAND_TIMEOUT, |_| Some(next()));
    simulation.take_completed();
    simulation.run_with_follow_ups(seconds * SECOND, |_| Some(next()));
    (
        sustained,
        committed_share(&simulation.take_completed(), seconds as f64),
    )
}

#[derive(Clone, Copy, Debug)]
struct Burst {
    /// Calls that arrived at all voters' sockets in the worst second.
    worst_second_calls: f64,
    /// Calls rejected because a voter's backlog was full.
    rejected_calls: f64,
    /// Longest backlog of one voter, in calls.
    max_queued: f64,
    /// Commands that were not committed and were submitted again.
    retried: f64,
    /// Agents whose command was not committed after `target::IN_FORCE_WITHIN_MS`, when a change has to be in force.
    late: f64,
    /// Agents whose command was not committed at the end of the wait.
    never_committed: f64,
    /// Seconds until every agent's command was committed.
    all_committed_s: Option<f64>,
    core: f64,
}

/// Submits a command at every agent at the same moment, and again whenever one is not committed.
fn command_burst(agents: usize, sync_write_us: u64) -> Burst {
    let mut simulation = stable_simulation(agents, sync_write_us);
    let from = simulation.now();
    let calls_received = |simulation: &Simulation| {
        (0..target::VOTERS)
            .map(|voter| simulation.usage(voter).calls_received)
            .sum::<u64>()
    };
    let core = |simulation: &Simulation| {
        simulation
            .leader()
            .map_or(0.0, |leader| simulation.usage(leader).core.as_secs_f64())
    };
    // The command changes nothing, so that no update is sent to all agents besides.
    let command = |agent: usize| uncordon(agent as u64 % SERVERS);
    (0..agents).for_each(|agent| simulation.submit(agent, command(agent)));
    let (mut committed, mut retried, mut worst_second_calls, mut busiest_core, mut last) =
        (0, 0, 0, 0.0_f64, None);
    let mut late = 0;
    for second in 1..=MAX_WAIT_S {
        let before = (calls_received(&simulation), core(&simulation));
        simulation.run_with_follow_ups(SECOND, |completed| {
            (!completed.result.is_committed()).then(|| command(completed.agent))
        });
        worst_second_calls = worst_second_calls.max(calls_received(&simulation) - before.0);
        busiest_core = busiest_core.max((core(&simulation) - before.1) * 100.0);
        for completed in simulation.take_completed() {
            if completed.result.is_committed() {
                committed += 1;
                last = Some((completed.completed_at - from) as f64 / SECOND as f64);
            } else {
                retried += 1;
            }
        }
        if second * 1_000 == target::IN_FORCE_WITHIN_MS as u64 {
            late = agents - committed;
        }
        if committed >= agents {
            break;
        }
    }
    Burst {
        late: late as f64,
        never_committed: (agents - committed) as f64,
        worst_second_calls: worst_second_calls as f64,
        rejected_calls: simulation.rejected_calls as f64,
        max_queued: simulation.max_queued as f64,
        retried: f64::from(retried),
        all_committed_s: last.filter(|_| committed >= agents),
        core: busiest_core,
    }
}

fn cost_measurements(
    command_costs: &[(f64, CommandCost)],
    throughput: &[(f64, (f64, f64))],
) -> Vec<Measurement> {
    let measurement = |spec: MeasurementSpec, value_of: fn(&CommandCost) -> f64| {
        let measured: Vec<(f64, f64)> = command_costs
            .iter()
            .map(|(size, cost)| (*size, value_of(cost)))
            .collect();
        Measurement::new(&spec, &measured)
    };
    let base = MeasurementSpec {
        mechanism: CALL_LIMITS,
        ..BASE
    };
    let processor = MeasurementSpec {
        aspect: Aspect::Processor,
        ..base
    };
    let leader_core_at_one_per_s: Vec<(f64, f64)> = command_costs
        .iter()
        .map(|(size, cost)| (*size, size * cost.leader_us / 1e6 * 100.0))
        .collect();
    let voters = MeasurementSpec {
        size_unit: "voters",
        target: target::VOTERS as f64,
        ..base
    };
    let sustained: Vec<(f64, f64)> = throughput
        .iter()
        .map(|(size, (sustained, _))| (*size, *sustained))
        .collect();
    let saturated: Vec<(f64, f64)> = throughput
        .iter()
        .map(|(size, (_, saturated))| (*size, *saturated))
        .collect();
    let demand_ratio: Vec<(f64, f64)> = sustained
        .iter()
        .map(|(size, sustained)| (*size, target::NODES as f64 / sustained.max(1.0)))
        .collect();
    vec![
        measurement(
            MeasurementSpec { name: "ask-core", unit: "us of all voters' cores for an ask, over rest, beats left out", ..processor },
            |cost| cost.voters_us,
        ),
        measurement(
            MeasurementSpec {
                name: "ask-core-leader",
                unit: "us of the leader's core for an ask, over rest, beats left out",
                ..processor
            },
            |cost| cost.leader_us,
        ),
        measurement(
            MeasurementSpec {
                aspect: Aspect::Messages,
                name: "ask-bytes",
                unit: "bytes that the voters send for an ask, over rest",
                ..base
            },
            |cost| cost.bytes,
        ),
        measurement(
            MeasurementSpec {
                aspect: Aspect::Latency,
                name: "ask-answered",
                unit: "ms from ask to yes, the middle one, 50 asks a second in all",
                budget: Some(target::IN_FORCE_WITHIN_MS),
                impact: Impact::Delay,
                ..base
            },
            |cost| cost.ms,
        ),
        Measurement::new(
            &MeasurementSpec {
                name: "asks-each-second-core",
                unit: "% of the leader's core, an ask a second from each",
                source: Source::Arithmetic,
                budget: Some(100.0),
                impact: Impact::Delay,
                ..processor
            },
            &leader_core_at_one_per_s,
        ),
        Measurement::new(
            &MeasurementSpec {
                aspect: Aspect::Messages,
                name: "asks-borne",
                unit: "asks of agents without a vote answered with yes a second at most, none above 4,096 tried",
                ..voters
            },
            &sustained,
        ),
        Measurement::new(
            &MeasurementSpec {
                aspect: Aspect::Messages,
                name: "asks-overdriven",
                unit: "such asks answered with yes a second, 400 agents asking again as soon as they are answered",
                ..voters
            },
            &saturated,
        ),
        Measurement::new(
            &MeasurementSpec {
                aspect: Aspect::Messages,
                name: "asks-each-second",
                unit: "times what is borne: an ask a second from each of 1,900 agents",
                source: Source::Arithmetic,
                budget: Some(1.0),
                impact: Impact::Delay,
                ..voters
            },
            &demand_ratio,
        ),
    ]
}

fn burst_measurements(
    bursts: &[(f64, Burst)],
    late_by_sync_write: &[(f64, f64)],
) -> Vec<Measurement> {
    let measurement = |spec: MeasurementSpec, value_of: fn(&Burst) -> f64| {
        let measured: Vec<(f64, f64)> = bursts
            .iter()
            .map(|(size, burst)| (*size, value_of(burst)))
            .collect();
        Measurement::new(&spec, &measured)
    };
    let base = MeasurementSpec {
        mechanism: CALL_LIMITS,
        ..BASE
    };
    let messages = MeasurementSpec {
        aspect: Aspect::Messages,
        ..base
    };
    let all_committed: Vec<(f64, f64)> = bursts
        .iter()
        .filter_map(|(size, burst)| Some((*size, burst.all_committed_s?)))
        .collect();
    let late = MeasurementSpec {
        budget: Some(0.0),
        impact: Impact::Partial,
        ..base
    };
    vec![
        measurement(
            MeasurementSpec { name: "back-late", unit: "agents without a yes 9 s after all asked at once", ..late },
            |burst| burst.late,
        ),
        measurement(
            MeasurementSpec { name: "back-never", unit: "agents without a yes 60 s after all asked at once", ..late },
            |burst| burst.never_committed,
        ),
        Measurement::new(
            &MeasurementSpec {
                name: "back-late-by-write",
                unit: "agents of the largest number without a yes 9 s after all asked at once",
                size_unit: "ms of a synced write",
                target: SYNC_WRITE as f64 / 1e3,
                ..base
            },
            late_by_sync_write,
        ),
        measurement(
            MeasurementSpec {
                name: "back-worst-second",
                unit: "calls at all voters' sockets in the worst second, all agents asking at once",
                ..messages
            },
            |burst| burst.worst_second_calls,
        ),
        measurement(
            MeasurementSpec {
                name: "back-turned-away",
                unit: "calls that found neither place nor queue until all had their yes, or 60 s",
                ..messages
            },
            |burst| burst.rejected_calls,
        ),
        measurement(
            MeasurementSpec { name: "back-waiting", unit: "calls in one voter's queue at most, of 128", ..messages },
            |burst| burst.max_queued,
        ),
        measurement(
            MeasurementSpec {
                name: "back-not-yes",
                unit: "answers that were not yes, and were asked for again, in that time",
                ..messages
            },
            |burst| burst.retried,
        ),
        measurement(
            MeasurementSpec {
                aspect: Aspect::Processor,
                name: "back-core",
                unit: "% of the leader's core in the worst second",
                budget: Some(100.0),
                impact: Impact::Delay,
                ..base
            },
            |burst| burst.core,
        ),
        Measurement::new(
            &MeasurementSpec {
                aspect: Aspect::Latency,
                name: "back-answered",
                unit: "s until all agents that asked at once have their yes, where that was within 60 s",
                budget: Some(target::IN_FORCE_WITHIN_MS / 1e3),
                impact: Impact::Delay,
                ..base
            },
            &all_committed,
        ),
    ]
}
