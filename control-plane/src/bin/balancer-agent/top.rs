//! `top`: the metrics of all nodes, once or refreshed.

use std::fmt::{self, Write};
use std::io::{self, IsTerminal};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use comfy_table::presets::NOTHING;
use comfy_table::{CellAlignment, Table};
use control_plane::membership::Name;
use control_plane::metrics::{FleetMetricsReport, NodeGauges, NodeRow, RequestCounts, SLOT_LENGTH};

use crate::agent_client::{address, get_from_fleet};
use crate::cli::TopArgs;
use crate::error::CliError;
use crate::print;

const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Clears the screen and moves the cursor to its top left.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// Shows the metrics of the fleet.
pub fn show(args: &TopArgs) -> Result<ExitCode, CliError> {
    let addr = address(&args.agent)?;
    if args.json {
        return print(&format!(
            "{}\n",
            serde_json::to_string_pretty(&fetch(addr)?)?
        ));
    }
    if args.once || !io::stdout().is_terminal() {
        return print(&render(&fetch(addr)?)?);
    }
    loop {
        // An agent that does not answer now may do so later. Until then, the error is shown.
        let text = fetch(addr)
            .and_then(|report| Ok(render(&report)?))
            .unwrap_or_else(|error| format!("{error}\n"));
        print(&format!("{CLEAR_SCREEN}{text}"))?;
        std::thread::sleep(REFRESH_INTERVAL);
    }
}

fn fetch(addr: SocketAddr) -> Result<FleetMetricsReport, CliError> {
    get_from_fleet(addr, "/census")
}

fn render(report: &FleetMetricsReport) -> Result<String, fmt::Error> {
    let mut text = String::new();
    let holder = report.holder.as_ref().map_or("nobody", Name::as_str);
    writeln!(
        text,
        "metrics aggregated by {holder}: {} of {} agents answered",
        report.answered, report.present
    )?;
    append_table(&sum_table(report), &mut text);
    text.push('\n');
    append_table(&node_table(report), &mut text);
    for row in report.rows.iter().filter(|row| !row.by_hand.is_empty()) {
        writeln!(
            text,
            "cordoned at the node of {} only: {}",
            row.name,
            row.by_hand.join(", ")
        )?;
    }
    Ok(text)
}

fn append_table(table: &Table, text: &mut String) {
    text.extend(table.lines().map(|line| format!("{}\n", line.trim_end())));
}

fn sum_table(report: &FleetMetricsReport) -> Table {
    let mut table = new_table(["A SECOND", "SERVED", "REFUSED", "FAILED", "ATTEMPTS"]);
    let hour_seconds = (report.minutes.len() as u64 * 60).max(1);
    table.add_row(sum_row("10 s", &report.ten_seconds, 10));
    table.add_row(sum_row("minute", &report.minute, 60));
    table.add_row(sum_row("hour", &report.hour, hour_seconds));
    table
}

/// The sums over a period, as rates per second.
fn sum_row(period: &str, counts: &RequestCounts, seconds: u64) -> [String; 5] {
    [
        period.to_owned(),
        rate(counts.served, seconds),
        rate(counts.refused, seconds),
        rate(counts.failed, seconds),
        rate(counts.forwards, seconds),
    ]
}

fn node_table(report: &FleetMetricsReport) -> Table {
    let mut table = new_table([
        "NODE",
        "SERVED/S",
        "REFUSED/S",
        "FAILED/S",
        "OUT NOW",
        "SERVERS",
        "AVOIDED",
        "STARTS/MIN",
        "AGE",
    ]);
    for row in &report.rows {
        table.add_row(node_row(row));
    }
    table
}

/// A count as a rate per second.
fn rate(count: u64, seconds: u64) -> String {
    format!("{:.1}", count as f64 / seconds as f64)
}

/// Creates a table in which all columns but the first are right-aligned.
fn new_table<const N: usize>(header: [&str; N]) -> Table {
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header(header);
    table
        .column_iter_mut()
        .skip(1)
        .for_each(|column| column.set_cell_alignment(CellAlignment::Right));
    table
}

fn node_row(row: &NodeRow) -> Vec<String> {
    let seconds = SLOT_LENGTH / 1_000_000;
    let gauge = |of: fn(&NodeGauges) -> u64| {
        row.now
            .as_ref()
            .map_or("-".to_owned(), |now| of(&now.gauges).to_string())
    };
    vec![
        row.name.to_string(),
        rate(row.last.served, seconds),
        rate(row.last.refused, seconds),
        rate(row.last.failed, seconds),
        gauge(|gauges| gauges.outstanding),
        gauge(|gauges| gauges.discovered),
        gauge(|gauges| gauges.ejected),
        row.starts.to_string(),
        row.age_ms.map_or("never answered".to_owned(), |ms| {
            format!("{:.1} s", ms as f64 / 1e3)
        }),
    ]
}
