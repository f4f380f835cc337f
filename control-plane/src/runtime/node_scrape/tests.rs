use super::*;

/// Guards against reading a page that is not a node's as counts of 0.
#[test]
fn metrics_are_summed_over_labels_and_other_pages_are_rejected() {
    let page = "# TYPE svc_succeeded_total counter\nsvc_succeeded_total{service=\"a\"} 5\n\
                svc_succeeded_total{service=\"b\"} 7\n# TYPE svc_declined_total counter\n\
                svc_declined_total{service=\"a\"} 2\n# TYPE svc_aborted_total counter\n\
                svc_aborted_total{service=\"a\"} 1\n# TYPE svc_discovered gauge\nsvc_discovered 9\n";
    let read = parse_page(page).unwrap();
    assert_eq!(
        (read.counts.served, read.counts.refused, read.counts.failed),
        (12, 2, 1)
    );
    assert_eq!((read.gauges.discovered, read.gauges.list), (9, 0));
    for other in [
        "",
        "hello",
        "# TYPE svc_succeeded_total counter\nsvc_succeeded_total x\n",
    ] {
        assert_eq!(parse_page(other), None, "{other}");
    }
}
