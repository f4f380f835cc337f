//! Owns the comparison of the node with a bare forwarder on the same sockets: the same light day for
//! both, by turns, so that a machine that drifts drifts for both. It prints ratios and judges nothing.

use std::path::{Path, PathBuf};

use comfy_table::presets::UTF8_BORDERS_ONLY;
use comfy_table::Table;

use crate::outcome::Outcome;
use crate::runtime::{play, HostError, Plan};
use crate::scenario::Scenario;

/// A day on which servers cost next to nothing: 2,000 requests a second with one node.
const DAY: &str =
    "title = \"a day of small requests\"\n[load]\nlevel = 0.055\nwork_scale = 0.01\nswing = 0\n\
    [clients]\nretries = 0\n[network]\nsame_ms = 0\ncross_ms = 0\n";

/// What one turn showed.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    /// Requests served for each second of processor time.
    pub per_core_s: f64,
    /// Microseconds of processor time for each request.
    pub cpu_us: f64,
    /// Median and 99th percentile of the time to an answer, in milliseconds.
    pub p50_ms: f64,
    /// The latter.
    pub p99_ms: f64,
    /// Kilobytes of memory for each descriptor held, all of the process counted.
    pub kb_a_descriptor: f64,
    /// Share of requests that were served.
    pub served: f64,
}

impl Turn {
    fn new(outcome: &Outcome) -> Turn {
        let tally = outcome.checker.totals();
        let mut all = crate::checker::latencies();
        for class in &tally.classes {
            // Bounds are the same for all classes.
            let _ = all.add(&class.latency);
        }
        let (requests, served) = (tally.requests() as f64, all.len() as f64);
        let cpu_s: f64 = outcome.nodes.iter().map(|node| node.cpu_s).sum();
        let memory: f64 = outcome
            .nodes
            .iter()
            .map(|node| node.memory_mb * 1024.0)
            .sum();
        let descriptors: usize = outcome.nodes.iter().map(|node| node.descriptors).sum();
        Turn {
            per_core_s: served / cpu_s.max(1e-9),
            cpu_us: cpu_s * 1e6 / served.max(1.0),
            p50_ms: all.value_at_quantile(0.5) as f64 / 1e3,
            p99_ms: all.value_at_quantile(0.99) as f64 / 1e3,
            kb_a_descriptor: memory / descriptors.max(1) as f64,
            served: served / requests.max(1.0),
        }
    }
}

/// Plays `rounds` pairs of turns of so many seconds: the first command's and the second's.
pub async fn run(
    commands: [&str; 2],
    root: &Path,
    rounds: usize,
    seconds: f64,
    mut told: impl FnMut(usize),
) -> Result<Vec<[Turn; 2]>, HostError> {
    let scenario = Scenario::read("bench.toml", DAY).expect("the text above");
    let mut pairs = Vec::new();
    for round in 0..rounds {
        let mut pair = Vec::new();
        // Who goes first changes, as the first of two may find a warmer or colder machine.
        let order = if round % 2 == 0 { [0, 1] } else { [1, 0] };
        for at in order {
            let plan = Plan {
                scenario: scenario.clone(),
                seed: round as u64 + 1,
                nodes: 1,
                servers: 9,
                seconds,
                command: commands[at].to_owned(),
                root: PathBuf::from(root),
                logs: None,
            };
            pair.push((at, Turn::new(&play(plan, |_| {}).await?)));
        }
        pair.sort_by_key(|(at, _)| *at);
        pairs.push([pair[0].1, pair[1].1]);
        told(round + 1);
    }
    Ok(pairs)
}

/// The medians of both, and the median, least and most of the ratio pair by pair.
pub fn text(names: [&str; 2], pairs: &[[Turn; 2]]) -> String {
    type Figure = fn(&Turn) -> f64;
    let figures: [(&str, Figure); 6] = [
        ("requests a core-second", |turn| turn.per_core_s),
        ("CPU a request, us", |turn| turn.cpu_us),
        ("p50, ms", |turn| turn.p50_ms),
        ("p99, ms", |turn| turn.p99_ms),
        ("memory a descriptor, kB", |turn| turn.kb_a_descriptor),
        ("served, share", |turn| turn.served),
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
    for (name, of) in figures {
        let sorted = |values: Vec<f64>| {
            let mut values = values;
            values.sort_by(f64::total_cmp);
            values
        };
        let middle = |values: &[f64]| values[values.len() / 2];
        let first = sorted(pairs.iter().map(|pair| of(&pair[0])).collect());
        let second = sorted(pairs.iter().map(|pair| of(&pair[1])).collect());
        let ratios = sorted(
            pairs
                .iter()
                .map(|pair| of(&pair[0]) / of(&pair[1]).max(1e-9))
                .collect(),
        );
        let (Some(least), Some(most)) = (ratios.first(), ratios.last()) else {
            continue;
        };
        table.add_row([
            name.to_owned(),
            format!("{:.2}", middle(&first)),
            format!("{:.2}", middle(&second)),
            format!("{:.2}", middle(&ratios)),
            format!("{least:.2}"),
            format!("{most:.2}"),
        ]);
    }
    format!("{table}\n")
}
