//! Reports and figures.

use super::*;

#[test]
fn a_report_tells_what_came_since_the_last_one() {
    let counts = Counts::new(&["a".to_owned()]);
    counts.closed(Outcome::Reset);
    counts.closed(Outcome::Reset);
    counts.taken.add();
    let report = counts.report();
    assert!(
        report.contains("taken 1") && report.contains("reset 2"),
        "{report}"
    );
    let next = counts.report();
    assert!(
        next.contains("taken 0") && next.contains("reset 0"),
        "{next}"
    );
}

#[test]
fn the_figures_never_start_anew_and_hold_all_classes_from_zero() {
    let counts = Counts::new(&["a".to_owned(), "b\"\\\n".to_owned()]);
    counts.ended(0, End::Served);
    counts.report();
    counts.ended(0, End::Served);
    counts.ended(1, End::Failed);
    counts.ended(9, End::Failed);
    let text = counts.metrics(Gauges {
        outstanding: 14,
        discovered: 3,
        digest: 5,
        ejected: 1,
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
    ] {
        assert!(text.lines().any(|found| found == line), "{line} in {text}");
    }
    let samples = text.lines().filter(|line| !line.starts_with('#'));
    assert!(
        samples.clone().count() == 13 && samples.clone().all(|l| l.starts_with("svc_")),
        "{text}"
    );
}
