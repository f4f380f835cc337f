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

/// Three nodes, read each second; the second starts anew at 100 s, the third's agent does at 200 s and adopts it, and
/// another holder takes the role over at 300 s. Each serves 7 requests a second.
/// Guards against requests counted twice or lost when a node or an agent restarts, an answer is repeated, or the role
/// changes hands.
#[test]
fn nothing_is_counted_twice_across_restarts_and_a_new_holder_has_the_whole_hour() {
    let names: Vec<Name> = ["a", "b", "c"]
        .iter()
        .map(|name| name.parse().unwrap())
        .collect();
    let mut collectors: Vec<(u64, NodeMetricsCollector)> = (0..3)
        .map(|at| (at + 1, NodeMetricsCollector::new(at * 1_300_000)))
        .collect();
    collectors
        .iter_mut()
        .for_each(|(_, collector)| collector.record_start(0));
    let mut since = [0u64; 3];
    let (mut metrics, mut token) = (FleetMetrics::default(), 1);
    let mut lost = 0;
    for second in 1..400u64 {
        let now = second * SECOND + 300_000;
        if second == 100 {
            since[1] = second;
            collectors[1].1.record_start(now);
        }
        if second == 200 {
            // The agent's own hour is lost with it, and what its node did until it is read again.
            let before = metrics.recent(SLOTS_PER_HOUR).served;
            collectors[2] = (9, NodeMetricsCollector::new(now));
            lost = before;
        }
        if second == 300 {
            (metrics, token) = (FleetMetrics::default(), 2);
        }
        for (at, (_, collector)) in collectors.iter_mut().enumerate() {
            collector.record(now, &served((second - since[at]) * 7));
        }
        for AddressedQuery { to: name, query } in
            metrics.next_queries(now, Role::MetricsAggregation, token, &names)
        {
            let (process, collector) =
                &mut collectors[names.iter().position(|one| *one == name).unwrap()];
            let answer = collector.answer(now, &query, *process, Vec::new());
            metrics.record_answer(now, &name, answer.clone());
            // The same answer twice, as after a retry.
            metrics.record_answer(now, &name, answer);
        }
    }
    assert!(lost > 0);
    let (now, minute) = (400 * SECOND, metrics.recent(12).served);
    assert_eq!(minute, 3 * 7 * 60, "a minute of three nodes");
    // The first two nodes from the beginning, the third from its agent's start: the last closed slots are still open.
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
    assert_eq!(report.rows[0].last.served, 35, "of 5 s");
}

/// 1,900 agents whose answers take up to a second, one in a hundred of them lost.
/// Guards against a large fleet that is queried in a single second, and agents that count as silent because a round
/// takes longer than 5 s.
#[test]
fn a_large_fleet_is_queried_in_rounds_within_a_slot_and_no_agent_counts_as_silent() {
    let names: Vec<Name> = (0..1_900)
        .map(|at| format!("a{at:04}").parse().unwrap())
        .collect();
    let mut collectors: BTreeMap<Name, NodeMetricsCollector> = names
        .iter()
        .map(|name| (name.clone(), NodeMetricsCollector::new(0)))
        .collect();
    collectors
        .values_mut()
        .for_each(|collector| collector.record_start(0));
    let mut metrics = FleetMetrics::default();
    let mut under_way: Vec<(Micros, Name, MetricsAnswer)> = Vec::new();
    let (mut asked, mut last) = (0, BTreeMap::<Name, Micros>::new());
    let mut lost_last = BTreeSet::new();
    for second in 1..=60u64 {
        let now = second * SECOND;
        collectors
            .values_mut()
            .for_each(|collector| collector.record(now, &served(second * 7)));
        for (at, name, answer) in std::mem::take(&mut under_way) {
            metrics.record_answer(at, &name, answer);
        }
        let report = metrics.report(now, names[0].clone());
        assert!(
            second < 12 || report.answered == report.present,
            "{} at {second} s",
            report.answered
        );
        assert!(second < 12 || report.present == names.len());
        // The holder pauses for a second: the missed queries are not all sent at once.
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
            asked += 1;
            let before = last.insert(name.clone(), now);
            // A round, and a second for the pause.
            assert!(
                before.is_none_or(|before| now - before <= 7 * SECOND),
                "{name} at {second} s"
            );
            // One fault at a time: nothing is lost near the pause, and nobody's answer twice on end.
            let lost = asked % 100 == 0 && !(24..36).contains(&second);
            if lost && lost_last.insert(name.clone()) {
                continue;
            }
            lost_last.remove(&name);
            let answer = collectors
                .get_mut(&name)
                .unwrap()
                .answer(now, &query, 1, Vec::new());
            under_way.push((now + asked * 7_919 % SECOND, name, answer));
        }
    }
    assert_eq!(last.len(), names.len(), "each was asked");
    let minute = metrics.recent(6).served;
    assert_eq!(
        minute,
        1_900 * 7 * 30,
        "half a minute, nothing missing and nothing twice"
    );
}
