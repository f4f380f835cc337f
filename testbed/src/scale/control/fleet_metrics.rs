//! Measures the collection of fleet metrics without sockets: one metrics collector per agent, and one lease holder that
//! queries them each second as the agent's runtime does. Covers a regular round, and the hour of history that a new holder
//! requests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use control_plane::lease::Role;
use control_plane::membership::{fleet_id, CallMessage, Name, MAX_CALL_BYTES};
use control_plane::metrics::{
    AddressedQuery, AlarmEvaluator, AlarmSettings, FleetMetrics, NodeGauges, NodeMetricsCollector,
    NodeReading, RequestCounts, MAX_QUERIES_PER_SECOND, SLOTS_PER_HOUR, SLOT_LENGTH,
};
use control_plane::Micros;

use super::super::results::{Aspect, Impact, Measurement, MeasurementSpec};
use super::super::{check_memory, median, target, RunParameters, ScaleError};
use super::simulation::RoundTrips;
use super::{us_per_item, BASE, SECOND};

const FLEET_METRICS: &str =
    "the census: each agent asked each second, in large fleets less often, 500 a second at most";
/// Interval of the coordinator's ticks, in ms. They run in the same task as the collection, which must not take longer.
const TICK_MS: f64 = 50.0;
/// Longest acceptable collection round, in s: one slot. Sums leave out the newest slots, for which answers may be missing.
const SLOT_SECONDS: f64 = 5.0;
const HISTORY: Micros = SLOTS_PER_HOUR as Micros * SLOT_LENGTH;

/// Returns the measurements of the collection of fleet metrics.
pub fn measure(
    parameters: &RunParameters,
    progress: &mut impl FnMut(&str),
) -> Result<Vec<Measurement>, ScaleError> {
    let mut collection_costs = Vec::new();
    for &agents in parameters.agents {
        progress(&format!("control: fleet metrics of {agents} agents"));
        collection_costs.push((
            agents as f64,
            CollectionSimulation::new(agents).run(parameters.metrics_s),
        ));
        check_memory(0.0)?;
    }
    Ok(measurements(&collection_costs))
}

#[derive(Clone, Copy, Debug)]
struct CollectionCost {
    /// Seconds from one query of an agent to its next.
    round_s: f64,
    /// Queries in the worst second, after the first round.
    queries: f64,
    /// Agents that the report counts as not answering, on average.
    unanswered: f64,
    /// Bytes in and out at the holder per second.
    bytes: f64,
    /// Bytes in and out at the holder per round.
    round_bytes: f64,
    /// Bytes in and out at a new holder for the hour of history.
    history_bytes: f64,
    /// Percent of the holder's core.
    core: f64,
    /// Processor time of the holder's longest tick, in ms.
    tick_ms: f64,
    /// Processor time of a new holder for the hour of history, in ms.
    history_ms: f64,
    /// Microseconds of an agent's core to answer with its hour of history.
    history_answer_us: f64,
    /// Size of the report to operators, in bytes.
    report_bytes: f64,
    /// Median time to build and encode the report, in ms.
    report_ms: f64,
}

/// Metrics collectors that have run for an hour, and a lease holder that queries them.
struct CollectionSimulation {
    names: Vec<Name>,
    collectors: BTreeMap<Name, (usize, NodeMetricsCollector)>,
    fleet_metrics: FleetMetrics,
    alarm_evaluator: AlarmEvaluator,
    now: Micros,
}

/// Traffic and processor time of one tick.
#[derive(Clone, Copy, Debug, Default)]
struct TickCost {
    queries: usize,
    bytes: usize,
    /// Processor time of the holder.
    core: Duration,
    /// Processor time of all queried agents.
    answer_time: Duration,
}

impl CollectionSimulation {
    fn new(agents: usize) -> CollectionSimulation {
        let names: Vec<Name> = (0..agents)
            .map(|agent| format!("node-{agent:04}").parse().expect("a name"))
            .collect();
        let collector = |(at, name): (usize, &Name)| {
            // The agents started at different moments.
            let started = (at as Micros * 7_919) % SLOT_LENGTH;
            let mut collector = NodeMetricsCollector::new(started);
            collector.record_start(started);
            (name.clone(), (at, collector))
        };
        let collectors = names.iter().enumerate().map(collector).collect();
        let (fleet_metrics, alarm_evaluator) = (
            FleetMetrics::default(),
            AlarmEvaluator::new(AlarmSettings::default()),
        );
        let mut simulation = CollectionSimulation {
            names,
            collectors,
            fleet_metrics,
            alarm_evaluator,
            now: 0,
        };
        while simulation.now < HISTORY {
            simulation.now += SLOT_LENGTH;
            simulation.read_nodes();
        }
        simulation
    }

    /// Feeds each collector a reading of its node at its even share of the peak load.
    fn read_nodes(&mut self) {
        let requests = (self.now as f64 / SECOND as f64 * target::NODE_REQUESTS_PER_S) as u64;
        let counts = RequestCounts {
            served: requests,
            refused: requests / 500,
            failed: requests / 900,
            forwards: requests,
        };
        let gauges = NodeGauges {
            outstanding: 40,
            discovered: target::SERVERS as u64,
            ejected: 12,
            list: u64::MAX / 3,
        };
        for (_, collector) in self.collectors.values_mut() {
            collector.record(self.now, &NodeReading { counts, gauges });
        }
    }

    /// One tick of the holder. All answers arrive before the next tick.
    fn tick(&mut self) -> TickCost {
        let (fleet, mut tick, start) = (fleet_id("lab"), TickCost::default(), self.now);
        let started = Instant::now();
        let queries =
            self.fleet_metrics
                .next_queries(self.now, Role::MetricsAggregation, 7, &self.names);
        let alarms = self
            .alarm_evaluator
            .evaluate(self.now, &self.fleet_metrics, 1_700_000_000_000)
            .len();
        tick.core += started.elapsed();
        debug_assert_eq!(alarms, 0, "no alarm is expected: all nodes are healthy");
        tick.queries = queries.len();
        let mut answers: Vec<(Micros, Name, Vec<u8>)> = Vec::new();
        for AddressedQuery { to: name, query } in queries {
            tick.bytes += CallMessage::QueryMetrics(query).encode(fleet).len();
            let Some((at, collector)) = self.collectors.get_mut(&name) else {
                continue;
            };
            // Opening the connection and the query with its answer take two round trips.
            let one_way = RoundTrips::Regions.one_way(0, *at);
            let started = Instant::now();
            let answer = collector.answer(start + 3 * one_way, &query, *at as u64 + 1, Vec::new());
            let bytes = CallMessage::NodeMetrics(answer).encode(fleet);
            tick.answer_time += started.elapsed();
            tick.bytes += bytes.len();
            answers.push((start + 4 * one_way, name, bytes));
        }
        answers.sort();
        for (at, name, bytes) in answers {
            let started = Instant::now();
            if let Ok(CallMessage::NodeMetrics(answer)) = CallMessage::decode(&bytes, fleet) {
                self.fleet_metrics.record_answer(at, &name, answer);
            }
            tick.core += started.elapsed();
        }
        tick
    }

    fn run(mut self, seconds: u64) -> CollectionCost {
        let agents = self.names.len() as f64;
        let history = self.tick();
        let (mut ticks, mut unanswered) = (Vec::new(), Vec::new());
        for _ in 0..seconds {
            self.now += SECOND;
            self.read_nodes();
            // The report as operators see it just before the next queries.
            let report = self.fleet_metrics.report(self.now, self.names[0].clone());
            unanswered.push((report.present - report.answered) as f64);
            ticks.push(self.tick());
        }
        let total_queries: usize = ticks.iter().map(|tick| tick.queries).sum();
        let bytes: usize = ticks.iter().map(|tick| tick.bytes).sum();
        let core: Duration = ticks.iter().map(|tick| tick.core).sum();
        let round_s = seconds as f64 * agents / total_queries.max(1) as f64;
        let times = (0..5).map(|_| {
            let started = Instant::now();
            let report = self.fleet_metrics.report(self.now, self.names[0].clone());
            let bytes = CallMessage::FleetMetrics(Some(Box::new(report))).encode(fleet_id("lab"));
            (started.elapsed().as_secs_f64() * 1e3, bytes.len())
        });
        let times: Vec<(f64, usize)> = times.collect();
        CollectionCost {
            round_s,
            queries: ticks.iter().map(|tick| tick.queries).max().unwrap_or(0) as f64,
            unanswered: unanswered.iter().sum::<f64>() / unanswered.len().max(1) as f64,
            bytes: bytes as f64 / seconds as f64,
            round_bytes: bytes as f64 / seconds as f64 * round_s,
            history_bytes: history.bytes as f64,
            core: core.as_secs_f64() / seconds as f64 * 100.0,
            tick_ms: ticks
                .iter()
                .map(|tick| tick.core.as_secs_f64() * 1e3)
                .fold(0.0, f64::max),
            history_ms: history.core.as_secs_f64() * 1e3,
            history_answer_us: us_per_item(history.answer_time, agents),
            report_bytes: times[0].1 as f64,
            report_ms: median(times.iter().map(|time| time.0).collect()),
        }
    }
}

fn measurements(collection_costs: &[(f64, CollectionCost)]) -> Vec<Measurement> {
    let measurement = |spec: MeasurementSpec, value_of: fn(&CollectionCost) -> f64| {
        let measured: Vec<(f64, f64)> = collection_costs
            .iter()
            .map(|(size, cost)| (*size, value_of(cost)))
            .collect();
        Measurement::new(&spec, &measured)
    };
    let base = MeasurementSpec {
        mechanism: FLEET_METRICS,
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
    vec![
        measurement(
            MeasurementSpec {
                name: "census-silent",
                unit: "agents that answer and are counted as silent",
                budget: Some(0.0),
                impact: Impact::Partial,
                ..base
            },
            |cost| cost.unanswered,
        ),
        measurement(
            MeasurementSpec {
                aspect: Aspect::Latency,
                name: "census-round",
                unit: "s to ask all agents once",
                budget: Some(SLOT_SECONDS),
                impact: Impact::Delay,
                ..base
            },
            |cost| cost.round_s,
        ),
        measurement(
            MeasurementSpec {
                name: "census-asks",
                unit: "asks of the holder in the worst second, each a connection",
                budget: Some(MAX_QUERIES_PER_SECOND as f64),
                ..messages
            },
            |cost| cost.queries,
        ),
        measurement(
            MeasurementSpec {
                name: "census-bytes",
                unit: "bytes a second at the holder, in and out",
                ..messages
            },
            |cost| cost.bytes,
        ),
        measurement(
            MeasurementSpec {
                name: "census-round-bytes",
                unit: "bytes of a round at the holder, in and out",
                ..messages
            },
            |cost| cost.round_bytes,
        ),
        measurement(
            MeasurementSpec {
                name: "census-hour-bytes",
                unit: "bytes at a new holder in its first second: the whole hour of all",
                ..messages
            },
            |cost| cost.history_bytes,
        ),
        measurement(
            MeasurementSpec {
                name: "census-report-bytes",
                unit: "bytes of what staff are told, from the holder to another agent",
                budget: Some(MAX_CALL_BYTES as f64),
                impact: Impact::Partial,
                ..messages
            },
            |cost| cost.report_bytes,
        ),
        measurement(
            MeasurementSpec {
                name: "census-core",
                unit: "% of the holder's core at rest, without sockets",
                budget: Some(target::CORE_PERCENT),
                ..processor
            },
            |cost| cost.core,
        ),
        measurement(
            MeasurementSpec {
                name: "census-beat",
                unit: "ms of the holder's core in the worst second",
                budget: Some(TICK_MS),
                impact: Impact::Delay,
                ..processor
            },
            |cost| cost.tick_ms,
        ),
        measurement(
            MeasurementSpec {
                name: "census-hour-core",
                unit: "ms of a new holder's core for the whole hour of all",
                budget: Some(1_000.0),
                impact: Impact::Delay,
                ..processor
            },
            |cost| cost.history_ms,
        ),
        measurement(
            MeasurementSpec {
                name: "census-tally",
                unit: "us of an agent's core to answer with its whole hour",
                size_unit: "agents",
                ..processor
            },
            |cost| cost.history_answer_us,
        ),
        measurement(
            MeasurementSpec {
                name: "census-report",
                unit: "ms of the holder's core to tell staff once",
                budget: Some(TICK_MS),
                impact: Impact::Delay,
                ..processor
            },
            |cost| cost.report_ms,
        ),
    ]
}
