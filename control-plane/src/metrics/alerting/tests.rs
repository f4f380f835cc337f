use super::*;
use crate::lease::Role;
use crate::metrics::{AddressedQuery, NodeMetricsCollector, NodeReading, RequestCounts};

/// Guards against an alarm that is repeatedly raised and ended while its condition holds, and one that never ends.
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
    let (mut total, mut changes) = (RequestCounts::default(), Vec::new());
    for second in 1..120u64 {
        let now = second * 1_000_000;
        total.served += 10;
        total.refused += if (30..50).contains(&second) { 2 } else { 0 };
        for (index, collector) in collectors.iter_mut().enumerate() {
            let list = if index == 1 && (70..100).contains(&second) {
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
            let index = names
                .iter()
                .position(|candidate| *candidate == name)
                .unwrap();
            let answer = collectors[index].answer(now, &query, 1, Vec::new());
            metrics.record_answer(now, &name, answer);
        }
        let active: Vec<Alarm> = evaluator
            .evaluate(now, &metrics, 0)
            .keys()
            .cloned()
            .collect();
        if changes.last().is_none_or(|(_, before)| *before != active) {
            changes.push((second, active));
        }
    }
    let alarms_in_order: Vec<&[Alarm]> = changes
        .iter()
        .map(|(_, alarms)| alarms.as_slice())
        .collect();
    assert_eq!(
        alarms_in_order,
        [
            &[][..],
            &[Alarm::Overload],
            &[],
            &[Alarm::DiscoveryMismatch],
            &[]
        ],
        "{changes:?}"
    );
    let changed_at: Vec<u64> = changes.iter().map(|(second, _)| *second).collect();
    assert!(
        (35..60).contains(&changed_at[1]) && changed_at[2] < 80,
        "overload lasts from 30 s to 50 s: {changed_at:?}"
    );
    assert!(
        (84..90).contains(&changed_at[3]) && (99..104).contains(&changed_at[4]),
        "lists differ from 70 s to 100 s: {changed_at:?}"
    );
}
