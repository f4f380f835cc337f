//! Flattens the JSON settings of a configuration file into pairs of a dotted path and a text value.

use load_balancer::settings::Pairs;
use serde_json::{Number, Value};

/// Integers below this are exact as floating-point numbers, as are all integers up to 2^53.
const MAX_EXACT_INTEGER: f64 = 9e15;

/// Adds `value` to `pairs`: a scalar at `path`, the fields of an object below it. The objects of a list are added
/// below their index, with their number at `count`; a list of scalars is joined by commas. Underscores in names
/// become hyphens.
pub fn flatten(path: &str, value: &Value, pairs: &mut Pairs) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                flatten(&join(path, name), value, pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.set(join(path, "count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten(&join(path, &index.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().filter_map(scalar).collect();
            pairs.set(path.to_owned(), items.join(","));
        }
        other => {
            if let Some(text) = scalar(other) {
                pairs.set(path.to_owned(), text);
            }
        }
    }
}

fn join(path: &str, name: &str) -> String {
    let name = name.replace('_', "-");
    if path.is_empty() {
        name
    } else {
        format!("{path}.{name}")
    }
}

/// The text of a scalar; `None` for null.
fn scalar(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text.clone()),
        Value::Number(number) => Some(number_text(number)),
        Value::Bool(flag) => Some(flag.to_string()),
        _ => None,
    }
}

/// The text of a number. An integer that is written as 5.0 or 1e6 is formatted without point and exponent.
fn number_text(number: &Number) -> String {
    let is_integer = |real: f64| real.fract() == 0.0 && (0.0..MAX_EXACT_INTEGER).contains(&real);
    match number.as_f64() {
        Some(real) if number.as_u64().is_none() && is_integer(real) => (real as u64).to_string(),
        _ => number.to_string(),
    }
}
