use super::*;
use crate::lease::Role;
use crate::metrics::{AddressedQuery, NodeMetricsCollector, NodeReading, RequestCounts};

/// Guards against an alarm that is raised and ended by turns while its condition holds, and one that never ends.
#[test]
fn overload_and_differing_lists_are_raised_once_and_end() {
    let names: Vec<Name> = ["a", "b"]
        .iter()
        .map(|name| name.parse().unwrap())
        .collect();
    let mut collectors = [NodeMetricsCollector::new(0), NodeMetricsCollector::new(0)];
    collectors
        .iter_mut()
        .for_each(|collector| collector.record_start(0));
    let (mut metrics, mut evaluator) = (
        FleetMetrics::default(),
        AlarmEvaluator::new(AlarmSettings::default()),
    );
    let (mut total, mut heard) = (RequestCounts::default(), Vec::new());
    for second in 1..120u64 {
        let now = second * 1_000_000;
        total.served += 10;
        total.refused += if (30..50).contains(&second) { 2 } else { 0 };
        for (at, collector) in collectors.iter_mut().enumerate() {
            let list = if at == 1 && (70..100).contains(&second) {
                8
            } else {
                7
            };
            let mut reading = NodeReading {
                counts: total,
                ..NodeReading::default()
            };
            (reading.gauges.list, reading.gauges.discovered) = (list, list);
            collector.record(now, &reading);
        }
        for AddressedQuery { to: name, query } in
            metrics.next_queries(now, Role::Alerting, 1, &names)
        {
            let at = names.iter().position(|one| *one == name).unwrap();
            let answer = collectors[at].answer(now, &query, 1, Vec::new());
            metrics.record_answer(now, &name, answer);
        }
        let active: Vec<Alarm> = evaluator
            .evaluate(now, &metrics, 0)
            .keys()
            .cloned()
            .collect();
        if heard.last().is_none_or(|(_, before)| *before != active) {
            heard.push((second, active));
        }
    }
    let alarms_in_order: Vec<&[Alarm]> =
        heard.iter().map(|(_, alarms)| alarms.as_slice()).collect();
    assert_eq!(
        alarms_in_order,
        [
            &[][..],
            &[Alarm::Overload],
            &[],
            &[Alarm::DiscoveryMismatch],
            &[]
        ],
        "{heard:?}"
    );
    let at: Vec<u64> = heard.iter().map(|(second, _)| *second).collect();
    assert!(
        (35..60).contains(&at[1]) && at[2] < 80,
        "overload from 30 to 50: {at:?}"
    );
    assert!(
        (84..90).contains(&at[3]) && (99..104).contains(&at[4]),
        "lists from 70 to 100: {at:?}"
    );
}
