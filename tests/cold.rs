//! Slow start over a fleet: how much a warming server gets from all nodes together. The nodes run in this
//! process and share nothing but the settings.

mod common;

use std::collections::VecDeque;

use common::*;
use load_balancer::*;

const NODES: u32 = 300;
const SERVERS: u32 = 20;
/// Requests per second at each node, so that a warm server gets 30 per second from all nodes.
const REQUESTS_PER_SECOND: u64 = 2;
const WARMING: ServerId = ServerId(3);

/// Nodes that are past their learning period.
struct Fleet {
    nodes: Vec<Node>,
    /// Keys whose slots the warming server owns.
    own_keys: Vec<u64>,
    /// Keys whose slots other servers own.
    other_keys: Vec<u64>,
    request_count: u64,
    /// The times at which the warming server got requests since its start.
    arrivals: VecDeque<Micros>,
}

fn node_settings(node_index: u32) -> Settings {
    Settings {
        node_count: NODES,
        node_index: Some(node_index),
        cold_capacity: 0.13,
        slow_start_time: 23 * SECOND,
        ..settings()
    }
}

impl Fleet {
    fn new() -> Fleet {
        let mut probe = Node::with_servers(SERVERS);
        let (mut own_keys, mut other_keys) = (Vec::new(), Vec::new());
        for key in 0..4_000 {
            let server = probe.route(key, IDEMPOTENT, key);
            probe.end_attempt(key, 0, server, Outcome::Ok);
            if server == WARMING {
                own_keys.push(key)
            } else {
                other_keys.push(key)
            }
        }
        let nodes = (0..NODES)
            .map(|index| Node::new(node_settings(index), (0..SERVERS).map(endpoint).collect()));
        let mut fleet = Fleet {
            nodes: nodes.collect(),
            own_keys,
            other_keys,
            request_count: 10_000,
            arrivals: VecDeque::new(),
        };
        fleet.run(8);
        fleet
    }

    /// Sends a request with a key to a node. The server answers at once.
    fn send_request(&mut self, node: usize, key: u64) {
        self.request_count += 1;
        let (n, node) = (self.request_count, &mut self.nodes[node]);
        let server = sent_to(&node.send_request(n, IDEMPOTENT, key));
        let Some(server) = server else { return };
        if server == WARMING {
            self.arrivals.push_back(node.now);
        }
        node.end_attempt(n, 0, server, Outcome::Ok);
    }

    /// Sends the usual traffic for some seconds, without keys of the warming server.
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

    /// Starts the warming server's process, as the endpoint list tells all nodes; returns the time.
    fn restart_server(&mut self) -> Micros {
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
        self.arrivals.clear();
        now
    }

    /// The number of requests that the warming server got in the latest 3 s, and the largest number that does
    /// not overload it, with an allowance for chance.
    fn window(&self, started: Micros) -> (f64, f64) {
        let now = self.nodes[0].now;
        let got = self
            .arrivals
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

// Guards against budgets that accumulate: nodes without requests for the server's keys saved up attempts, and
// sent all of them at once when such requests came.
#[test]
fn a_burst_of_requests_does_not_overload_a_warming_server() {
    let mut fleet = Fleet::new();
    let started = fleet.restart_server();
    fleet.run(17);
    for node in 0..NODES as usize {
        for n in 0..2 {
            let key = fleet.own_keys[(node * 2 + n) % fleet.own_keys.len()];
            fleet.send_request(node, key);
        }
    }
    let (got, most) = fleet.window(started);
    assert!(got <= most, "{got} of {most:.0} in 3 s");
    assert!(got > 60.0, "only {got} of {most:.0} in 3 s");
}

// Guards against trials outside the budget. Without health checks, a node tries an ejected server with a
// request; trials of all nodes at the same time overloaded it.
#[test]
fn trials_of_an_ejected_warming_server_are_within_its_budget() {
    let mut fleet = Fleet::new();
    let started = fleet.restart_server();
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
    assert!(got > 0.0, "no node made a trial");
}

// Guards against sending a warming server twice its budget when nodes restart: the attempts that were due
// before a node's process started have been sent by its previous process.
#[test]
fn restarted_nodes_continue_the_budgets_of_their_previous_processes() {
    let mut fleet = Fleet::new();
    let started = fleet.restart_server();
    fleet.run(4);
    let before = fleet.arrivals.len();
    let now = fleet.nodes[0].now;
    for (index, node) in fleet.nodes.iter_mut().enumerate() {
        node.balancer = Balancer::new(node_settings(index as u32), 1_000 + index as u64);
        let mut endpoints: Vec<Endpoint> = (0..SERVERS).map(endpoint).collect();
        endpoints[WARMING.0 as usize].started_at = started;
        node.now = now;
        node.update_endpoints(UpdateKind::Cached, endpoints);
    }
    // In the learning period nothing is sent to the server. Afterwards the nodes continue with its budget.
    fleet.run(1);
    assert_eq!(fleet.arrivals.len(), before);
    fleet.run(4);
    let (got, _) = fleet.window(started);
    // The budget for 3 s, 6 to 9 s after the server's start, is 0.45 of what overloads it. The nodes send
    // less than that, as their counts of traffic have just started.
    let budget = 0.45 * 3.0 * 30.0 * 3.0 * (0.13 + 0.87 * 7.5 / 23.0);
    assert!(got <= budget + 2.0, "{got} of {budget:.0}");
    assert!(got >= 0.5 * budget, "{got} of {budget:.0}");
}

// Guards against a node that rejects everything until the servers are warm: with all servers warming up, a
// node that had just started and had no answers yet did not know how much they could serve.
#[test]
fn a_node_that_starts_while_all_servers_warm_up_serves_requests() {
    let since = 100 * SECOND;
    let mut node = Node::new(
        Settings {
            node_count: 1,
            ..node_settings(0)
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
