//! Slow start over a fleet of nodes: what one warming server gets from all nodes together, which share
//! nothing but the settings, whatever their traffic is.

mod common;

use std::collections::VecDeque;

use common::*;
use load_balancer::*;

const NODES: u32 = 300;
const SERVERS: u32 = 20;
/// Requests a second at each node: a warm server serves 30.
const REQUESTS_PER_SECOND: u64 = 2;
const WARMING: ServerId = ServerId(3);

/// Nodes past their learning period, and the keys that belong to the warming server and to other_keys.
struct Fleet {
    nodes: Vec<Node>,
    own_keys: Vec<u64>,
    other_keys: Vec<u64>,
    request_count: u64,
    /// When the warming server got its requests, since it started.
    got: VecDeque<Micros>,
}

fn deployment(me: u32) -> Settings {
    Settings {
        node_count: NODES,
        node_index: Some(me),
        cold_capacity: 0.13,
        slow_start_time: 23 * SECOND,
        ..settings()
    }
}

impl Fleet {
    fn new() -> Fleet {
        let mut plain = Node::with_servers(SERVERS);
        let (mut own_keys, mut other_keys) = (Vec::new(), Vec::new());
        for key in 0..4_000 {
            let server = plain.route(key, IDEMPOTENT, key);
            plain.end_attempt(key, 0, server, Outcome::Ok);
            if server == WARMING {
                own_keys.push(key)
            } else {
                other_keys.push(key)
            }
        }
        let nodes =
            (0..NODES).map(|me| Node::new(deployment(me), (0..SERVERS).map(endpoint).collect()));
        let mut fleet = Fleet {
            nodes: nodes.collect(),
            own_keys,
            other_keys,
            request_count: 10_000,
            got: VecDeque::new(),
        };
        fleet.run(8);
        fleet
    }

    /// A request for a key at a node, answered at once.
    fn send_request(&mut self, node: usize, key: u64) {
        self.request_count += 1;
        let (n, node) = (self.request_count, &mut self.nodes[node]);
        let server = sent_to(&node.send_request(n, IDEMPOTENT, key));
        let Some(server) = server else { return };
        if server == WARMING {
            self.got.push_back(node.now);
        }
        node.end_attempt(n, 0, server, Outcome::Ok);
    }

    /// The usual traffic for some seconds, none of it for keys of the warming server.
    fn run(&mut self, seconds: u64) {
        for tenth in 0..10 * seconds {
            for node in 0..self.nodes.len() {
                if (tenth + node as u64).is_multiple_of(10 / REQUESTS_PER_SECOND) {
                    let key =
                        self.other_keys[(self.request_count as usize * 7) % self.other_keys.len()];
                    self.send_request(node, key);
                }
                self.nodes[node].advance(100_000);
            }
        }
    }

    fn start(&mut self) -> Micros {
        let now = self.nodes[0].now;
        for node in &mut self.nodes {
            node.update_endpoints(
                UpdateKind::Delta,
                vec![Endpoint {
                    started_at: now,
                    ..endpoint(WARMING.0)
                }],
            );
        }
        self.got.clear();
        now
    }

    /// What the warming server got in the latest 3 s, and the most that does not overload it, where a
    /// warm server serves 30 requests a second.
    fn window(&self, started: Micros) -> (f64, f64) {
        let now = self.nodes[0].now;
        let got = self
            .got
            .iter()
            .filter(|&&at| at + 3 * SECOND >= now)
            .count();
        let warm_up = 0.13 + 0.87 * (now - started) as f64 / (23 * SECOND) as f64;
        let n = 3.0
            * warm_up
            * (f64::from(NODES) * REQUESTS_PER_SECOND as f64 / f64::from(SERVERS))
            * 3.0;
        (got as f64, n + 2.0 * n.sqrt() + 2.0)
    }
}

const IDEMPOTENT: usize = 0;

// Guards against saved budgets: nodes without a request for the server saved up attempts, and all were sent
// at once when such requests came.
#[test]
fn a_burst_of_requests_does_not_overload_a_warming_server() {
    let mut fleet = Fleet::new();
    let started = fleet.start();
    fleet.run(17);
    for node in 0..NODES as usize {
        for n in 0..2 {
            let key = fleet.own_keys[(node * 2 + n) % fleet.own_keys.len()];
            fleet.send_request(node, key);
        }
    }
    let (got, most) = fleet.window(started);
    assert!(got <= most, "{got} of {most:.0} in 3 s");
    assert!(got > 60.0, "{got} is hardly any of {most:.0}");
}

// Guards against trials outside the budget: without health checks each node tries an ejected server with a
// request, and all nodes together sent one each.
#[test]
fn trials_of_an_ejected_warming_server_are_within_its_budget() {
    let mut fleet = Fleet::new();
    let started = fleet.start();
    for node in &mut fleet.nodes {
        let outcome = Outcome::ConnectFailed;
        node.event(Event::HealthCheckEnded {
            server: WARMING,
            outcome,
            elapsed: 1_000,
            load_report: Vec::new(),
        });
    }
    fleet.run(3);
    for node in 0..NODES as usize {
        let key = fleet.own_keys[node % fleet.own_keys.len()];
        fleet.send_request(node, key);
    }
    let (got, most) = fleet.window(started);
    assert!(got <= most, "{got} of {most:.0} in 3 s");
    assert!(got > 0.0, "no node tried it");
}

// Guards against sending twice: the attempts due before a process started were sent by the previous one.
#[test]
fn a_restarted_node_does_not_send_a_second_first_attempt() {
    let mut fleet = Fleet::new();
    let started = fleet.start();
    fleet.run(4);
    let before = fleet.got.len();
    let now = fleet.nodes[0].now;
    for (me, node) in fleet.nodes.iter_mut().enumerate() {
        node.balancer = Balancer::new(deployment(me as u32), 1_000 + me as u64);
        let mut endpoints: Vec<Endpoint> = (0..SERVERS).map(endpoint).collect();
        endpoints[WARMING.0 as usize].started_at = started;
        node.now = now;
        node.update_endpoints(UpdateKind::Cached, endpoints);
    }
    // Nothing is sent in the learning period; then all nodes continue where they were.
    fleet.run(1);
    assert_eq!(fleet.got.len(), before);
    fleet.run(4);
    let (got, _) = fleet.window(started);
    // The budget of 3 s at an age of 6 to 9 s, 0.45 of what overloads it, and less as the counts of traffic
    // have just started.
    let budget = 0.45 * 3.0 * 30.0 * 3.0 * (0.13 + 0.87 * 7.5 / 23.0);
    assert!(got <= budget + 2.0, "{got} of {budget:.0}");
    assert!(got >= 0.5 * budget, "{got} of {budget:.0}");
}

// Guards against a standstill: with all servers warming up and no answer yet, a node that has just started
// did not know what they can serve, and rejected everything until they were warm.
#[test]
fn a_node_that_starts_among_warming_servers_serves() {
    let since = 100 * SECOND;
    let mut node = Node::new(
        Settings {
            node_count: 1,
            ..deployment(0)
        },
        (0..SERVERS)
            .map(|n| Endpoint {
                started_at: since,
                ..endpoint(n)
            })
            .collect(),
    );
    let mut served = 0;
    for n in 0..1_000 {
        if let Some(server) = sent_to(&node.send_request(n, IDEMPOTENT, n)) {
            served += 1;
            node.end_attempt(n, 0, server, Outcome::Ok);
        }
        node.advance(if n % 10 == 0 { 100_000 } else { 0 });
    }
    assert!(served > 100, "{served} of 1000");
}
