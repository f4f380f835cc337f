//! Owns the JSON file of a play: the same figures as the table, for scripts.

use std::path::Path;

use serde::Serialize;

use super::Play;
use crate::checker::Breach;
use crate::outcome::Outcome;

#[derive(Serialize)]
struct Report<'a> {
    scenario: &'a str,
    policy: Option<&'a str>,
    seed: u64,
    seconds: f64,
    /// Share of worth.
    served: f64,
    worst_10s: Option<f64>,
    rules_broken: &'a [Breach],
    crashes: usize,
    faults: &'a [String],
    requests: u64,
    tries: u64,
    sends: u64,
    duplicates: u64,
    late_sends: u64,
    toppled: u64,
    unreachable: u64,
    lab_late_ms: Option<[f64; 3]>,
    classes: Vec<ClassRow<'a>>,
    nodes: Vec<NodeRow>,
    /// Share of the worth due in each second that was served.
    by_second: Vec<f64>,
}

#[derive(Serialize)]
struct ClassRow<'a> {
    name: &'a str,
    requests: u64,
    served: f64,
    in_time: u64,
    late: u64,
    refused: u64,
    failed: u64,
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
}

#[derive(Serialize)]
struct NodeRow {
    name: String,
    cpu_s: f64,
    memory_mb: f64,
    descriptors: usize,
    starts: u32,
    crashes: Vec<String>,
}

/// Writes the file.
pub fn write(path: &Path, play: &Play, outcome: &Outcome) -> std::io::Result<()> {
    let tally = outcome.checker.totals();
    let ms = |us: u64| us as f64 / 1e3;
    let classes = tally.classes.iter().map(|class| ClassRow {
        name: &class.name,
        requests: class.asked,
        served: class.served(),
        in_time: class.in_time,
        late: class.late,
        refused: class.refused,
        failed: class.failed,
        p50_ms: ms(class.latency.value_at_quantile(0.5)),
        p99_ms: ms(class.latency.value_at_quantile(0.99)),
        p999_ms: ms(class.latency.value_at_quantile(0.999)),
    });
    let nodes = outcome
        .nodes
        .iter()
        .enumerate()
        .map(|(node, report)| NodeRow {
            name: format!("n{}", node + 1),
            cpu_s: report.cpu_s,
            memory_mb: report.memory_mb,
            descriptors: report.descriptors,
            starts: report.starts,
            crashes: report.crashes.clone(),
        });
    let report = Report {
        scenario: &play.scenario,
        policy: play.policy.as_deref(),
        seed: play.seed,
        seconds: play.seconds,
        served: tally.served_share(),
        worst_10s: tally.worst_ten().map(|(_, share)| share),
        rules_broken: outcome.checker.breaches(),
        crashes: outcome.nodes.iter().map(|node| node.crashes.len()).sum(),
        faults: &outcome.warnings,
        requests: tally.requests(),
        tries: tally.tries,
        sends: tally.sends,
        duplicates: tally.duplicates,
        late_sends: tally.after_drain,
        toppled: tally.cold_overloads,
        unreachable: tally.unreachable,
        lab_late_ms: outcome.lateness.map(|late| late.map(ms)),
        classes: classes.collect(),
        nodes: nodes.collect(),
        by_second: tally
            .seconds
            .iter()
            .map(crate::checker::Second::share)
            .collect(),
    };
    let mut text = serde_json::to_vec_pretty(&report)?;
    text.push(b'\n');
    std::fs::write(path, text)
}
