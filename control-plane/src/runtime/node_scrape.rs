//! Reads a node's metrics from its Prometheus page. The names on the page are mapped to the fields of [`NodeReading`]
//! only here. A metric with labels is summed over them.

use prometheus_parse::{Sample, Scrape, Value};

use crate::metrics::{NodeGauges, NodeReading, RequestCounts};

/// Parses a node's metrics page. Returns `None` if a counter of requests is missing: the page is then not a node's. Any
/// other metric that is missing is read as 0.
pub fn parse_page(page: &str) -> Option<NodeReading> {
    let scrape = Scrape::parse(page.lines().map(|line| Ok(line.to_owned()))).ok()?;
    let sum = |name: &str| sum_of(&scrape, name);
    Some(NodeReading {
        counts: RequestCounts {
            served: sum("svc_succeeded_total")?,
            refused: sum("svc_declined_total")?,
            failed: sum("svc_aborted_total")?,
            forwards: sum("svc_forwards_total").unwrap_or(0),
        },
        gauges: NodeGauges {
            outstanding: sum("svc_outstanding").unwrap_or(0),
            discovered: sum("svc_discovered").unwrap_or(0),
            ejected: sum("svc_ejected").unwrap_or(0),
            list: sum("svc_discovered_digest").unwrap_or(0),
        },
    })
}

/// Sum of a metric over all its labels; `None` if the page has no number under that name.
fn sum_of(scrape: &Scrape, name: &str) -> Option<u64> {
    scrape
        .samples
        .iter()
        .filter(|sample| sample.metric == name)
        .filter_map(number)
        .fold(None, |sum: Option<f64>, value| {
            Some(sum.unwrap_or(0.0) + value)
        })
        .map(|sum| sum as u64)
}

fn number(sample: &Sample) -> Option<f64> {
    match sample.value {
        Value::Counter(value) | Value::Gauge(value) | Value::Untyped(value) => Some(value),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
