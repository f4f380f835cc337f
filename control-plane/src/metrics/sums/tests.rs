use super::*;
use crate::metrics::{Meter, Reading};

const SECOND: Micros = 1_000_000;

fn served(count: u64) -> Reading {
    Reading {
        counts: Counts {
            served: count,
            ..Counts::default()
        },
        ..Reading::default()
    }
}

/// Three nodes, read each second; the second starts anew at 100 s, the third's agent does at 200 s and adopts it, and
/// another holder takes the census over at 300 s. Each serves 7 requests a second.
#[test]
fn nothing_is_counted_twice_across_starts_and_a_new_holder_has_it_all() {
    let names: Vec<Name> = ["a", "b", "c"]
        .iter()
        .map(|name| name.parse().unwrap())
        .collect();
    let mut meters: Vec<(u64, Meter)> = (0..3)
        .map(|at| (at + 1, Meter::new(at * 1_300_000)))
        .collect();
    meters.iter_mut().for_each(|(_, meter)| meter.started(0));
    let mut since = [0u64; 3];
    let (mut census, mut token) = (Census::default(), 1);
    let mut lost = 0;
    for second in 1..400u64 {
        let now = second * SECOND + 300_000;
        if second == 100 {
            since[1] = second;
            meters[1].1.started(now);
        }
        if second == 200 {
            // The agent's own hour is lost with it, and what its node did until it is read again.
            let before = census.recent(SLOTS).served;
            meters[2] = (9, Meter::new(now));
            lost = before;
        }
        if second == 300 {
            (census, token) = (Census::default(), 2);
        }
        for (at, (_, meter)) in meters.iter_mut().enumerate() {
            meter.read(now, &served((second - since[at]) * 7));
        }
        for (name, look) in census.ask(now, Role::MetricsAggregation, token, &names) {
            let (process, meter) = &mut meters[names.iter().position(|one| *one == name).unwrap()];
            let tally = meter.tally(now, &look, *process, Vec::new());
            census.told(now, &name, tally.clone());
            // The same answer twice, as after a retry.
            census.told(now, &name, tally);
        }
    }
    assert!(lost > 0);
    let (now, minute) = (400 * SECOND, census.recent(12).served);
    assert_eq!(minute, 3 * 7 * 60, "a minute of three nodes");
    // The first two nodes from the beginning, the third from its agent's start: the last closed slots are still open.
    let whole = 2 * 7 * 399 + 7 * 199;
    let hour = census.recent(SLOTS).served;
    assert!(
        hour <= whole && hour + 3 * 7 * 15 >= whole,
        "{hour} of {whole}"
    );
    let report = census.report(now, names[0].clone());
    assert_eq!(
        (report.present, report.answered, report.rows.len()),
        (3, 3, 3)
    );
    assert_eq!(report.rows[0].last.served, 35, "of 5 s");
}

/// 1,900 agents whose answers take up to a second, one in a hundred of them lost.
#[test]
fn a_large_fleet_is_asked_in_turn_within_a_slot_and_counts_nobody_as_silent() {
    let names: Vec<Name> = (0..1_900)
        .map(|at| format!("a{at:04}").parse().unwrap())
        .collect();
    let mut meters: BTreeMap<Name, Meter> = names
        .iter()
        .map(|name| (name.clone(), Meter::new(0)))
        .collect();
    meters.values_mut().for_each(|meter| meter.started(0));
    let mut census = Census::default();
    let mut under_way: Vec<(Micros, Name, Tally)> = Vec::new();
    let (mut asked, mut last) = (0, BTreeMap::<Name, Micros>::new());
    let mut unheard = BTreeSet::new();
    for second in 1..=60u64 {
        let now = second * SECOND;
        meters
            .values_mut()
            .for_each(|meter| meter.read(now, &served(second * 7)));
        for (at, name, tally) in std::mem::take(&mut under_way) {
            census.told(at, &name, tally);
        }
        let report = census.report(now, names[0].clone());
        assert!(
            second < 12 || report.answered == report.present,
            "{} at {second} s",
            report.answered
        );
        assert!(second < 12 || report.present == names.len());
        // A pause of the holder's is not made up for at once.
        if second == 30 {
            continue;
        }
        let looks = census.ask(now, Role::MetricsAggregation, 1, &names);
        assert!(
            looks.len() <= A_SECOND as usize,
            "{} at {second} s",
            looks.len()
        );
        for (name, look) in looks {
            asked += 1;
            let before = last.insert(name.clone(), now);
            // A round, and a second for the pause.
            assert!(
                before.is_none_or(|before| now - before <= 7 * SECOND),
                "{name} at {second} s"
            );
            // One trouble at a time: nothing is lost near the pause, and nobody's answer twice on end.
            let lost = asked % 100 == 0 && !(24..36).contains(&second);
            if lost && unheard.insert(name.clone()) {
                continue;
            }
            unheard.remove(&name);
            let tally = meters
                .get_mut(&name)
                .unwrap()
                .tally(now, &look, 1, Vec::new());
            under_way.push((now + asked * 7_919 % SECOND, name, tally));
        }
    }
    assert_eq!(last.len(), names.len(), "each was asked");
    let minute = census.recent(6).served;
    assert_eq!(
        minute,
        1_900 * 7 * 30,
        "half a minute, nothing missing and nothing twice"
    );
}
