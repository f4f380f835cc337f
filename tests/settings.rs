//! Any valid settings start a balancer that serves; an invalid value is refused by its key.

mod common;

use common::*;
use load_balancer::settings::{parse, reload, NamedSettings, Pairs};
use load_balancer::*;
use proptest::prelude::*;

/// A class as its settings say it.
fn any_class() -> impl Strategy<Value = String> {
    let semantics = prop_oneof![
        Just("semantics=safe"),
        Just("semantics=unsafe"),
        Just("semantics=keyed key-scope=all"),
        Just("semantics=keyed key-scope=zone"),
        Just("semantics=keyed key-scope=cell"),
        Just("semantics=keyed"),
        Just("later=unknown"),
    ];
    let span = prop_oneof![
        1_000u64..400_000,
        400_000u64..20_000_000,
        Just(30 * 24 * 3_600 * SECOND)
    ];
    (
        semantics,
        span,
        0.0..=1.0f64,
        0.0..1e6f64,
        any::<bool>(),
        0u64..100 * SECOND,
    )
        .prop_map(|(semantics, deadline, late, points, in_order, ttl)| {
            let aim = deadline / 2;
            format!(
                "{semantics} deadline={deadline} aim={aim} late-share={late} points={points} \
                serial-by-key={in_order} key-ttl={ttl}"
            )
        })
}

/// The settings' line of a deployment.
fn any_settings() -> impl Strategy<Value = String> {
    let classes = prop::collection::vec(any_class(), 1..9);
    let tenants = prop::collection::vec(0.0..1e5f64, 0..4);
    let flags = prop::array::uniform6(any::<bool>());
    let figures = (
        1u64..400,
        1u64..7,
        0u64..60 * SECOND,
        0.0..=1.0f64,
        0u64..100 * SECOND,
        0.1..10.0f64,
    );
    let prices = (
        0.0..1.0f64,
        0.0..1.0f64,
        prop_oneof![Just("push"), Just("ask")],
    );
    (classes, tenants, flags, figures, prices).prop_map(|(classes, tenants, flags, figures, prices)| {
        let mut line = format!("classes.count={} tenants.count={} later.key=x", classes.len(), tenants.len());
        for (n, class) in classes.iter().enumerate() {
            class.split(' ').for_each(|pair| line += &format!(" classes.{n}.{pair}"));
            line += &format!(" classes.{n}.name=c{n}");
        }
        for (n, quota) in tenants.iter().enumerate() {
            line += &format!(" tenants.{n}.name=t{n} tenants.{n}.quota-per-s={quota}");
        }
        let [cancelling, probe, copies, after, warm, shed] = flags;
        let (group, attempts, dial, start, ramp, fall) = figures;
        let (me, overload) = (group - 1, dial);
        let (handshake, connection, mode) = prices;
        line + &format!(
            " bounds.cancelling={cancelling} bounds.may-probe={probe} bounds.second-copies={copies} \
            bounds.retry-after={after} domain.warm-keys={warm} rules.may-shed-begun={shed} group-size={group} \
            bounds.max-attempts={attempts} bounds.dial-timeout={dial} rules.start-capacity={start} \
            rules.ramp-time={ramp} rules.fall-multiple={fall} rules.overload-for={overload} me={me} deductions.handshake={handshake} \
            deductions.connection={connection} registry-mode={mode}"
        )
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    // Servers that answer at once: each request is sent and served, whatever the deployment.
    // Guards against extreme values that end the node: a deadline of 10^18 us did so at the first request.
    #[test]
    fn any_lawful_deployment_is_served(line in any_settings(), servers in 1u32..40) {
        let NamedSettings { settings, .. } = read(&line);
        let (classes, tenants) = (settings.classes.len(), settings.tenants.len());
        let mut node = Node::new(settings, (0..servers).map(endpoint).collect());
        let (mut served, mut sent) = (0, 0);
        for n in 0..60u64 {
            let tenant = (tenants > 0).then(|| TenantId(n as usize % tenants.max(1)));
            let request = Request { tenant, key: (n % 3 > 0).then_some(Key(n)), ..request(n, n as usize % classes, n) };
            let actions = node.event(Event::Request(request));
            // One that a tenant sends past its quota may be rejected.
            sent += 1;
            if let Some(server) = sent_to(&actions) {
                node.end_attempt_after(n, 0, server, Outcome::Ok, 500);
                served += 1;
            } else {
                prop_assert!(rejected(&actions) || failed(&actions) || !actions.is_empty(), "held without a word");
            }
            node.advance(300_000);
        }
        prop_assert!(served == sent || tenants > 0, "{served} of {sent} served");
    }
}

// A value that can't be meant is refused by the name of its key.
#[test]
fn an_unlawful_figure_is_named() {
    for (key, value) in [
        ("classes.count", "20000"),
        ("classes.0.deadline", "soon"),
        ("classes.0.deadline", "-1"),
        ("classes.0.deadline", "18446744073709551615"),
        ("classes.0.aim", "99999999999999999999"),
        ("classes.0.key-ttl", "9000000000000000000"),
        ("classes.0.points", "inf"),
        ("classes.0.late-share", "NaN"),
        ("bounds.dial-timeout", "9000000000000000000"),
        ("bounds.max-attempts", "many"),
        ("rules.ramp-time", "9000000000000000000"),
        ("rules.fall-multiple", "x"),
        ("rules.ask-within", "9000000000000000000"),
        ("rules.overload-for", "9000000000000000000"),
        ("me", "-1"),
        ("bounds.max-retry-after", "9000000000000000000"),
        ("rules.settle-after-doubt", "9000000000000000000"),
        ("tenants.0.quota-per-s", "x"),
        ("tenants.count", "100001"),
    ] {
        let line =
            format!("classes.count=1 classes.0.semantics=keyed tenants.count=1 {key}={value}");
        let fault = parse(&Pairs::from_line(&line).unwrap())
            .err()
            .unwrap_or_else(|| panic!("{key}={value} is taken"));
        let text = fault.to_string();
        assert!(text.contains(key) && !text.contains('\n'), "{text}");
    }
}

fn read(line: &str) -> NamedSettings {
    parse(&Pairs::from_line(line).unwrap()).unwrap()
}

/// The settings' line of classes by their names, each with an aim of its own.
fn classes(named: &[(usize, u64)]) -> String {
    let mut line = format!("classes.count={}", named.len());
    for (n, (name, aim)) in named.iter().enumerate() {
        line +=
            &format!(" classes.{n}.name=c{name} classes.{n}.aim={aim} classes.{n}.deadline={aim}");
    }
    line
}

proptest! {
    // However settings follow each other: what a name meant keeps its place, names in service are the last settings',
    // each with its figures, and a module that went through all of them holds as many classes.
    #[test]
    fn places_last_through_any_succession(
        rounds in prop::collection::vec(prop::collection::btree_map(0usize..9, 1_000u64..SECOND, 1..7), 1..8)
    ) {
        let rounds: Vec<Vec<(usize, u64)>> = rounds.into_iter().map(|round| {
            // In another order each time.
            let mut round: Vec<(usize, u64)> = round.into_iter().collect();
            round.sort_by_key(|(name, aim)| (aim % 7, *name));
            round
        }).collect();
        let mut current = read(&classes(&rounds[0]));
        let mut node = Node::new(current.settings.clone(), (0..4).map(endpoint).collect());
        for (n, round) in rounds.iter().enumerate().skip(1) {
            let before = current.names.clone();
            current = reload(&current, read(&classes(round))).unwrap().settings;
            let NamedSettings { settings, names } = &current;
            prop_assert_eq!(settings.classes.len(), names.classes().len());
            prop_assert!(names.classes().starts_with(before.classes()));
            for name in 0..9 {
                let wanted = round.iter().find(|(known, _)| *known == name).map(|(_, aim)| *aim);
                let found = names.class(&format!("c{name}")).map(|place| settings.classes[place].latency_objective);
                prop_assert_eq!(found, wanted);
            }
            let actions = node.send_request(2 * n as u64, names.class(&format!("c{}", round[0].0)).unwrap(), 7);
            node.event(Event::Settings(Box::new(settings.clone())));
            prop_assert_eq!(node.send_request(2 * n as u64 + 1, settings.classes.len(), 7).len(), 1, "past the last");
            drop(actions);
        }
        let unchanged = reload(&current, read(&classes(rounds.last().unwrap()))).unwrap();
        prop_assert!(unchanged.changes.is_nothing() && unchanged.settings.settings == current.settings);
    }
}

// Guards against a reload that does not say what changed, what waits for a restart, or why it is refused.
#[test]
fn a_succession_says_what_is_different_and_what_it_will_not_have() {
    let current = read(&(classes(&[(0, 5), (1, 6), (2, 7)]) + " tenants.count=1 tenants.0.name=t"));
    let next =
        read(&(classes(&[(3, 1), (1, 8), (0, 5)]) + " registry-mode=ask bounds.max-attempts=4"));
    let said = reload(&current, next).unwrap().changes.to_string();
    assert_eq!(
        said,
        "classes 1 added, 1 altered, 1 withdrawn; tenants 0 added, 0 altered, 1 withdrawn; other figures altered; \
        registry-mode stays as it was until a restart"
    );
    let fault = reload(&current, read("group-size=2"))
        .unwrap_err()
        .to_string();
    assert_eq!(fault, "the settings name no class");
    let mut line = "classes.count=10000".to_owned();
    (0..10_000).for_each(|n| line += &format!(" classes.{n}.name=n{n}"));
    let fault = reload(&current, read(&line)).unwrap_err().to_string();
    assert!(
        fault.contains("10003 classes") && fault.contains("10000 at most"),
        "{fault}"
    );
}

// Guards against retrying a request in flight by the idempotency that its class got later.
#[test]
fn a_class_that_may_be_repeated_otherwise_has_another_place() {
    let line = |semantics: &str| {
        format!("classes.count=1 classes.0.name=c classes.0.semantics={semantics}")
    };
    let current = read(&line("unsafe"));
    let next = reload(&current, read(&line("safe"))).unwrap();
    let NamedSettings { settings, names } = &next.settings;
    assert_eq!((names.class("c"), settings.classes.len()), (Some(1), 2));
    assert_eq!(
        settings.classes[0].idempotency,
        Idempotency::NonIdempotent,
        "what is out under it stays unsafe"
    );
    assert_eq!(
        next.changes.to_string(),
        "classes 0 added, 1 altered, 0 withdrawn"
    );
    // And back: no index is added each time.
    let last = reload(&next.settings, read(&line("unsafe"))).unwrap();
    let NamedSettings { settings, names } = &last.settings;
    assert_eq!((names.class("c"), settings.classes.len()), (Some(0), 2));
}
