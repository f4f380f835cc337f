use super::*;
use crate::lease::Role;
use crate::metrics::{Counts, Meter, Reading};

#[test]
fn a_jam_and_differing_lists_are_raised_once_and_end() {
    let names: Vec<Name> = ["a", "b"]
        .iter()
        .map(|name| name.parse().unwrap())
        .collect();
    let mut meters = [Meter::new(0), Meter::new(0)];
    meters.iter_mut().for_each(|meter| meter.started(0));
    let (mut census, mut watch) = (Census::default(), Watch::new(Settings::default()));
    let (mut total, mut heard) = (Counts::default(), Vec::new());
    for second in 1..120u64 {
        let now = second * 1_000_000;
        total.served += 10;
        total.refused += if (30..50).contains(&second) { 2 } else { 0 };
        for (at, meter) in meters.iter_mut().enumerate() {
            let list = if at == 1 && (70..100).contains(&second) {
                8
            } else {
                7
            };
            let mut reading = Reading {
                counts: total,
                ..Reading::default()
            };
            (reading.gauges.list, reading.gauges.discovered) = (list, list);
            meter.read(now, &reading);
        }
        for (name, look) in census.ask(now, Role::Alerting, 1, &names) {
            let at = names.iter().position(|one| *one == name).unwrap();
            let tally = meters[at].tally(now, &look, 1, Vec::new());
            census.told(now, &name, tally);
        }
        let standing: Vec<Alarm> = watch.look(now, &census, 0).keys().cloned().collect();
        if heard.last().is_none_or(|(_, before)| *before != standing) {
            heard.push((second, standing));
        }
    }
    let told: Vec<&[Alarm]> = heard.iter().map(|(_, alarms)| alarms.as_slice()).collect();
    assert_eq!(
        told,
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
        "a jam from 30 to 50: {at:?}"
    );
    assert!(
        (84..90).contains(&at[3]) && (99..104).contains(&at[4]),
        "lists from 70 to 100: {at:?}"
    );
}
