//! The log line and the Prometheus text format.

use super::*;

// Guards against a log line with totals since the start instead of increments.
#[test]
fn the_log_line_holds_the_increments_since_the_last_one() {
    let metrics = Metrics::new(&["a".to_owned()]);
    metrics.attempt_ended(Outcome::Reset);
    metrics.attempt_ended(Outcome::Reset);
    metrics.requests_received.increment();
    let report = metrics.log_line();
    assert!(
        report.contains("taken 1") && report.contains("reset 2"),
        "{report}"
    );
    let next = metrics.log_line();
    assert!(
        next.contains("taken 0") && next.contains("reset 0"),
        "{next}"
    );
}

// Guards against Prometheus counters that the log line resets, and classes that are missing until their first request.
#[test]
fn prometheus_counters_never_reset_and_list_all_classes_from_zero() {
    let metrics = Metrics::new(&["a".to_owned(), "b\"\\\n".to_owned()]);
    metrics.request_ended(0, RequestOutcome::Served);
    metrics.log_line();
    metrics.request_ended(0, RequestOutcome::Served);
    metrics.request_ended(1, RequestOutcome::Failed);
    metrics.request_ended(9, RequestOutcome::Failed);
    let text = metrics.prometheus_text(Gauges {
        outstanding_requests: 14,
        listed_servers: 3,
        endpoint_digest: 5,
        avoided_servers: 1,
        resident_bytes: 4096,
        body_bytes: 512,
    });
    for line in [
        "# TYPE svc_succeeded_total counter",
        "svc_succeeded_total{service=\"a\"} 2",
        "svc_succeeded_total{service=\"b\\\"\\\\\\n\"} 0",
        "svc_declined_total{service=\"a\"} 0",
        "svc_aborted_total{service=\"b\\\"\\\\\\n\"} 1",
        "svc_forwards_total 0",
        "# TYPE svc_outstanding gauge",
        "svc_outstanding 14",
        "svc_discovered 3",
        "svc_discovered_digest 5",
        "svc_ejected 1",
        "svc_refused_by_node_total{reason=\"no-connection\"} 0",
        "svc_memory_bytes 4096",
        "svc_body_memory_bytes 512",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} in {text}");
    }
    let samples = text.lines().filter(|line| !line.starts_with('#'));
    assert!(
        samples.clone().count() == 15 + Refusal::ALL.len() + CloseReason::ALL.len()
            && samples.clone().all(|l| l.starts_with("svc_")),
        "{text}"
    );
}
