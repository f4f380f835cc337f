//! Owns the tables of `docs/CAPACITY.md`: they are written from a results file, between marks in the page, so that the
//! page can be held against the file word for word. Pure.

use std::fmt::Write;

use super::results::{Aspect, Loss, Measurement, Over, Results, Source};

/// Opens the place of the red lines in the page.
const RED: &str = "<!-- red lines -->\n";
/// Opens the place of a role's table, with the role after it.
const ROLE: &str = "<!-- figures of ";
/// Closes either.
const END: &str = "<!-- end -->";

/// The page with the tables of these results in their places.
pub fn fill(page: &str, results: &Results) -> Result<String, String> {
    let mut out = String::new();
    let mut rest = page;
    while let Some(open) = rest.find("<!-- ").filter(|_| rest.contains(END)) {
        let (before, from) = rest.split_at(open);
        let (mark, body) = from
            .split_once('\n')
            .ok_or("a mark without an end of its line")?;
        let table = match mark {
            _ if format!("{mark}\n") == RED => red_lines(results),
            _ if mark.starts_with(ROLE) => {
                let role = mark[ROLE.len()..]
                    .strip_suffix(" -->")
                    .ok_or("a mark without an end")?;
                role_table(results, role)
            }
            _ => return Err(format!("{mark}: no such place")),
        };
        let (_, after) = body
            .split_once(END)
            .ok_or(format!("{mark}: {END} is missing"))?;
        let _ = write!(out, "{before}{mark}\n{table}{END}");
        rest = after;
    }
    out.push_str(rest);
    Ok(out)
}

/// The red lines, the worst first.
pub fn red_lines(results: &Results) -> String {
    let mut text = String::from(
        "| | role: figure | at the target | budget | over | what is lost | carried by |\n",
    );
    text.push_str("| --- | --- | --- | --- | --- | --- | --- |\n");
    for (at, measurement) in results.red_lines().into_iter().enumerate() {
        let over = match measurement.over() {
            Some(Over::Times(times)) => format!("{} times", number(times)),
            Some(Over::Share(share)) => format!("{} % of all", number(share * 100.0)),
            None => "-".into(),
        };
        let Measurement {
            role, name, unit, ..
        } = measurement;
        let (there, budget) = (
            number(measurement.at_target.unwrap_or(0.0)),
            number(measurement.budget.unwrap_or(0.0)),
        );
        let (loss, by) = (loss(measurement.loss), &measurement.carried_by);
        let _ = writeln!(
            text,
            "| {} | {role}: `{name}` | {there} {unit} | {budget} | {over} | {loss} | {by} |",
            at + 1
        );
    }
    text
}

/// All figures of a role.
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

/// One figure as a row of its role's table.
pub fn row(measurement: &Measurement) -> String {
    let pairs = measurement.sizes.iter().zip(&measurement.values);
    let measured: Vec<String> = pairs
        .map(|(size, value)| format!("{}: {}", number(*size), number(*value)))
        .collect();
    let budget = match (measurement.budget, measurement.within) {
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
        of,
        carried_by,
        ..
    } = measurement;
    format!(
        "| {aspect} | `{name}`, {unit} by {of} | {} | {} | {} | {budget} | {carried_by} | {source} |",
        measured.join(", "),
        law(measurement),
        there(measurement)
    )
}

fn law(measurement: &Measurement) -> String {
    let Some(residual) = measurement.residual else {
        return "-".into();
    };
    let exponent = measurement
        .exponent
        .map_or(String::new(), |e| format!("exponent {e:.2}, "));
    format!("{exponent}residual {:.0} %", residual * 100.0)
}

fn there(measurement: &Measurement) -> String {
    let target = number(measurement.target);
    match measurement.at_target {
        Some(value) if measurement.beyond == 1.0 => format!("{} at {target}", number(value)),
        Some(value) => {
            format!(
                "{} at {target}, reckoned {} times beyond",
                number(value),
                number(measurement.beyond)
            )
        }
        None => format!("not reckoned to {target}: no law fits"),
    }
}

fn loss(loss: Loss) -> &'static str {
    match loss {
        Loss::Fleet => "all: no node works",
        Loss::Part => "a part has no effect",
        Loss::Time => "time: too late",
        Loss::Room => "room: too much is used",
    }
}

/// A number with three digits that count, and thousands set apart.
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
