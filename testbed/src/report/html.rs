//! The HTML report of an experiment: one file without external references. Runs are deterministic, so those
//! that the report shows in detail are simply repeated.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::plots::{lines, Frame, Line, Mark};
use crate::experiment::{compare, Cell, ExperimentError, Grid, Row};
use crate::scenario::Scenario;
use crate::sim::{simulate, SimOutput};

/// Quantiles that the latency plots show.
const QUANTILES: [f64; 11] = [
    0.01, 0.05, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999,
];
/// Most servers whose load is drawn; with more, the lines could not be told apart.
const MAX_PLOTTED_SERVERS: usize = 16;

const STYLE: &str = "body{font:15px/1.45 sans-serif;max-width:1480px;margin:2em auto;padding:0 1em;color:#222}\
table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .7em;border-bottom:1px solid #ddd;text-align:right}\
td:first-child,th:first-child,.l{text-align:left}.sure{font-weight:bold}.bad{color:#b00}code{background:#f3f3f3;\
padding:.1em .3em}svg{margin:.3em;border:1px solid #eee}";

fn escape(text: &str) -> String {
    html_escape::encode_text(text).into_owned()
}

/// The report on these rows of a grid, under the title `title`.
pub fn html(title: &str, grid: &Grid, rows: &[Row]) -> Result<String, ExperimentError> {
    let mut out = String::new();
    let title = escape(title);
    let _ = write!(
        out,
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
         <style>{STYLE}</style></head><body><h1>{title}</h1>\n\
         <p>{} plays in virtual time. Worth is the share of what was asked for, by class and work. Differences are \
         paired by seed, with a 95 % bootstrap interval; bold ones leave 0 out.</p>\n",
        rows.len()
    );
    summary(&mut out, rows);
    worst_run(&mut out, grid, rows);
    out.push_str(&sizes(grid, rows));
    differences(&mut out, rows);
    let mut groups: Vec<String> = Vec::new();
    for row in rows {
        if !groups.contains(&row.group) {
            groups.push(row.group.clone());
        }
    }
    for group in groups {
        detail(&mut out, grid, rows, &group)?;
    }
    out.push_str("</body></html>\n");
    Ok(out)
}

fn summary(out: &mut String, rows: &[Row]) {
    let mut means: BTreeMap<(&str, &str), Vec<&Row>> = BTreeMap::new();
    for row in rows {
        means
            .entry((&row.group, &row.policy))
            .or_default()
            .push(row);
    }
    out.push_str(
        "<h2>Worth</h2><table><tr><th>group</th><th class=\"l\">policy</th><th>mean</th><th>least</th><th>most</th>\
         <th>seeds</th><th>plays with a broken rule</th></tr>\n",
    );
    for ((group, policy), of) in means {
        let served = || of.iter().map(|row| row.served * 100.0);
        let mean = served().sum::<f64>() / of.len() as f64;
        let (least, most) = (
            served().fold(f64::INFINITY, f64::min),
            served().fold(0.0, f64::max),
        );
        let broken = of.iter().filter(|row| row.rules_broken > 0).count();
        let class_attribute = if broken > 0 { " class=\"bad\"" } else { "" };
        let _ = writeln!(
            out,
            "<tr><td>{}</td><td class=\"l\">{}</td><td>{mean:.1} %</td><td>{least:.1}</td><td>{most:.1}</td>\
             <td>{}</td><td{class_attribute}>{broken}</td></tr>",
            escape(group),
            escape(policy),
            of.len()
        );
    }
    out.push_str("</table>\n");
}

/// Names the worst run of all and the command that repeats it.
fn worst_run(out: &mut String, grid: &Grid, rows: &[Row]) {
    let Some(row) = rows.iter().min_by(|a, b| a.served.total_cmp(&b.served)) else {
        return;
    };
    let Some(cell) = grid.cells().iter().find(|cell| cell.key() == row.key) else {
        return;
    };
    let _ = writeln!(
        out,
        "<p>The worst play: <b>{}</b>, worth {:.1} %. See it again: <code>{}</code></p>",
        escape(&row.key),
        row.served * 100.0,
        escape(&cell.command())
    );
}

/// Plots the value served against the number of servers; empty unless the experiment has several sizes.
fn sizes(grid: &Grid, rows: &[Row]) -> String {
    let mut by_series: BTreeMap<String, BTreeMap<usize, Vec<f64>>> = BTreeMap::new();
    for cell in grid.cells() {
        let Some(row) = rows.iter().find(|row| row.key == cell.key()) else {
            continue;
        };
        let name = format!("{} {} {}", cell.scenario, cell.variant, row.policy);
        by_series
            .entry(name)
            .or_default()
            .entry(cell.plan().servers)
            .or_default()
            .push(row.served * 100.0);
    }
    if by_series.values().all(|sizes| sizes.len() < 2) {
        return String::new();
    }
    let mean = |shares: &Vec<f64>| shares.iter().sum::<f64>() / shares.len() as f64;
    let line = |(name, sizes): (String, BTreeMap<usize, Vec<f64>>)| Line {
        name,
        points: sizes
            .iter()
            .map(|(servers, shares)| (*servers as f64, mean(shares)))
            .collect(),
    };
    let all: Vec<Line> = by_series.into_iter().map(line).collect();
    let frame = Frame {
        title: "fleet size against worth",
        axes: ("servers", "worth, %"),
        top: Some(100.0),
        log: false,
    };
    format!("<h2>Size</h2>{}\n", lines(&frame, &all, &[]))
}

fn differences(out: &mut String, rows: &[Row]) {
    out.push_str(
        "<h2>Differences</h2><table><tr><th>group</th><th class=\"l\">figure</th><th class=\"l\">policies</th><th>means, %</th>\
         <th>difference, points</th><th>95 %</th><th>better : worse</th></tr>\n",
    );
    for c in compare(rows) {
        let significant = if c.interval.0 > 0.0 || c.interval.1 < 0.0 {
            " class=\"sure\""
        } else {
            ""
        };
        let _ = writeln!(
            out,
            "<tr><td>{}</td><td class=\"l\">{}</td><td class=\"l\">{} / {}</td><td>{:.1} / {:.1}</td>\
             <td{significant}>{:+.2}</td><td>{:+.2} to {:+.2}</td><td>{} : {}</td></tr>",
            escape(&c.group),
            escape(&c.metric),
            escape(&c.policies.0),
            escape(&c.policies.1),
            c.means.0 * 100.0,
            c.means.1 * 100.0,
            c.difference * 100.0,
            c.interval.0 * 100.0,
            c.interval.1 * 100.0,
            c.wins.0,
            c.wins.1
        );
    }
    out.push_str("</table>\n");
}

/// Plots of a group: each policy on the seed on which the first policy of the group served the least.
fn detail(out: &mut String, grid: &Grid, rows: &[Row], group: &str) -> Result<(), ExperimentError> {
    let of_group: Vec<&Row> = rows.iter().filter(|row| row.group == group).collect();
    let Some(first) = of_group.first() else {
        return Ok(());
    };
    let of_first_policy = of_group.iter().filter(|row| row.policy == first.policy);
    let Some(seed) = of_first_policy
        .min_by(|a, b| a.served.total_cmp(&b.served))
        .map(|row| row.seed)
    else {
        return Ok(());
    };
    let cells = grid
        .cells()
        .iter()
        .filter(|cell| cell.group() == group && cell.plan().seed == seed);
    let mut runs: Vec<(&Cell, SimOutput)> = Vec::new();
    for cell in cells {
        runs.push((cell, simulate(&cell.plan())?));
    }
    let Some((cell, _)) = runs.first() else {
        return Ok(());
    };
    let marks = marks(&cell.plan().scenario);
    let _ = writeln!(
        out,
        "<h2>{}</h2><p>Seed {seed}, the worst of {}. <code>{}</code></p>",
        escape(group),
        escape(&first.policy),
        escape(&cell.command())
    );
    let over_time = |of: fn(&SimOutput, usize) -> f64| -> Vec<Line> {
        let line = |(cell, run): &(&Cell, SimOutput)| Line {
            name: cell.plan().policy.name(),
            points: (0..run.outcome.checker.totals().seconds.len())
                .map(|s| (s as f64, of(run, s)))
                .collect(),
        };
        runs.iter().map(line).collect()
    };
    let served_value = over_time(|run, s| run.outcome.checker.totals().seconds[s].share() * 100.0);
    let refused = over_time(|run, s| run.outcome.checker.totals().seconds[s].refused as f64);
    let latency: Vec<Line> = runs
        .iter()
        .map(|(cell, run)| {
            let mut all = crate::checker::latencies();
            for class in &run.outcome.checker.totals().classes {
                // Cannot fail: all histograms have the same bounds.
                let _ = all.add(&class.latency);
            }
            let points = QUANTILES
                .iter()
                .map(|q| (all.value_at_quantile(*q) as f64 / 1e3, q * 100.0));
            Line {
                name: cell.plan().policy.name(),
                points: points.collect(),
            }
        })
        .collect();
    let seconds = "second of the day";
    fn frame<'a>(title: &'a str, axes: (&'a str, &'a str), top: Option<f64>) -> Frame<'a> {
        Frame {
            title,
            axes,
            top,
            log: false,
        }
    }
    out.push_str(&lines(
        &frame("worth served over time", (seconds, "worth, %"), Some(100.0)),
        &served_value,
        &marks,
    ));
    out.push_str(&lines(
        &frame(
            "tries refused over time",
            (seconds, "refused a second"),
            None,
        ),
        &refused,
        &marks,
    ));
    let axes = (
        "ms from the due time to the answer",
        "share served by then, %",
    );
    out.push_str(&lines(
        &Frame {
            title: "latency",
            axes,
            top: Some(100.0),
            log: true,
        },
        &latency,
        &[],
    ));
    for (cell, run) in &runs {
        let servers = run
            .jobs_per_second
            .last()
            .map_or(0, Vec::len)
            .min(MAX_PLOTTED_SERVERS);
        let line = |server: usize| Line {
            name: format!("server {}", server + 1),
            points: run
                .jobs_per_second
                .iter()
                .enumerate()
                .filter_map(|(s, held)| Some((s as f64, *held.get(server)? as f64)))
                .collect(),
        };
        let load: Vec<Line> = (0..servers).map(line).collect();
        let title = format!(
            "requests held by each server, {}",
            cell.plan().policy.name()
        );
        out.push_str(&lines(
            &frame(&title, (seconds, "requests held"), None),
            &load,
            &marks,
        ));
    }
    out.push('\n');
    Ok(())
}

fn marks(scenario: &Scenario) -> Vec<Mark> {
    let mark = |fault: &crate::scenario::Fault| {
        let from = fault.at_s.0;
        Mark {
            name: fault.kind.name(),
            span: (from, from + fault.for_s.map_or(0.0, |span| span.0)),
        }
    };
    scenario
        .faults
        .iter()
        .map(|fault| mark(fault.get_ref()))
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::sim;

    #[test]
    fn a_report_has_no_external_references_and_gives_the_command_that_repeats_the_worst_run() {
        let text = "scenarios = [\"release\"]\npolicies = [\"node\", \"random\"]\nseconds = 5\n\
            seeds = { from = 1, count = 1 }\nsizes = [{ nodes = 1, servers = 3 }, { nodes = 1, servers = 5 }]";
        let grid = Grid::read("grid.toml", text).unwrap();
        let row = |cell: &Cell| Row::new(cell, &sim::simulate(&cell.plan()).unwrap().outcome);
        let rows: Vec<Row> = grid.cells().iter().map(row).collect();
        let page = html("a <test>", &grid, &rows).unwrap();
        assert!(
            page.contains("<h1>a &lt;test&gt;</h1>")
                && page.contains("balancer-testbed sim release --seed 1")
        );
        assert_eq!(
            page.matches("<svg").count(),
            1 + 2 * 5,
            "sizes, and five plots for each group"
        );
        for outside in ["<script", "<link", "src=", "href=", "@import", "url("] {
            assert!(!page.contains(outside), "{outside}");
        }
    }
}
