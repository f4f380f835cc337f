//! Exports the counters as the periodic log line and in the Prometheus text format.
//!
//! Operators' dashboards and alerts depend on the names in both.

use std::fmt::Write;

use super::{CloseReason, Gauges, Metrics, Refusal, RequestOutcome, OUTCOME_NAMES};

/// A metric without labels: its name after `svc_`, its help text and its value.
struct Sample {
    name: &'static str,
    help: &'static str,
    value: u64,
}

/// A counter under its name in the log line.
struct LoggedCounter {
    name: &'static str,
    value: u64,
}

impl LoggedCounter {
    fn new(name: &'static str, value: u64) -> LoggedCounter {
        LoggedCounter { name, value }
    }
}

/// A metric with a value for each class: its name after `svc_`, its help text, and the request outcome it counts.
struct ClassMetric {
    name: &'static str,
    help: &'static str,
    outcome: RequestOutcome,
}

const CLASS_METRICS: [ClassMetric; 3] = [
    ClassMetric {
        name: "succeeded_total",
        help: "Requests served.",
        outcome: RequestOutcome::Served,
    },
    ClassMetric {
        name: "declined_total",
        help: "Requests refused.",
        outcome: RequestOutcome::Rejected,
    },
    ClassMetric {
        name: "aborted_total",
        help: "Requests failed.",
        outcome: RequestOutcome::Failed,
    },
];

impl Metrics {
    /// The counters' increments since the last call, formatted as one log line.
    pub fn log_line(&self) -> String {
        let mut counters = self.request_counters();
        let first_attempt_counter = counters.len();
        counters.extend(self.attempt_counters());
        let first_refusal_counter = counters.len();
        counters.extend(self.refusal_counters());
        let values = counters.iter().map(|counter| counter.value).collect();
        let previous = self.last_logged.replace(values);
        let mut line = String::new();
        for (index, LoggedCounter { name, value }) in counters.iter().enumerate() {
            if index == first_attempt_counter {
                line.push_str("attempts: ");
            }
            if index == first_refusal_counter {
                line.push_str("refused by the node: ");
            }
            let increment = value - previous.get(index).unwrap_or(&0);
            let _ = write!(line, "{name} {increment} ");
        }
        line.truncate(line.trim_end().len());
        line
    }

    /// The client connections that ended since the last call, by reason.
    pub fn closed_connections_line(&self) -> String {
        let mut last_logged = self.last_logged_closed.borrow_mut();
        let mut line = "connections closed:".to_owned();
        for (index, reason) in CloseReason::ALL.iter().enumerate() {
            let value = self.closed_connections[index].get();
            let increment = value - std::mem::replace(&mut last_logged[index], value);
            let _ = write!(line, " {} {increment}", reason.name());
        }
        line
    }

    /// The counters of ended attempts by outcome, in the order of the log line.
    fn attempt_counters(&self) -> impl Iterator<Item = LoggedCounter> + '_ {
        OUTCOME_NAMES
            .iter()
            .zip(&self.attempts)
            .map(|(name, counter)| LoggedCounter::new(name, counter.get()))
    }

    /// The counters of requests that the node refused itself, by reason.
    fn refusal_counters(&self) -> impl Iterator<Item = LoggedCounter> + '_ {
        Refusal::ALL
            .iter()
            .map(|reason| LoggedCounter::new(reason.name(), self.refusals[reason.index()].get()))
    }

    /// The connection and request counters, in the order of the log line.
    fn request_counters(&self) -> Vec<LoggedCounter> {
        let classes = self.distinct_classes();
        let total = |outcome| {
            classes
                .iter()
                .map(|counters| counters.of(outcome).get())
                .sum()
        };
        vec![
            LoggedCounter::new("connected", self.connections_accepted.get()),
            LoggedCounter::new("no-room", self.connections_rejected.get()),
            LoggedCounter::new("malformed", self.requests_malformed.get()),
            LoggedCounter::new("silent", self.head_timeouts.get()),
            LoggedCounter::new("taken", self.requests_received.get()),
            LoggedCounter::new("served", total(RequestOutcome::Served)),
            LoggedCounter::new("refused", total(RequestOutcome::Rejected)),
            LoggedCounter::new("failed", total(RequestOutcome::Failed)),
            LoggedCounter::new("late", self.deadlines_exceeded.get()),
            LoggedCounter::new("gone", self.clients_disconnected.get()),
            LoggedCounter::new("stalled-clients", self.clients_stalled.get()),
            LoggedCounter::new("stalled-servers", self.servers_stalled.get()),
            LoggedCounter::new("dialled", self.connections_opened.get()),
            LoggedCounter::new("forwards", self.requests_forwarded.get()),
        ]
    }

    /// All metrics, in the Prometheus text format.
    pub fn prometheus_text(&self, gauges: Gauges) -> String {
        let mut text = String::with_capacity(2048);
        self.write_class_counters(&mut text);
        for sample in self.counter_samples() {
            write_sample(&mut text, &sample, "counter");
        }
        for sample in gauge_samples(gauges) {
            write_sample(&mut text, &sample, "gauge");
        }
        self.write_refusal_counters(&mut text);
        for sample in memory_samples(gauges) {
            write_sample(&mut text, &sample, "gauge");
        }
        self.write_closed_connections(&mut text);
        text
    }

    fn write_class_counters(&self, text: &mut String) {
        for metric in &CLASS_METRICS {
            let name = metric.name;
            write_header(text, name, metric.help, "counter");
            for counters in &self.distinct_classes() {
                let class = escape_label(&counters.class);
                let count = counters.of(metric.outcome).get();
                let _ = writeln!(text, "svc_{name}{{service=\"{class}\"}} {count}");
            }
        }
    }

    fn write_refusal_counters(&self, text: &mut String) {
        let name = "refused_by_node_total";
        write_header(
            text,
            name,
            "Requests refused by the node itself.",
            "counter",
        );
        for counter in self.refusal_counters() {
            let LoggedCounter {
                name: reason,
                value,
            } = counter;
            let _ = writeln!(text, "svc_{name}{{reason=\"{reason}\"}} {value}");
        }
    }

    fn write_closed_connections(&self, text: &mut String) {
        let name = "closed_connections_total";
        write_header(text, name, "Client connections ended.", "counter");
        for reason in CloseReason::ALL {
            let (label, value) = (reason.name(), self.closed_connections[reason.index()].get());
            let _ = writeln!(text, "svc_{name}{{reason=\"{label}\"}} {value}");
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

fn memory_samples(gauges: Gauges) -> [Sample; 2] {
    [
        Sample {
            name: "memory_bytes",
            help: "Resident memory of the process.",
            value: gauges.resident_bytes,
        },
        Sample {
            name: "body_memory_bytes",
            help: "Memory reserved for bodies.",
            value: gauges.body_bytes,
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

/// Escapes the characters of a label value that the Prometheus text format reserves.
fn escape_label(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
