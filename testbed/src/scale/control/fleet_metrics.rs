//! Measures the census by the pure rooms alone: as many meters as there are agents, and one holder that asks them each
//! second as the agent's host does; a round at rest, and the whole hour that a new holder asks for.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use control_plane::lease::Role;
use control_plane::membership::{fleet_id, CallMessage, Name, MAX_CALL_BYTES};
use control_plane::metrics::{
    AddressedQuery, AlarmEvaluator, AlarmSettings, FleetMetrics, NodeGauges, NodeMetricsCollector,
    NodeReading, RequestCounts, MAX_QUERIES_PER_SECOND, SLOTS_PER_HOUR, SLOT_LENGTH,
};
use control_plane::Micros;

use super::super::results::{About, Aspect, Loss, Measurement};
use super::super::{check_memory, middle, target, Effort, ScaleError};
use super::simulation::Trips;
use super::{share, BASE, SECOND};

const CENSUS: &str =
    "the census: each agent asked each second, in large fleets less often, 500 a second at most";
/// The desk's beat, in ms: the holder's one task does nothing else while the census works.
const BEAT_MS: f64 = 50.0;
/// A slot is told by all within another, in s: sums leave out so much.
const SLOT_S: f64 = 5.0;
const HOUR: Micros = SLOTS_PER_HOUR as Micros * SLOT_LENGTH;

/// The figures.
pub fn measure(
    effort: &Effort,
    told: &mut impl FnMut(&str),
) -> Result<Vec<Measurement>, ScaleError> {
    let mut rounds = Vec::new();
    for &agents in effort.agents {
        told(&format!("control: the census of {agents} agents"));
        rounds.push((agents as f64, Play::new(agents).rounds(effort.census_s)));
        check_memory(0.0)?;
    }
    Ok(measurements(&rounds))
}

#[derive(Clone, Copy, Debug)]
struct Rounds {
    /// From one ask of an agent to the next, in s.
    round_s: f64,
    /// Asks in the worst second, after the first round.
    asks: f64,
    /// Agents that the report counts as not having answered, on average.
    silent: f64,
    /// Bytes in and out at the holder: a second at rest, for a round, and for the whole hour.
    bytes: f64,
    round_bytes: f64,
    hour_bytes: f64,
    /// % of the holder's core at rest, and ms of the worst beat; ms for the whole hour.
    core: f64,
    beat_ms: f64,
    hour_ms: f64,
    /// us of an agent's core for the whole hour.
    tally_us: f64,
    report_bytes: f64,
    report_ms: f64,
}

/// Meters that have run for an hour, and a holder.
struct Play {
    names: Vec<Name>,
    meters: BTreeMap<Name, (usize, NodeMetricsCollector)>,
    census: FleetMetrics,
    watch: AlarmEvaluator,
    now: Micros,
}

/// What a beat came to.
#[derive(Clone, Copy, Debug, Default)]
struct Beat {
    asks: usize,
    bytes: usize,
    core: Duration,
    tally: Duration,
}

impl Play {
    fn new(agents: usize) -> Play {
        let names: Vec<Name> = (0..agents)
            .map(|agent| format!("node-{agent:04}").parse().expect("a name"))
            .collect();
        let meter = |(at, name): (usize, &Name)| {
            // They were not started in the same moment.
            let began = (at as Micros * 7_919) % SLOT_LENGTH;
            let mut meter = NodeMetricsCollector::new(began);
            meter.record_start(began);
            (name.clone(), (at, meter))
        };
        let meters = names.iter().enumerate().map(meter).collect();
        let (census, watch) = (
            FleetMetrics::default(),
            AlarmEvaluator::new(AlarmSettings::default()),
        );
        let mut play = Play {
            names,
            meters,
            census,
            watch,
            now: 0,
        };
        while play.now < HOUR {
            play.now += SLOT_LENGTH;
            play.read();
        }
        play
    }

    /// Each node is read, at its even share of the peak.
    fn read(&mut self) {
        let requests = (self.now as f64 / SECOND as f64 * target::NODE_RATE) as u64;
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
        for (_, meter) in self.meters.values_mut() {
            meter.record(self.now, &NodeReading { counts, gauges });
        }
    }

    /// The holder's beat; all answers come before the next.
    fn beat(&mut self) -> Beat {
        let (fleet, mut beat, start) = (fleet_id("lab"), Beat::default(), self.now);
        let began = Instant::now();
        let queries = self
            .census
            .next_queries(self.now, Role::MetricsAggregation, 7, &self.names);
        let seen = self
            .watch
            .evaluate(self.now, &self.census, 1_700_000_000_000)
            .len();
        beat.core += began.elapsed();
        debug_assert_eq!(seen, 0, "nothing is wrong");
        beat.asks = queries.len();
        let mut answers: Vec<(Micros, Name, Vec<u8>)> = Vec::new();
        for AddressedQuery { to: name, query } in queries {
            beat.bytes += CallMessage::QueryMetrics(query).encode(fleet).len();
            let Some((at, meter)) = self.meters.get_mut(&name) else {
                continue;
            };
            // A connection, the question, the answer: two round trips.
            let way = Trips::Regions.way(0, *at);
            let began = Instant::now();
            let tally = meter.answer(start + 3 * way, &query, *at as u64 + 1, Vec::new());
            let bytes = CallMessage::NodeMetrics(tally).encode(fleet);
            beat.tally += began.elapsed();
            beat.bytes += bytes.len();
            answers.push((start + 4 * way, name, bytes));
        }
        answers.sort();
        for (at, name, bytes) in answers {
            let began = Instant::now();
            if let Ok(CallMessage::NodeMetrics(tally)) = CallMessage::decode(&bytes, fleet) {
                self.census.record_answer(at, &name, tally);
            }
            beat.core += began.elapsed();
        }
        beat
    }

    fn rounds(mut self, seconds: u64) -> Rounds {
        let agents = self.names.len() as f64;
        let hour = self.beat();
        let (mut beats, mut silent) = (Vec::new(), Vec::new());
        for _ in 0..seconds {
            self.now += SECOND;
            self.read();
            // As staff would see it, just before the next questions.
            let report = self.census.report(self.now, self.names[0].clone());
            silent.push((report.present - report.answered) as f64);
            beats.push(self.beat());
        }
        let all: usize = beats.iter().map(|beat| beat.asks).sum();
        let bytes: usize = beats.iter().map(|beat| beat.bytes).sum();
        let core: Duration = beats.iter().map(|beat| beat.core).sum();
        let round_s = seconds as f64 * agents / all.max(1) as f64;
        let times = (0..5).map(|_| {
            let began = Instant::now();
            let report = self.census.report(self.now, self.names[0].clone());
            let bytes = CallMessage::FleetMetrics(Some(Box::new(report))).encode(fleet_id("lab"));
            (began.elapsed().as_secs_f64() * 1e3, bytes.len())
        });
        let times: Vec<(f64, usize)> = times.collect();
        Rounds {
            round_s,
            asks: beats.iter().map(|beat| beat.asks).max().unwrap_or(0) as f64,
            silent: silent.iter().sum::<f64>() / silent.len().max(1) as f64,
            bytes: bytes as f64 / seconds as f64,
            round_bytes: bytes as f64 / seconds as f64 * round_s,
            hour_bytes: hour.bytes as f64,
            core: core.as_secs_f64() / seconds as f64 * 100.0,
            beat_ms: beats
                .iter()
                .map(|beat| beat.core.as_secs_f64() * 1e3)
                .fold(0.0, f64::max),
            hour_ms: hour.core.as_secs_f64() * 1e3,
            tally_us: share(hour.tally, agents),
            report_bytes: times[0].1 as f64,
            report_ms: middle(times.iter().map(|time| time.0).collect()),
        }
    }
}

fn measurements(rounds: &[(f64, Rounds)]) -> Vec<Measurement> {
    let measurement = |about: About, of: fn(&Rounds) -> f64| {
        let measured: Vec<(f64, f64)> = rounds
            .iter()
            .map(|(size, rounds)| (*size, of(rounds)))
            .collect();
        Measurement::new(&about, &measured)
    };
    let base = About {
        carried_by: CENSUS,
        ..BASE
    };
    let messages = About {
        aspect: Aspect::Messages,
        ..base
    };
    let processor = About {
        aspect: Aspect::Processor,
        ..base
    };
    vec![
        measurement(
            About {
                name: "census-silent",
                unit: "agents that answer and are counted as silent",
                budget: Some(0.0),
                loss: Loss::Part,
                ..base
            },
            |rounds| rounds.silent,
        ),
        measurement(
            About {
                aspect: Aspect::Latency,
                name: "census-round",
                unit: "s to ask all agents once",
                budget: Some(SLOT_S),
                loss: Loss::Time,
                ..base
            },
            |rounds| rounds.round_s,
        ),
        measurement(
            About {
                name: "census-asks",
                unit: "asks of the holder in the worst second, each a connection",
                budget: Some(MAX_QUERIES_PER_SECOND as f64),
                ..messages
            },
            |rounds| rounds.asks,
        ),
        measurement(
            About {
                name: "census-bytes",
                unit: "bytes a second at the holder, in and out",
                ..messages
            },
            |rounds| rounds.bytes,
        ),
        measurement(
            About {
                name: "census-round-bytes",
                unit: "bytes of a round at the holder, in and out",
                ..messages
            },
            |rounds| rounds.round_bytes,
        ),
        measurement(
            About {
                name: "census-hour-bytes",
                unit: "bytes at a new holder in its first second: the whole hour of all",
                ..messages
            },
            |rounds| rounds.hour_bytes,
        ),
        measurement(
            About {
                name: "census-report-bytes",
                unit: "bytes of what staff are told, from the holder to another agent",
                budget: Some(MAX_CALL_BYTES as f64),
                loss: Loss::Part,
                ..messages
            },
            |rounds| rounds.report_bytes,
        ),
        measurement(
            About {
                name: "census-core",
                unit: "% of the holder's core at rest, without sockets",
                budget: Some(target::CORE),
                ..processor
            },
            |rounds| rounds.core,
        ),
        measurement(
            About {
                name: "census-beat",
                unit: "ms of the holder's core in the worst second",
                budget: Some(BEAT_MS),
                loss: Loss::Time,
                ..processor
            },
            |rounds| rounds.beat_ms,
        ),
        measurement(
            About {
                name: "census-hour-core",
                unit: "ms of a new holder's core for the whole hour of all",
                budget: Some(1_000.0),
                loss: Loss::Time,
                ..processor
            },
            |rounds| rounds.hour_ms,
        ),
        measurement(
            About {
                name: "census-tally",
                unit: "us of an agent's core to answer with its whole hour",
                of: "agents",
                ..processor
            },
            |rounds| rounds.tally_us,
        ),
        measurement(
            About {
                name: "census-report",
                unit: "ms of the holder's core to tell staff once",
                budget: Some(BEAT_MS),
                loss: Loss::Time,
                ..processor
            },
            |rounds| rounds.report_ms,
        ),
    ]
}
