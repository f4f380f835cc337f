//! The text printed at the end of a run.

use std::fmt::Write;

use comfy_table::presets::UTF8_BORDERS_ONLY;
use comfy_table::{CellAlignment, Table};

use super::{RunInfo, LATENESS_WARNING};
use crate::checker::ClassTotals;
use crate::outcome::Outcome;

/// Most broken rules that are listed one by one.
const MAX_LISTED_BREACHES: usize = 20;

/// Formats the outcome of a run: counts of requests, tables by class and by node, broken rules, and warnings.
pub fn text(run: &RunInfo, outcome: &Outcome) -> String {
    let mut out = String::new();
    let totals = outcome.checker.totals();
    let percent = |share: f64| format!("{:.1} %", share * 100.0);
    let _ = writeln!(
        out,
        "\n{}, seed {}{}: {} nodes, {} servers, {:.0} s, {:.0} requests a second",
        run.scenario,
        run.seed,
        run.policy
            .as_ref()
            .map(|policy| format!(", {policy} in virtual time"))
            .unwrap_or_default(),
        run.nodes,
        run.servers,
        run.seconds,
        outcome.rate
    );
    let _ = write!(out, "worth served  {}", percent(totals.served_share()));
    if let Some((from, share)) = totals.worst_ten() {
        let _ = write!(
            out,
            "   worst 10 s  {} (from second {from})",
            percent(share)
        );
    }
    let _ = writeln!(out, "\n{}", classes(&totals.classes));
    let _ = writeln!(
        out,
        "{} requests in {} tries; {} attempts at servers; unreachable {}, ended with their node {}, left early {}, \
         sent again as a close crossed them {}",
        totals.requests(),
        totals.tries,
        totals.sends,
        totals.unreachable,
        totals.died_with,
        totals.left,
        outcome.resent_after_close,
    );
    let _ = writeln!(out, "{}", nodes(outcome));
    let breaches = outcome.checker.breaches();
    if breaches.is_empty() {
        let _ = writeln!(
            out,
            "rules   all hold: none lost, none run twice, nothing new past the limit to a server that left"
        );
    } else {
        let _ = writeln!(
            out,
            "rules   BROKEN, {} times; the first for each node and server:",
            totals.broken
        );
        for breach in breaches.iter().take(MAX_LISTED_BREACHES) {
            let _ = writeln!(out, "  {breach}");
        }
        if breaches.len() > MAX_LISTED_BREACHES {
            let _ = writeln!(
                out,
                "  and {} more, in the JSON file",
                breaches.len() - MAX_LISTED_BREACHES
            );
        }
    }
    if totals.cold_overloads > 0 {
        let _ = writeln!(
            out,
            "        cold servers pushed over: {}",
            totals.cold_overloads
        );
    }
    for crash in outcome.nodes.iter().flat_map(|node| &node.crashes) {
        let _ = writeln!(out, "CRASHED {crash}");
    }
    for warning in &outcome.warnings {
        let _ = writeln!(out, "fault   {warning}");
    }
    if let Some(lateness) = outcome.lateness {
        let [p50, p99, max] = lateness.map(|us| us as f64 / 1e3);
        let _ = writeln!(
            out,
            "lab     sent its requests late by p50 {p50:.2}, p99 {p99:.2}, at most {max:.1} ms"
        );
        if lateness[1] > LATENESS_WARNING {
            let _ = writeln!(
                out,
                "        THE LAB RAN LATE: this machine had too little time for it; times above are its own too"
            );
        }
    }
    out
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_BORDERS_ONLY);
    table.set_header(header.iter().copied());
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

fn classes(classes: &[ClassTotals]) -> Table {
    let mut table = table(&[
        "class", "requests", "worth", "in time", "late", "refused", "failed", "p50 ms", "p99 ms",
        "p99.9 ms",
    ]);
    for class in classes {
        let at = |quantile: f64| {
            format!(
                "{:.1}",
                class.latency.value_at_quantile(quantile) as f64 / 1e3
            )
        };
        table.add_row([
            class.name.clone(),
            class.asked.to_string(),
            format!("{:.1} %", class.served() * 100.0),
            class.in_time.to_string(),
            class.late.to_string(),
            class.refused.to_string(),
            class.failed.to_string(),
            at(0.5),
            at(0.99),
            at(0.999),
        ]);
    }
    table
}

fn nodes(outcome: &Outcome) -> Table {
    let mut table = table(&[
        "node",
        "cpu s",
        "memory MB",
        "descriptors",
        "starts",
        "crashes",
    ]);
    for (node, report) in outcome.nodes.iter().enumerate() {
        table.add_row([
            format!("n{}", node + 1),
            format!("{:.2}", report.cpu_s),
            format!("{:.1}", report.memory_mb),
            report.descriptors.to_string(),
            report.starts.to_string(),
            report.crashes.len().to_string(),
        ]);
    }
    table
}
