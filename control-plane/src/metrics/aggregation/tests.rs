use super::*;
use crate::metrics::{NodeMetricsCollector, NodeReading};

const SECOND: Micros = 1_000_000;

fn served(count: u64) -> NodeReading {
    NodeReading {
        counts: RequestCounts {
            served: count,
            ..RequestCounts::default()
        },
        ..NodeReading::default()
    }
}

/// Guards against requests that are counted twice or lost when a node or an agent restarts, an answer is repeated, or
/// the role has a new holder.
///
/// Three nodes serve 7 requests per second each and are read each second. At 100 s the second node restarts, at 200 s
/// the third node's agent restarts and adopts the running node, and at 300 s another agent takes over the role.
#[test]
fn nothing_is_counted_twice_across_restarts_and_a_new_holder_has_the_whole_hour() {
    let names: Vec<Name> = ["a", "b", "c"]
        .iter()
        .map(|name| name.parse().unwrap())
        .collect();
    let mut collectors: Vec<(u64, NodeMetricsCollector)> = (0..3)
        .map(|index| (index + 1, NodeMetricsCollector::new(index * 1_300_000)))
        .collect();
    collectors
        .iter_mut()
        .for_each(|(_, collector)| collector.record_start(0));
    let mut started_at = [0u64; 3];
    let (mut metrics, mut token) = (FleetMetrics::default(), 1);
    let mut served_before_agent_restart = 0;
    for second in 1..400u64 {
        let now = second * SECOND + 300_000;
        if second == 100 {
            started_at[1] = second;
            collectors[1].1.record_start(now);
        }
        if second == 200 {
            // The agent loses its stored slots, and what its node counts until the next reading is lost too.
            served_before_agent_restart = metrics.recent(SLOTS_PER_HOUR).served;
            collectors[2] = (9, NodeMetricsCollector::new(now));
        }
        if second == 300 {
            (metrics, token) = (FleetMetrics::default(), 2);
        }
        for (index, (_, collector)) in collectors.iter_mut().enumerate() {
            collector.record(now, &served((second - started_at[index]) * 7));
        }
        for AddressedQuery { to: name, query } in
            metrics.next_queries(now, Role::MetricsAggregation, token, &names)
        {
            let (process, collector) = &mut collectors[names
                .iter()
                .position(|candidate| *candidate == name)
                .unwrap()];
            let answer = collector.answer(now, &query, *process, Vec::new());
            metrics.record_answer(now, &name, answer.clone());
            // The answer arrives twice, as after a retry.
            metrics.record_answer(now, &name, answer);
        }
    }
    assert!(served_before_agent_restart > 0);
    let (now, minute) = (400 * SECOND, metrics.recent(12).served);
    assert_eq!(
        minute,
        3 * 7 * 60,
        "the sum of the last minute over three nodes"
    );
    // The first two nodes count from the beginning, the third from its agent's restart. The counts of the newest slots may
    // be missing, as they are not complete yet.
    let expected = 2 * 7 * 399 + 7 * 199;
    let hour = metrics.recent(SLOTS_PER_HOUR).served;
    assert!(
        hour <= expected && hour + 3 * 7 * 15 >= expected,
        "{hour} of {expected}"
    );
    let report = metrics.report(now, names[0].clone());
    assert_eq!(
        (report.present, report.answered, report.rows.len()),
        (3, 3, 3)
    );
    assert_eq!(
        report.rows[0].last.served, 35,
        "requests of the last slot, which is 5 s long"
    );
}

/// Guards against querying a large fleet in a single second, and against agents that count as silent because a round of
/// queries takes longer than 5 s.
///
/// There are 1,900 agents whose answers take up to a second and of which one in a hundred is lost.
#[test]
fn a_large_fleet_is_queried_in_rounds_within_a_slot_and_no_agent_counts_as_silent() {
    let names: Vec<Name> = (0..1_900)
        .map(|number| format!("a{number:04}").parse().unwrap())
        .collect();
    let mut collectors: BTreeMap<Name, NodeMetricsCollector> = names
        .iter()
        .map(|name| (name.clone(), NodeMetricsCollector::new(0)))
        .collect();
    collectors
        .values_mut()
        .for_each(|collector| collector.record_start(0));
    let mut metrics = FleetMetrics::default();
    let mut in_flight: Vec<(Micros, Name, MetricsAnswer)> = Vec::new();
    let (mut queries_sent, mut last_query) = (0, BTreeMap::<Name, Micros>::new());
    let mut lost_previous_answer = BTreeSet::new();
    for second in 1..=60u64 {
        let now = second * SECOND;
        collectors
            .values_mut()
            .for_each(|collector| collector.record(now, &served(second * 7)));
        for (arrives_at, name, answer) in std::mem::take(&mut in_flight) {
            metrics.record_answer(arrives_at, &name, answer);
        }
        let report = metrics.report(now, names[0].clone());
        assert!(
            second < 12 || report.answered == report.present,
            "{} at {second} s",
            report.answered
        );
        assert!(second < 12 || report.present == names.len());
        // The holder pauses for a second. The missed queries are not all sent at once afterwards.
        if second == 30 {
            continue;
        }
        let queries = metrics.next_queries(now, Role::MetricsAggregation, 1, &names);
        assert!(
            queries.len() <= MAX_QUERIES_PER_SECOND as usize,
            "{} at {second} s",
            queries.len()
        );
        for AddressedQuery { to: name, query } in queries {
            queries_sent += 1;
            let previous = last_query.insert(name.clone(), now);
            // The length of a round, and a second for the pause.
            assert!(
                previous.is_none_or(|previous| now - previous <= 7 * SECOND),
                "{name} at {second} s"
            );
            // Faults do not coincide: no answer is lost near the pause at 30 s, and no agent loses two in a row.
            let is_lost = queries_sent % 100 == 0 && !(24..36).contains(&second);
            if is_lost && lost_previous_answer.insert(name.clone()) {
                continue;
            }
            lost_previous_answer.remove(&name);
            let answer = collectors
                .get_mut(&name)
                .unwrap()
                .answer(now, &query, 1, Vec::new());
            in_flight.push((now + queries_sent * 7_919 % SECOND, name, answer));
        }
    }
    assert_eq!(last_query.len(), names.len(), "each agent was queried");
    let half_minute = metrics.recent(6).served;
    assert_eq!(
        half_minute,
        1_900 * 7 * 30,
        "nothing is missing or counted twice in half a minute"
    );
}
