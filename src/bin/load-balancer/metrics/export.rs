//! The two views of the counters: the periodic log line and the Prometheus text format.
//!
//! The names in both are an interface that operators' dashboards and alerts read.

use std::fmt::Write;

use super::{Gauges, Metrics, RequestOutcome, OUTCOME_NAMES};

/// A metric without labels: its name after `svc_`, its help text and its value.
struct Sample {
    name: &'static str,
    help: &'static str,
    value: u64,
}

impl Metrics {
    /// The counters' increments since the last call, as one log line.
    pub fn log_line(&self) -> String {
        let mut counters = self.request_counters();
        let first_attempt_counter = counters.len();
        counters.extend(
            OUTCOME_NAMES
                .iter()
                .zip(&self.attempts)
                .map(|(name, counter)| (*name, counter.get())),
        );
        let values = counters.iter().map(|(_, value)| *value).collect();
        let previous = self.last_logged.replace(values);
        let mut line = String::new();
        for (index, (name, value)) in counters.iter().enumerate() {
            if index == first_attempt_counter {
                line.push_str("attempts: ");
            }
            let increment = value - previous.get(index).unwrap_or(&0);
            let _ = write!(line, "{name} {increment} ");
        }
        line.truncate(line.trim_end().len());
        line
    }

    /// Connection and request counters by their names in the log.
    fn request_counters(&self) -> Vec<(&'static str, u64)> {
        let classes = self.distinct_classes();
        let total = |outcome| {
            classes
                .iter()
                .map(|counters| counters.of(outcome).get())
                .sum()
        };
        vec![
            ("connected", self.connections_accepted.get()),
            ("no-room", self.connections_rejected.get()),
            ("malformed", self.requests_malformed.get()),
            ("silent", self.head_timeouts.get()),
            ("taken", self.requests_received.get()),
            ("served", total(RequestOutcome::Served)),
            ("refused", total(RequestOutcome::Rejected)),
            ("failed", total(RequestOutcome::Failed)),
            ("late", self.deadlines_exceeded.get()),
            ("gone", self.clients_disconnected.get()),
            ("dialled", self.connections_opened.get()),
            ("forwards", self.requests_forwarded.get()),
        ]
    }

    /// All metrics in the Prometheus text format.
    pub fn prometheus_text(&self, gauges: Gauges) -> String {
        let mut text = String::with_capacity(2048);
        self.write_class_counters(&mut text);
        for sample in self.counter_samples() {
            write_sample(&mut text, &sample, "counter");
        }
        for sample in gauge_samples(gauges) {
            write_sample(&mut text, &sample, "gauge");
        }
        text
    }

    fn write_class_counters(&self, text: &mut String) {
        for (name, help, outcome) in [
            (
                "succeeded_total",
                "Requests served.",
                RequestOutcome::Served,
            ),
            (
                "declined_total",
                "Requests refused.",
                RequestOutcome::Rejected,
            ),
            ("aborted_total", "Requests failed.", RequestOutcome::Failed),
        ] {
            write_header(text, name, help, "counter");
            for counters in &self.distinct_classes() {
                let class = escape_label(&counters.class);
                let count = counters.of(outcome).get();
                let _ = writeln!(text, "svc_{name}{{service=\"{class}\"}} {count}");
            }
        }
    }

    fn counter_samples(&self) -> [Sample; 3] {
        [
            Sample {
                name: "forwards_total",
                help: "Attempts written whole to servers.",
                value: self.requests_forwarded.get(),
            },
            Sample {
                name: "sighup_applied_total",
                help: "New configurations taken over.",
                value: self.reloads_applied.get(),
            },
            Sample {
                name: "sighup_rejected_total",
                help: "New configurations left alone.",
                value: self.reloads_rejected.get(),
            },
        ]
    }
}

fn gauge_samples(gauges: Gauges) -> [Sample; 4] {
    [
        Sample {
            name: "outstanding",
            help: "Requests taken and not ended.",
            value: gauges.outstanding_requests as u64,
        },
        Sample {
            name: "discovered",
            help: "Servers on the list.",
            value: gauges.listed_servers as u64,
        },
        Sample {
            name: "discovered_digest",
            help: "The list's ids in one number: alike where lists are.",
            value: gauges.endpoint_digest,
        },
        Sample {
            name: "ejected",
            help: "Listed servers that the node avoids, by hand or by choice.",
            value: gauges.avoided_servers as u64,
        },
    ]
}

fn write_sample(text: &mut String, sample: &Sample, kind: &str) {
    write_header(text, sample.name, sample.help, kind);
    let _ = writeln!(text, "svc_{} {}", sample.name, sample.value);
}

fn write_header(text: &mut String, name: &str, help: &str, kind: &str) {
    let _ = writeln!(text, "# HELP svc_{name} {help}\n# TYPE svc_{name} {kind}");
}

/// A label value with the characters escaped that the text format reserves.
fn escape_label(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
