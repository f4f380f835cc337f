//! Comparison of the node with a bare forwarder on the same sockets, under the same light load. The runs
//! of the two alternate, so that drift of the machine affects both. The result is a table of ratios without
//! a verdict.

use std::path::{Path, PathBuf};

use comfy_table::presets::UTF8_BORDERS_ONLY;
use comfy_table::Table;

use crate::outcome::Outcome;
use crate::runtime::{self, Plan, RunError};
use crate::scenario::Scenario;

/// A load of 2,000 requests a second on one node, with next to no work at the servers.
const SCENARIO: &str =
    "title = \"a day of small requests\"\n[load]\nlevel = 0.055\nwork_scale = 0.01\nswing = 0\n\
    [clients]\nretries = 0\n[network]\nsame_ms = 0\ncross_ms = 0\n";

/// Measurements of one run.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    /// Requests served per second of processor time.
    pub per_core_s: f64,
    /// Processor time per served request, in microseconds.
    pub cpu_us: f64,
    /// Median latency of served requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of served requests, in milliseconds.
    pub p99_ms: f64,
    /// Peak memory of the whole process per open descriptor, in kB.
    pub kb_per_descriptor: f64,
    /// Share of the requests that were served.
    pub served: f64,
}

impl Measurement {
    fn new(outcome: &Outcome) -> Measurement {
        let totals = outcome.checker.totals();
        let mut all = crate::checker::latencies();
        for class in &totals.classes {
            // Cannot fail: all histograms have the same bounds.
            let _ = all.add(&class.latency);
        }
        let (requests, served) = (totals.requests() as f64, all.len() as f64);
        let cpu_s: f64 = outcome.nodes.iter().map(|node| node.cpu_s).sum();
        let memory: f64 = outcome
            .nodes
            .iter()
            .map(|node| node.memory_mb * 1024.0)
            .sum();
        let descriptors: usize = outcome.nodes.iter().map(|node| node.descriptors).sum();
        Measurement {
            per_core_s: served / cpu_s.max(1e-9),
            cpu_us: cpu_s * 1e6 / served.max(1.0),
            p50_ms: all.value_at_quantile(0.5) as f64 / 1e3,
            p99_ms: all.value_at_quantile(0.99) as f64 / 1e3,
            kb_per_descriptor: memory / descriptors.max(1) as f64,
            served: served / requests.max(1.0),
        }
    }
}

/// Executes `rounds` pairs of runs of `seconds` each, one for each command. `progress` is called with the
/// number of completed rounds.
pub async fn run(
    commands: [&str; 2],
    root: &Path,
    rounds: usize,
    seconds: f64,
    mut progress: impl FnMut(usize),
) -> Result<Vec<[Measurement; 2]>, RunError> {
    let scenario = Scenario::read("bench.toml", SCENARIO).expect("SCENARIO is valid");
    let mut pairs = Vec::new();
    for round in 0..rounds {
        let mut pair = Vec::new();
        // The order alternates, as the machine may be warmer for the second run of a pair.
        let order = if round % 2 == 0 { [0, 1] } else { [1, 0] };
        for index in order {
            let plan = Plan {
                scenario: scenario.clone(),
                seed: round as u64 + 1,
                nodes: 1,
                servers: 9,
                seconds,
                command: commands[index].to_owned(),
                root: PathBuf::from(root),
                logs: None,
            };
            pair.push((index, Measurement::new(&runtime::run(plan, |_| {}).await?)));
        }
        pair.sort_by_key(|(index, _)| *index);
        pairs.push([pair[0].1, pair[1].1]);
        progress(round + 1);
    }
    Ok(pairs)
}

/// The medians of both programs, and the median, minimum and maximum of the ratios of the pairs, as a table.
pub fn text(names: [&str; 2], pairs: &[[Measurement; 2]]) -> String {
    type Metric = fn(&Measurement) -> f64;
    let metrics: [(&str, Metric); 6] = [
        ("requests a core-second", |measurement| {
            measurement.per_core_s
        }),
        ("CPU a request, us", |measurement| measurement.cpu_us),
        ("p50, ms", |measurement| measurement.p50_ms),
        ("p99, ms", |measurement| measurement.p99_ms),
        ("memory a descriptor, kB", |measurement| {
            measurement.kb_per_descriptor
        }),
        ("served, share", |measurement| measurement.served),
    ];
    let mut table = Table::new();
    table.load_style(UTF8_BORDERS_ONLY);
    table.set_header([
        "median of turns",
        names[0],
        names[1],
        "ratio",
        "least",
        "most",
    ]);
    for (name, metric) in metrics {
        let sorted = |values: Vec<f64>| {
            let mut values = values;
            values.sort_by(f64::total_cmp);
            values
        };
        let median = |values: &[f64]| values[values.len() / 2];
        let first = sorted(pairs.iter().map(|pair| metric(&pair[0])).collect());
        let second = sorted(pairs.iter().map(|pair| metric(&pair[1])).collect());
        let ratios = sorted(
            pairs
                .iter()
                .map(|pair| metric(&pair[0]) / metric(&pair[1]).max(1e-9))
                .collect(),
        );
        let (Some(least), Some(most)) = (ratios.first(), ratios.last()) else {
            continue;
        };
        table.add_row([
            name.to_owned(),
            format!("{:.2}", median(&first)),
            format!("{:.2}", median(&second)),
            format!("{:.2}", median(&ratios)),
            format!("{least:.2}"),
            format!("{most:.2}"),
        ]);
    }
    format!("{table}\n")
}
