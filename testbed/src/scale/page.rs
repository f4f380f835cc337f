//! Writes the tables of `docs/CAPACITY.md` from results, between marks in the page, so that a test can compare the page
//! with the result files word for word. Does no I/O.

use std::fmt::Write;

use super::results::{Aspect, Excess, Impact, Measurement, Results, Source};

/// Starts the table of measurements over their budgets.
const OVER_BUDGET_MARK: &str = "<!-- red lines -->\n";
/// Starts a role's table; the role's name follows.
const ROLE_MARK: &str = "<!-- figures of ";
/// Ends either table.
const END_MARK: &str = "<!-- end -->";

/// Replaces the tables between the marks of the page by those of these results.
pub fn fill(page: &str, results: &Results) -> Result<String, String> {
    let mut out = String::new();
    let mut rest = page;
    while let Some(open) = rest.find("<!-- ").filter(|_| rest.contains(END_MARK)) {
        let (before, from) = rest.split_at(open);
        let (mark, body) = from
            .split_once('\n')
            .ok_or("a table mark is not followed by a line break")?;
        let table = match mark {
            _ if format!("{mark}\n") == OVER_BUDGET_MARK => red_lines(results),
            _ if mark.starts_with(ROLE_MARK) => {
                let role = mark[ROLE_MARK.len()..]
                    .strip_suffix(" -->")
                    .ok_or("the mark of a role's table does not end with \" -->\"")?;
                role_table(results, role)
            }
            _ => return Err(format!("{mark}: not a table mark")),
        };
        let (_, after) = body
            .split_once(END_MARK)
            .ok_or(format!("{mark}: {END_MARK} is missing"))?;
        let _ = write!(out, "{before}{mark}\n{table}{END_MARK}");
        rest = after;
    }
    out.push_str(rest);
    Ok(out)
}

/// Table of the measurements over their budgets (the page's red lines), the worst first.
pub fn red_lines(results: &Results) -> String {
    let mut text = String::from(
        "| | role: figure | at the target | budget | over | what is lost | carried by |\n",
    );
    text.push_str("| --- | --- | --- | --- | --- | --- | --- |\n");
    for (at, measurement) in results.over_budget().into_iter().enumerate() {
        let excess = match measurement.excess() {
            Some(Excess::Factor(factor)) => format!("{} times", number(factor)),
            Some(Excess::Share(share)) => format!("{} % of all", number(share * 100.0)),
            None => "-".into(),
        };
        let Measurement {
            role, name, unit, ..
        } = measurement;
        let (value_at_target, budget) = (
            number(measurement.at_target.unwrap_or(0.0)),
            number(measurement.budget.unwrap_or(0.0)),
        );
        let (impact, mechanism) = (impact_text(measurement.impact), &measurement.mechanism);
        let _ = writeln!(
            text,
            "| {} | {role}: `{name}` | {value_at_target} {unit} | {budget} | {excess} | {impact} | {mechanism} |",
            at + 1
        );
    }
    text
}

/// Table of all measurements of a role.
pub fn role_table(results: &Results, role: &str) -> String {
    let mut text = String::from(
        "| what | figure | measured | law | at the target | budget | carried by | shown by |\n",
    );
    text.push_str("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    let mut measurements: Vec<&Measurement> = results
        .measurements
        .iter()
        .filter(|measurement| measurement.role == role)
        .collect();
    measurements.sort_by_key(|measurement| measurement.aspect);
    for measurement in measurements {
        let _ = writeln!(text, "{}", row(measurement));
    }
    text
}

/// One measurement as a row of its role's table.
pub fn row(measurement: &Measurement) -> String {
    let pairs = measurement.sizes.iter().zip(&measurement.values);
    let measured: Vec<String> = pairs
        .map(|(size, value)| format!("{}: {}", number(*size), number(*value)))
        .collect();
    let budget = match (measurement.budget, measurement.within_budget) {
        (None, _) => "-".into(),
        (Some(budget), Some(true)) => format!("{}, green", number(budget)),
        (Some(budget), Some(false)) => format!("{}, **red**", number(budget)),
        (Some(budget), None) => format!("{}, unknown", number(budget)),
    };
    let source = match measurement.source {
        Source::Processes => "processes",
        Source::Module => "module",
        Source::Arithmetic => "arithmetic",
    };
    let aspect = match measurement.aspect {
        Aspect::State => "state",
        Aspect::Messages => "messages",
        Aspect::Processor => "processor",
        Aspect::Memory => "memory",
        Aspect::Latency => "latency",
    };
    let Measurement {
        name,
        unit,
        size_unit,
        mechanism,
        ..
    } = measurement;
    format!(
        "| {aspect} | `{name}`, {unit} by {size_unit} | {} | {} | {} | {budget} | {mechanism} | {source} |",
        measured.join(", "),
        fit_text(measurement),
        target_text(measurement)
    )
}

fn fit_text(measurement: &Measurement) -> String {
    let Some(residual) = measurement.residual else {
        return "-".into();
    };
    let exponent = measurement
        .exponent
        .map_or(String::new(), |e| format!("exponent {e:.2}, "));
    format!("{exponent}residual {:.0} %", residual * 100.0)
}

fn target_text(measurement: &Measurement) -> String {
    let target = number(measurement.target);
    match measurement.at_target {
        Some(value) if measurement.extrapolation_factor == 1.0 => {
            format!("{} at {target}", number(value))
        }
        Some(value) => {
            format!(
                "{} at {target}, reckoned {} times beyond",
                number(value),
                number(measurement.extrapolation_factor)
            )
        }
        None => format!("not reckoned to {target}: no law fits"),
    }
}

fn impact_text(impact: Impact) -> &'static str {
    match impact {
        Impact::Outage => "all: no node works",
        Impact::Partial => "a part has no effect",
        Impact::Delay => "time: too late",
        Impact::Resources => "room: too much is used",
    }
}

/// Formats a number with three significant digits, or as a whole number with thousands separators from 1,000 on.
pub fn number(value: f64) -> String {
    if value == 0.0 {
        return "0".into();
    }
    if value.abs() >= 1_000.0 {
        let digits = format!("{:.0}", value.abs());
        let mut text = String::new();
        for (at, digit) in digits.chars().enumerate() {
            if at > 0 && (digits.len() - at) % 3 == 0 {
                text.push(',');
            }
            text.push(digit);
        }
        return if value < 0.0 {
            format!("-{text}")
        } else {
            text
        };
    }
    let places = (2 - value.abs().log10().floor() as i32).max(0) as usize;
    let text = format!("{value:.places$}");
    if text.contains('.') {
        text.trim_end_matches('0').trim_end_matches('.').to_owned()
    } else {
        text
    }
}
