//! The fleet's figures, once or as they change.

use std::error::Error;
use std::fmt::Write;
use std::io::{self, IsTerminal};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use comfy_table::presets::NOTHING;
use comfy_table::{CellAlignment, Table};
use control_plane::membership::Name;
use control_plane::metrics::{FleetMetricsReport, NodeRow, RequestCounts};
use control_plane::runtime::http;
use hyper::Method;

use crate::cli::Top;
use crate::{address, print, runtime};

/// The question may pass a voter and the holder.
const PATIENCE: Duration = Duration::from_secs(5);
const EVERY: Duration = Duration::from_secs(1);
/// Clears the screen and begins at its top.
const ANEW: &str = "\x1b[2J\x1b[H";

pub fn show(top: &Top) -> Result<ExitCode, Box<dyn Error>> {
    let addr = address(&top.at)?;
    if top.json {
        return print(&format!("{}\n", serde_json::to_string_pretty(&ask(addr)?)?));
    }
    if top.once || !io::stdout().is_terminal() {
        return print(&table(&ask(addr)?)?);
    }
    loop {
        // One that does not answer now may a second later: the screen says so until then.
        let text = ask(addr)
            .and_then(|report| table(&report))
            .unwrap_or_else(|error| format!("{error}\n"));
        print(&format!("{ANEW}{text}"))?;
        std::thread::sleep(EVERY);
    }
}

fn ask(addr: SocketAddr) -> Result<FleetMetricsReport, Box<dyn Error>> {
    let call = http::call_within(PATIENCE, addr, Method::GET, "/census");
    let (status, body) = runtime()?
        .block_on(call)
        .map_err(|error| format!("{addr}: {error}"))?;
    if status != 200 {
        return Err(format!(
            "{addr}: answered {status}: {}",
            String::from_utf8_lossy(&body).trim()
        )
        .into());
    }
    serde_json::from_slice(&body).map_err(|error| format!("{addr}: {error}").into())
}

fn rate(count: u64, seconds: u64) -> String {
    format!("{:.1}", count as f64 / seconds as f64)
}

fn table(report: &FleetMetricsReport) -> Result<String, Box<dyn Error>> {
    let mut text = String::new();
    let holder = report.holder.as_ref().map_or("nobody", Name::as_str);
    writeln!(
        text,
        "census by {holder}: {} of {} agents answered",
        report.answered, report.present
    )?;
    let mut sums = lined(["A SECOND", "SERVED", "REFUSED", "FAILED", "ATTEMPTS"]);
    let hour = report.minutes.len() as u64 * 60;
    for (name, counts, seconds) in [
        ("10 s", &report.ten_seconds, 10),
        ("minute", &report.minute, 60),
        ("hour", &report.hour, hour.max(1)),
    ] {
        let RequestCounts {
            served,
            refused,
            failed,
            forwards,
        } = *counts;
        let rates = [served, refused, failed, forwards].map(|count| rate(count, seconds));
        sums.add_row([vec![name.to_owned()], rates.to_vec()].concat());
    }
    text.extend(sums.lines().map(|line| format!("{}\n", line.trim_end())));
    text.push('\n');
    let mut rows = lined([
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
    report.rows.iter().for_each(|one| {
        rows.add_row(row(one));
    });
    text.extend(rows.lines().map(|line| format!("{}\n", line.trim_end())));
    for one in report.rows.iter().filter(|row| !row.by_hand.is_empty()) {
        writeln!(
            text,
            "out at the node of {} alone: {}",
            one.name,
            one.by_hand.join(", ")
        )?;
    }
    Ok(text)
}

fn lined<const N: usize>(header: [&str; N]) -> Table {
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header(header);
    table
        .column_iter_mut()
        .skip(1)
        .for_each(|column| column.set_cell_alignment(CellAlignment::Right));
    table
}

fn row(row: &NodeRow) -> Vec<String> {
    let seconds = control_plane::metrics::SLOT_LENGTH / 1_000_000;
    let gauge = |of: fn(&control_plane::metrics::NodeGauges) -> u64| {
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
        row.age_ms.map_or("never told".to_owned(), |ms| {
            format!("{:.1} s", ms as f64 / 1e3)
        }),
    ]
}
