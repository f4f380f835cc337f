//! Slow start: how much one node sends to a server that is warming up.

use super::*;

/// Updates the endpoint list so that the server's process has just started.
fn restart(node: &mut Node, server: ServerId) {
    let restarted = Endpoint {
        started_at: node.now,
        ..endpoint(server.0)
    };
    node.update_endpoints(UpdateKind::Delta, vec![restarted]);
}

// Guards against sending all keys of a server to it right after its start, and against a server that does not
// get its keys once it is warm.
#[test]
fn a_warming_server_starts_with_few_keys_and_ends_with_its_share() {
    let mut endpoints: Vec<Endpoint> = (0..4).map(endpoint).collect();
    endpoints[0].started_at = 100 * SECOND;
    let mut node = Node::new(settings(), endpoints);
    let requests_sent = |node: &mut Node, base: u64| {
        let mut warming = 0;
        for key in 0..1000 {
            let server = node.route(base + key, IDEMPOTENT, key);
            warming += u32::from(server == ServerId(0));
            node.end_attempt(base + key, 0, server, Outcome::Ok);
        }
        warming
    };
    let at_start = requests_sent(&mut node, 0);
    node.now += 11 * SECOND;
    let warm = requests_sent(&mut node, 10_000);
    assert!(
        at_start < warm / 5,
        "{at_start} of a thousand at first, {warm} when warm"
    );
    assert!(warm > 150);
}

// Guards against overloading a warming server with the requests of its slots, among them those of a hot key.
// Its budget follows from what warm servers of its weight are sent.
#[test]
fn a_warming_server_gets_no_more_than_its_budget() {
    let mut node = Node::with_servers(4);
    let owner = node.route(1, NON_IDEMPOTENT, 5);
    node.end_attempt(1, 0, owner, Outcome::Ok);
    restart(&mut node, owner);
    let mut counts = [0u32; 4];
    for n in 0..2_000 {
        node.advance(if n % 10 == 0 { 100_000 } else { 0 });
        node.now = node.now.min(110 * SECOND);
        let key = if n % 2 == 0 { 5 } else { n };
        let server = node.route(10 + n, NON_IDEMPOTENT, key);
        counts[server.0 as usize] += 1;
        node.end_attempt(10 + n, 0, server, Outcome::Ok);
    }
    let warming = counts[owner.0 as usize];
    assert!(
        warming > 20,
        "it gets some requests while it warms up: {counts:?}"
    );
    assert!(warming < 2_000 / 4, "{counts:?}");
}

// Guards against a warming server that gets hardly any requests because each node has little traffic: few of
// a node's requests have a slot of that server.
#[test]
fn a_node_with_little_traffic_uses_the_budget_of_a_warming_server() {
    let mut sent_to = 0;
    for seed in 0..30 {
        let settings = Settings {
            slow_start_time: 100 * SECOND,
            ..settings()
        };
        let mut node = Node::new(settings.clone(), vec![]);
        node.balancer = Balancer::new(settings, seed);
        node.update_endpoints(UpdateKind::Cached, (0..20).map(endpoint).collect());
        for n in 0..400 {
            if n == 100 {
                restart(&mut node, ServerId(7));
            }
            let server = node.route(n, NON_IDEMPOTENT, n);
            node.end_attempt(n, 0, server, Outcome::Ok);
            node.advance(100_000);
            sent_to += u32::from(n > 100 && server == ServerId(7));
        }
    }
    assert!(sent_to > 120, "{sent_to}");
}

// Guards against a budget that grows because a warming server answers fast: it is sent what the time since
// its start allows. One that answers slowly is sent less.
#[test]
fn a_fast_warming_server_is_sent_no_more_than_its_age_allows() {
    let requests_sent = |elapsed: Micros| {
        let mut node = Node::with_servers(4);
        let warming = ServerId(1);
        let mut first = 0;
        let mut got = 0;
        for tenth in 0..70 {
            if tenth == 10 {
                restart(&mut node, warming);
            }
            for n in first..first + 10 {
                let server = node.route(n, 0, n);
                got += u32::from(tenth >= 40 && server == warming);
                let elapsed = if tenth >= 10 && server == warming {
                    elapsed
                } else {
                    20_000
                };
                node.end_attempt_after(n, 0, server, Outcome::Ok, elapsed);
            }
            first += 10;
            node.advance(100_000);
        }
        got
    };
    let (fast, slow) = (requests_sent(20_000), requests_sent(60_000));
    // An even share would be 75 of 300 requests. The time since its start allows 57 in these 3 s, and what
    // the budget gained in the 1.5 s before.
    assert!((50..=64).contains(&fast), "{fast}");
    assert!((1..=45).contains(&slow), "{slow}");
}

// Guards against a warming server that is overloaded by attempts which were decided one by one and arrive together: their
// connections came up late. The wait is the longest of the platform, and so is the window over which overload is counted.
#[test]
fn late_connections_bring_a_warming_server_no_more_than_its_budget() {
    const LONGEST_WAIT: Micros = 1_500_000;
    const REQUESTS_PER_TENTH: u64 = 20;
    let settings = settings();
    let window = settings.cold_overload_window;
    let mut node = Node::with_servers(4);
    let warming = ServerId(1);
    let (mut number, mut sent_at) = (0, Vec::new());
    let mut run = |node: &mut Node, tenths: u64| {
        for _ in 0..tenths {
            for _ in 0..REQUESTS_PER_TENTH {
                number += 1;
                let server = node.route(number, IDEMPOTENT, number);
                if server == warming {
                    sent_at.push(node.now);
                }
                node.end_attempt(number, 0, server, Outcome::Ok);
            }
            node.advance(100_000);
        }
        std::mem::take(&mut sent_at)
    };
    run(&mut node, 100);
    let warm_rate = run(&mut node, 100).len() as f64 / 10.0;
    let started_at = node.now;
    restart(&mut node, warming);
    let sent_at = run(&mut node, 80);
    let worst = sent_at.iter().map(|&begin| {
        let age = (begin - started_at) as f64 / settings.slow_start_time as f64;
        let capacity = settings.cold_capacity + (1.0 - settings.cold_capacity) * age;
        let seconds = window as f64 / SECOND as f64;
        let budget = settings.cold_overload_factor * capacity * warm_rate * seconds;
        let arrives = |&&at: &&Micros| at + LONGEST_WAIT >= begin && at < begin + window;
        let arrived = sent_at.iter().filter(arrives).count() as f64;
        arrived / (budget + 2.0 * budget.sqrt() + 2.0)
    });
    let worst = worst.fold(0.0, f64::max);
    println!("{worst:.2} of the budget at the most");
    assert!(sent_at.len() > 50, "{} attempts", sent_at.len());
    assert!(worst <= 1.0, "{worst:.2} of the budget");
}
