//! Settings: a balancer serves requests under any valid settings, an error names the key of the invalid value,
//! and a reload keeps the indices of classes.

mod common;

use common::*;
use load_balancer::settings::{parse, reload, NamedSettings, Pairs};
use load_balancer::*;
use proptest::prelude::*;

/// The settings of a class, without the path of the class.
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
    let deadline = prop_oneof![
        1_000u64..400_000,
        400_000u64..20_000_000,
        Just(30 * 24 * 3_600 * SECOND)
    ];
    (
        semantics,
        deadline,
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

/// The settings of a deployment, as one line of pairs.
fn any_settings() -> impl Strategy<Value = String> {
    let classes = prop::collection::vec(any_class(), 1..9);
    let tenants = prop::collection::vec(0.0..1e5f64, 0..4);
    let flags = prop::array::uniform6(any::<bool>());
    let limits = (
        1u64..400,
        1u64..7,
        0u64..60 * SECOND,
        0.0..=1.0f64,
        0u64..100 * SECOND,
        0.1..10.0f64,
    );
    let costs_and_mode = (
        0.0..1.0f64,
        0.0..1.0f64,
        prop_oneof![Just("push"), Just("ask")],
    );
    (classes, tenants, flags, limits, costs_and_mode).prop_map(|(classes, tenants, flags, limits, costs_and_mode)| {
        let mut line = format!("classes.count={} tenants.count={} later.key=x", classes.len(), tenants.len());
        for (n, class) in classes.iter().enumerate() {
            class.split(' ').for_each(|pair| line += &format!(" classes.{n}.{pair}"));
            line += &format!(" classes.{n}.name=c{n}");
        }
        for (n, quota) in tenants.iter().enumerate() {
            line += &format!(" tenants.{n}.name=t{n} tenants.{n}.quota-per-s={quota}");
        }
        let [cancelling, probe, hedging, retry_after, key_affinity, may_have_run] = flags;
        let (nodes, attempts, connect_timeout, cold_capacity, slow_start, overload_factor) = limits;
        let (node_index, overload_window) = (nodes - 1, connect_timeout);
        let (setup_cost, connection_cost, mode) = costs_and_mode;
        line + &format!(
            " bounds.cancelling={cancelling} bounds.may-probe={probe} bounds.second-copies={hedging} \
            bounds.retry-after={retry_after} domain.warm-keys={key_affinity} rules.may-shed-begun={may_have_run} \
            group-size={nodes} bounds.max-attempts={attempts} bounds.dial-timeout={connect_timeout} \
            rules.start-capacity={cold_capacity} rules.ramp-time={slow_start} rules.fall-multiple={overload_factor} \
            rules.overload-for={overload_window} me={node_index} deductions.handshake={setup_cost} \
            deductions.connection={connection_cost} registry-mode={mode}"
        )
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    // Where servers answer within 500 us, each request is sent and served, whatever the valid settings.
    // Guards against extreme values that crash the node: a deadline of 10^18 us did so at the first request.
    #[test]
    fn a_balancer_serves_under_any_valid_settings(line in any_settings(), servers in 1u32..40) {
        let NamedSettings { settings, .. } = read(&line);
        let (classes, tenants) = (settings.classes.len(), settings.tenants.len());
        let mut node = Node::new(settings, (0..servers).map(endpoint).collect());
        let (mut served, mut sent) = (0, 0);
        for n in 0..60u64 {
            let tenant = (tenants > 0).then(|| TenantId(n as usize % tenants.max(1)));
            let request = Request { tenant, key: (n % 3 > 0).then_some(Key(n)), ..request(n, n as usize % classes, n) };
            let actions = node.event(Event::Request(request));
            // Without tenants, each request must be served; one over its tenant's quota may be rejected.
            sent += 1;
            if let Some(server) = sent_to(&actions) {
                node.end_attempt_after(n, 0, server, Outcome::Ok, 500);
                served += 1;
            } else {
                prop_assert!(
                    rejected(&actions) || failed(&actions) || !actions.is_empty(),
                    "no action for request {n}"
                );
            }
            node.advance(300_000);
        }
        prop_assert!(served == sent || tenants > 0, "{served} of {sent} served");
    }
}

// A value that is malformed, not finite or out of range is rejected with one line that names its key.
#[test]
fn an_invalid_value_is_rejected_with_the_name_of_its_key() {
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
        let error = parse(&Pairs::from_line(&line).unwrap())
            .err()
            .unwrap_or_else(|| panic!("{key}={value} was accepted"));
        let text = error.to_string();
        assert!(text.contains(key) && !text.contains('\n'), "{text}");
    }
}

fn read(line: &str) -> NamedSettings {
    parse(&Pairs::from_line(line).unwrap()).unwrap()
}

/// The settings of classes, as one line of pairs. Each class has a number in its name, and a latency objective,
/// which is its deadline too.
fn classes(named: &[(usize, u64)]) -> String {
    let mut line = format!("classes.count={}", named.len());
    for (n, (name, aim)) in named.iter().enumerate() {
        line +=
            &format!(" classes.{n}.name=c{name} classes.{n}.aim={aim} classes.{n}.deadline={aim}");
    }
    line
}

proptest! {
    // After any sequence of reloads, names keep the indices they had, the names in use are those of the last settings,
    // each with its values, and a balancer that received every reload knows as many classes.
    #[test]
    fn classes_keep_their_indices_through_any_sequence_of_reloads(
        rounds in prop::collection::vec(prop::collection::btree_map(0usize..9, 1_000u64..SECOND, 1..7), 1..8)
    ) {
        let rounds: Vec<Vec<(usize, u64)>> = rounds.into_iter().map(|round| {
            // The classes are in a different order in each round.
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
                let found = names.class(&format!("c{name}")).map(|index| settings.classes[index].latency_objective);
                prop_assert_eq!(found, wanted);
            }
            let actions = node.send_request(2 * n as u64, names.class(&format!("c{}", round[0].0)).unwrap(), 7);
            node.event(Event::Settings(Box::new(settings.clone())));
            let actions_past_last = node.send_request(2 * n as u64 + 1, settings.classes.len(), 7).len();
            prop_assert_eq!(actions_past_last, 1, "a class index past the last is rejected");
            drop(actions);
        }
        let unchanged = reload(&current, read(&classes(rounds.last().unwrap()))).unwrap();
        prop_assert!(unchanged.changes.is_nothing() && unchanged.settings.settings == current.settings);
    }
}

// Guards against a reload that does not log what changed, what needs a restart, or why it was rejected.
#[test]
fn a_reload_states_its_changes_or_why_it_is_rejected() {
    let current = read(&(classes(&[(0, 5), (1, 6), (2, 7)]) + " tenants.count=1 tenants.0.name=t"));
    let next =
        read(&(classes(&[(3, 1), (1, 8), (0, 5)]) + " registry-mode=ask bounds.max-attempts=4"));
    let changes = reload(&current, next).unwrap().changes.to_string();
    assert_eq!(
        changes,
        "classes 1 added, 1 altered, 1 withdrawn; tenants 0 added, 0 altered, 1 withdrawn; other settings altered; \
        registry-mode stays as it was until a restart"
    );
    let error = reload(&current, read("group-size=2"))
        .unwrap_err()
        .to_string();
    assert_eq!(error, "the settings name no class");
    let mut line = "classes.count=10000".to_owned();
    (0..10_000).for_each(|n| line += &format!(" classes.{n}.name=n{n}"));
    let error = reload(&current, read(&line)).unwrap_err().to_string();
    assert!(
        error.contains("10003 classes") && error.contains("10000 at most"),
        "{error}"
    );
}

// Guards against retrying a request in flight by the idempotency that its class got in a later reload.
#[test]
fn a_class_whose_idempotency_changes_gets_another_index() {
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
        "requests in flight under the old index stay non-idempotent"
    );
    assert_eq!(
        next.changes.to_string(),
        "classes 0 added, 1 altered, 0 withdrawn"
    );
    // Changing the idempotency back reuses the old index and adds none.
    let last = reload(&next.settings, read(&line("unsafe"))).unwrap();
    let NamedSettings { settings, names } = &last.settings;
    assert_eq!((names.class("c"), settings.classes.len()), (Some(0), 2));
}
