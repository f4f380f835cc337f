//! The JSON file of a run: the values of the printed tables and more, for scripts.

use std::path::Path;

use serde::Serialize;

use super::RunInfo;
use crate::checker::Breach;
use crate::outcome::Outcome;

#[derive(Serialize)]
struct Report<'a> {
    scenario: &'a str,
    policy: Option<&'a str>,
    seed: u64,
    seconds: f64,
    /// Share of the requested value that was served.
    served: f64,
    worst_10s: Option<f64>,
    rules_broken: &'a [Breach],
    crashes: usize,
    #[serde(rename = "faults")]
    warnings: &'a [String],
    requests: u64,
    tries: u64,
    sends: u64,
    duplicates: u64,
    late_sends: u64,
    #[serde(rename = "toppled")]
    cold_overloads: u64,
    unreachable: u64,
    /// How late the testbed itself sent requests: p50, p99 and maximum. `null` in virtual time.
    #[serde(rename = "lab_late_ms")]
    send_lateness_ms: Option<[f64; 3]>,
    classes: Vec<ClassRow<'a>>,
    nodes: Vec<NodeRow>,
    /// For each second of the load, the share of the value due in it that was served.
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

/// Writes the report on a run to a file.
pub fn write(path: &Path, run: &RunInfo, outcome: &Outcome) -> std::io::Result<()> {
    let totals = outcome.checker.totals();
    let ms = |us: u64| us as f64 / 1e3;
    let classes = totals.classes.iter().map(|class| ClassRow {
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
        scenario: &run.scenario,
        policy: run.policy.as_deref(),
        seed: run.seed,
        seconds: run.seconds,
        served: totals.served_share(),
        worst_10s: totals.worst_ten().map(|(_, share)| share),
        rules_broken: outcome.checker.breaches(),
        crashes: outcome.nodes.iter().map(|node| node.crashes.len()).sum(),
        warnings: &outcome.warnings,
        requests: totals.requests(),
        tries: totals.tries,
        sends: totals.sends,
        duplicates: totals.duplicates,
        late_sends: totals.after_drain,
        cold_overloads: totals.cold_overloads,
        unreachable: totals.unreachable,
        send_lateness_ms: outcome.lateness.map(|late| late.map(ms)),
        classes: classes.collect(),
        nodes: nodes.collect(),
        by_second: totals
            .seconds
            .iter()
            .map(crate::checker::Second::share)
            .collect(),
    };
    let mut text = serde_json::to_vec_pretty(&report)?;
    text.push(b'\n');
    std::fs::write(path, text)
}
