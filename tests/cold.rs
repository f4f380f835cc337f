//! Cold servers under the sum of a fleet: modules that share nothing but the settings, and what one cold
//! server gets from all of them together, whatever their traffic does.

mod common;

use std::collections::VecDeque;

use common::*;
use load_balancer::*;

const NODES: u32 = 300;
const SERVERS: u32 = 20;
/// Requests that a node is sent in a second, so that a warm server bears 30.
const A_SECOND: u64 = 2;
const COLD: ServerId = ServerId(3);

/// Nodes that know their traffic, and the keys that belong to the cold server and to others.
struct Fleet {
    nodes: Vec<Node>,
    own: Vec<u64>,
    others: Vec<u64>,
    asked: u64,
    /// When the cold server got its requests, since the fleet began.
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
        let mut plain = Node::fleet(SERVERS);
        let (mut own, mut others) = (Vec::new(), Vec::new());
        for key in 0..4_000 {
            let server = plain.place(key, SAFE, key);
            plain.close(key, 0, server, Outcome::Ok);
            if server == COLD {
                own.push(key)
            } else {
                others.push(key)
            }
        }
        let nodes =
            (0..NODES).map(|me| Node::new(deployment(me), (0..SERVERS).map(member).collect()));
        let mut fleet = Fleet {
            nodes: nodes.collect(),
            own,
            others,
            asked: 10_000,
            got: VecDeque::new(),
        };
        fleet.run(8);
        fleet
    }

    /// A request for a key at a node, answered at once.
    fn ask(&mut self, node: usize, key: u64) {
        self.asked += 1;
        let (n, node) = (self.asked, &mut self.nodes[node]);
        let server = sent(&node.ask(n, SAFE, key));
        let Some(server) = server else { return };
        if server == COLD {
            self.got.push_back(node.now);
        }
        node.close(n, 0, server, Outcome::Ok);
    }

    /// The usual traffic for some seconds, none of it for keys of the cold server.
    fn run(&mut self, seconds: u64) {
        for tenth in 0..10 * seconds {
            for node in 0..self.nodes.len() {
                if (tenth + node as u64).is_multiple_of(10 / A_SECOND) {
                    let key = self.others[(self.asked as usize * 7) % self.others.len()];
                    self.ask(node, key);
                }
                self.nodes[node].pass(100_000);
            }
        }
    }

    fn start(&mut self) -> Micros {
        let now = self.nodes[0].now;
        for node in &mut self.nodes {
            node.sync(
                UpdateKind::Delta,
                vec![Endpoint {
                    started_at: now,
                    ..member(COLD.0)
                }],
            );
        }
        self.got.clear();
        now
    }

    /// What the cold server got in the latest 3 s, and the most that is no fall, with 30 requests a
    /// second as what a warm server can do.
    fn window(&self, started: Micros) -> (f64, f64) {
        let now = self.nodes[0].now;
        let got = self
            .got
            .iter()
            .filter(|&&at| at + 3 * SECOND >= now)
            .count();
        let warmth = 0.13 + 0.87 * (now - started) as f64 / (23 * SECOND) as f64;
        let n = 3.0 * warmth * (f64::from(NODES) * A_SECOND as f64 / f64::from(SERVERS)) * 3.0;
        (got as f64, n + 2.0 * n.sqrt() + 2.0)
    }
}

const SAFE: usize = 0;

// Guards against what nodes save up together while no request of theirs is for the server: all of it was
// let go at once when such requests came.
#[test]
fn a_rush_finds_no_more_than_a_cold_server_bears() {
    let mut fleet = Fleet::new();
    let started = fleet.start();
    fleet.run(17);
    for node in 0..NODES as usize {
        for n in 0..2 {
            let key = fleet.own[(node * 2 + n) % fleet.own.len()];
            fleet.ask(node, key);
        }
    }
    let (got, most) = fleet.window(started);
    assert!(got <= most, "{got} of {most:.0} in 3 s");
    assert!(got > 60.0, "{got} is hardly any of {most:.0}");
}

// Guards against trials beside the budget: where probes are not allowed, each node tries an ejected
// server with a request, and all nodes together made that one request each.
#[test]
fn trials_of_an_ejected_cold_server_are_within_its_budget() {
    let mut fleet = Fleet::new();
    let started = fleet.start();
    for node in &mut fleet.nodes {
        let outcome = Outcome::ConnectFailed;
        node.event(Event::HealthCheckEnded {
            server: COLD,
            outcome,
            elapsed: 1_000,
            load_report: Vec::new(),
        });
    }
    fleet.run(3);
    for node in 0..NODES as usize {
        let key = fleet.own[node % fleet.own.len()];
        fleet.ask(node, key);
    }
    let (got, most) = fleet.window(started);
    assert!(got <= most, "{got} of {most:.0} in 3 s");
    assert!(got > 0.0, "nobody tried it");
}

// Guards against a second draw: what fell due before a process began was sent by the one before it.
#[test]
fn a_process_that_starts_anew_sends_no_second_part() {
    let mut fleet = Fleet::new();
    let started = fleet.start();
    fleet.run(4);
    let before = fleet.got.len();
    let now = fleet.nodes[0].now;
    for (me, node) in fleet.nodes.iter_mut().enumerate() {
        node.balancer = Balancer::new(deployment(me as u32), 1_000 + me as u64);
        let mut members: Vec<Endpoint> = (0..SERVERS).map(member).collect();
        members[COLD.0 as usize].started_at = started;
        node.now = now;
        node.sync(UpdateKind::Cached, members);
    }
    // Nothing goes out before a process knows its traffic; then all together send on from where they were.
    fleet.run(1);
    assert_eq!(fleet.got.len(), before);
    fleet.run(4);
    let (got, _) = fleet.window(started);
    // The budget of 3 s at an age of 6 to 9 s, 0.45 of what topples it, and as much less as the counts of
    // traffic are young.
    let budget = 0.45 * 3.0 * 30.0 * 3.0 * (0.13 + 0.87 * 7.5 / 23.0);
    assert!(got <= budget + 2.0, "{got} of {budget:.0}");
    assert!(got >= 0.5 * budget, "{got} of {budget:.0}");
}

// Guards against servers that none can warm: with all of them cold and no answer yet, a node that has just
// started had no measure of what they bear, and refused everything until they were warm.
#[test]
fn a_node_that_starts_among_cold_servers_serves() {
    let since = 100 * SECOND;
    let mut node = Node::new(
        Settings {
            node_count: 1,
            ..deployment(0)
        },
        (0..SERVERS)
            .map(|n| Endpoint {
                started_at: since,
                ..member(n)
            })
            .collect(),
    );
    let mut served = 0;
    for n in 0..1_000 {
        if let Some(server) = sent(&node.ask(n, SAFE, n)) {
            served += 1;
            node.close(n, 0, server, Outcome::Ok);
        }
        node.pass(if n % 10 == 0 { 100_000 } else { 0 });
    }
    assert!(served > 100, "{served} of 1000");
}
