//! Slow start with 30 real node processes, which share nothing but their settings. Half of the servers
//! restart one after the other, while all nodes are restarted one after the other too, under uneven traffic
//! and a burst. The test counts the requests that each warming server gets from all processes together.
//!
//! To see the test fail, `BALANCER_TEST_NODE_SETTINGS` can hold settings as JSON that replace those of the
//! nodes but not those that the test expects:
//!
//!     BALANCER_TEST_NODE_SETTINGS='{"group-size": 1}' cargo test --test cold_fleet -- --nocapture
//!
//! This is a test program of its own, because its processes would take processor time from the other tests of
//! the node.

mod common;

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitStatus;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use common::discovery_server::DiscoveryServer;
use common::environment;
use common::http::*;
use common::node_fixture::*;
use common::stand_ins::*;

/// Environment variable with settings as JSON that replace those of the nodes, and its former name.
const SETTINGS_VARIABLE: &str = "BALANCER_TEST_NODE_SETTINGS";
const FORMER_SETTINGS_VARIABLE: &str = "WOODGAP_COLD_TOLD";

const NODES: usize = 30;
const SERVERS: usize = 120;
/// Requests per second and server before the burst, and the fraction of a warm server's capacity that this
/// is.
const REQUESTS_PER_SECOND: f64 = 2.0;
const LOAD: f64 = 0.7;
/// The burst multiplies the rate of requests by this.
const BURST_FACTOR: f64 = 1.5;

/// The slow start of the servers, by the settings: a server starts with this fraction of its capacity and has
/// all of it after the slow-start time. It is overloaded if it gets more than the overload factor times its
/// present capacity within the window.
const COLD_CAPACITY: f64 = 0.13;
const SLOW_START_TIME: Duration = Duration::from_secs(23);
const OVERLOAD_FACTOR: f64 = 3.0;
const OVERLOAD_WINDOW: Duration = Duration::from_secs(3);
/// All nodes together may send a warming server this fraction of the load that overloads it (`SAFE_LOAD` in
/// `balancer/slow_start.rs`).
const SAFE_LOAD: f64 = 0.45;

/// Time in which the nodes learn their traffic, and the time after it in which servers and nodes restart.
const LEARNING_TIME: Duration = Duration::from_secs(3);
const RESTART_TIME: Duration = Duration::from_secs(8);
/// Times from the first restart of a server to the burst and to the end of the test.
const BURST_AFTER: Duration = Duration::from_secs(4);
const END_AFTER: Duration = Duration::from_secs(13);
/// Time for which the old and the new process of a node both take requests.
const OVERLAP: Duration = Duration::from_millis(500);

/// A node's traffic as a multiple of the mean of all nodes: most get half of it, some several times the mean.
fn traffic_factor(node: usize) -> f64 {
    [0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 1.0, 1.0, 4.5][node % 10]
}

/// The state that the clients of all nodes share.
#[derive(Clone, Default)]
struct Load {
    /// Whether the burst has begun.
    burst: Arc<AtomicBool>,
    /// Whether the clients must stop.
    stop: Arc<AtomicBool>,
    /// Number of requests sent.
    sent: Arc<AtomicUsize>,
    /// Number of requests answered with status 200.
    served: Arc<AtomicUsize>,
}

/// The clients of one node. They send requests at even intervals, to each process of the node in turn.
struct Clients {
    node: usize,
    processes: Arc<Mutex<Vec<SocketAddr>>>,
    load: Load,
}

impl Clients {
    fn run(self) {
        let mut rng = fastrand::Rng::with_seed(self.node as u64);
        let mut connections: HashMap<SocketAddr, BufReader<TcpStream>> = HashMap::new();
        let rate = REQUESTS_PER_SECOND * (SERVERS / NODES) as f64 * traffic_factor(self.node);
        let mut due = Instant::now() + Duration::from_secs_f64(rng.f64() / rate);
        for n in 0.. {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if self.load.stop.load(Ordering::Relaxed) {
                return;
            }
            let burst = if self.load.burst.load(Ordering::Relaxed) {
                BURST_FACTOR
            } else {
                1.0
            };
            due += Duration::from_secs_f64(1.0 / (rate * burst));
            let processes = self.processes.lock().unwrap().clone();
            connections.retain(|addr, _| processes.contains(addr));
            let addr = processes[n % processes.len()];
            // A tenth of the requests have one of 50 keys, which are therefore hot.
            let key = if rng.f64() < 0.1 {
                rng.u64(0..50)
            } else {
                rng.u64(0..1 << 30)
            };
            let class = if rng.f64() < 0.4 { "pay" } else { "look" };
            let id = format!("{}-{n}", self.node);
            let request = request_with_key(class, &id, 4_000, key);
            self.load.sent.fetch_add(1, Ordering::Relaxed);
            let connection = connections
                .entry(addr)
                .or_insert_with(|| BufReader::new(connect(addr)));
            let written = connection.get_mut().write_all(&request);
            match written.ok().and_then(|()| Message::read(connection)) {
                Some(answer) if answer.status() == 200 => {
                    self.load.served.fetch_add(1, Ordering::Relaxed);
                }
                Some(_) => {}
                None => {
                    connections.remove(&addr);
                }
            }
        }
    }
}

/// The configuration of a node, with the present endpoint list.
fn config(node: usize, process: usize, discovery_server: &DiscoveryServer) -> Value {
    let listing = discovery_server.listing.lock().unwrap();
    let mut config = plain_config(discovery_server.addr, &listing.members);
    config["name"] = json!(format!("n{node}"));
    config["seed"] = json!(1 + process);
    config["known"]["revision"] = json!(listing.revision);
    let settings = &mut config["settings"];
    settings["group-size"] = json!(NODES);
    settings["me"] = json!(node);
    settings["registry-mode"] = json!("push");
    for class in settings["classes"].as_array_mut().unwrap() {
        class["aim"] = json!(1_000_000);
        class["deadline"] = json!(4_000_000);
    }
    let micros = |span: Duration| json!(span.as_micros() as u64);
    settings["domain"] = json!({"warm-keys": true});
    settings["rules"]["start-capacity"] = json!(COLD_CAPACITY);
    settings["rules"]["ramp-time"] = micros(SLOW_START_TIME);
    settings["rules"]["fall-multiple"] = json!(OVERLOAD_FACTOR);
    settings["rules"]["overload-for"] = micros(OVERLOAD_WINDOW);
    if let Some(text) = environment::variable(SETTINGS_VARIABLE, FORMER_SETTINGS_VARIABLE) {
        let replaced: Value = serde_json::from_str(&text).expect("settings as JSON");
        merge(settings, &replaced);
    }
    config
}

fn merge(into: &mut Value, from: &Value) {
    match from.as_object() {
        Some(from) => from
            .iter()
            .for_each(|(key, value)| merge(&mut into[key], value)),
        None => *into = from.clone(),
    }
}

fn start_process(config: &Value) -> (ChildGuard, SocketAddr) {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(config.to_string().as_bytes()).unwrap();
    let (node, addr, _, _) = start_logged(file.path(), None, &[]);
    (ChildGuard(node), addr)
}

fn warm_up(age: Duration) -> f64 {
    (COLD_CAPACITY + (1.0 - COLD_CAPACITY) * age.as_secs_f64() / SLOW_START_TIME.as_secs_f64())
        .min(1.0)
}

/// The requests that a server got in one window.
#[derive(Clone, Copy)]
struct Window {
    count: f64,
    /// The number above which the server is overloaded in this window.
    limit: f64,
}

impl Window {
    const EMPTY: Window = Window {
        count: 0.0,
        limit: 1.0,
    };

    /// The limit with an allowance for chance.
    fn max_count(self) -> f64 {
        self.limit + 2.0 * self.limit.sqrt() + 2.0
    }

    /// The count as a fraction of `max_count`.
    fn fullness(self) -> f64 {
        self.count / self.max_count()
    }
}

/// What one warming server got since its restart.
struct WarmingServer {
    fullest: Window,
    requests: f64,
}

impl WarmingServer {
    fn of(began: Instant, arrivals: &[Instant]) -> WarmingServer {
        let since: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= began).collect();
        let mut warming = WarmingServer {
            fullest: Window::EMPTY,
            requests: since.len() as f64,
        };
        for (end, &at) in since.iter().enumerate() {
            let first = since.partition_point(|other| *other + OVERLOAD_WINDOW < at);
            let window = Window {
                count: (end + 1 - first) as f64,
                limit: OVERLOAD_FACTOR * REQUESTS_PER_SECOND / LOAD
                    * warm_up(at - began)
                    * OVERLOAD_WINDOW.as_secs_f64(),
            };
            if window.fullness() > warming.fullest.fullness() {
                warming.fullest = window;
            }
        }
        warming
    }
}

/// The number of requests that all nodes together may send to a server from its start to the end of the test.
fn budget(began: Instant, burst: Instant, end: Instant) -> f64 {
    let step = Duration::from_millis(50);
    let steps = (end - began).as_millis() / step.as_millis();
    let budget_of_step = |n: u128| {
        let age = step * n as u32;
        let rate = if began + age < burst {
            REQUESTS_PER_SECOND
        } else {
            BURST_FACTOR * REQUESTS_PER_SECOND
        };
        SAFE_LOAD * OVERLOAD_FACTOR * rate * warm_up(age) * step.as_secs_f64()
    };
    (0..steps).map(budget_of_step).sum()
}

/// The processes of all nodes.
struct Nodes {
    /// For each node, its latest process that has taken over.
    processes: Vec<ChildGuard>,
    /// For each node, the addresses that its clients use in turn.
    addresses: Vec<Arc<Mutex<Vec<SocketAddr>>>>,
    /// By node, the new process while the old one takes requests too.
    successors: HashMap<usize, ChildGuard>,
    /// The threads that wait for the exit of old processes.
    exits: Vec<JoinHandle<ExitStatus>>,
}

impl Nodes {
    fn start(discovery_server: &DiscoveryServer) -> Nodes {
        let starters: Vec<_> = (0..NODES)
            .map(|node| {
                let config = config(node, node, discovery_server);
                thread::spawn(move || start_process(&config))
            })
            .collect();
        let mut nodes = Nodes {
            processes: Vec::new(),
            addresses: Vec::new(),
            successors: HashMap::new(),
            exits: Vec::new(),
        };
        for starter in starters {
            let (process, addr) = starter.join().expect("the node starts");
            nodes.processes.push(process);
            nodes.addresses.push(Arc::new(Mutex::new(vec![addr])));
        }
        nodes
    }

    fn start_successor(&mut self, node: usize, discovery_server: &DiscoveryServer) {
        let (process, addr) = start_process(&config(node, NODES + node, discovery_server));
        self.addresses[node].lock().unwrap().push(addr);
        self.successors.insert(node, process);
    }

    fn end_predecessor(&mut self, node: usize) {
        self.addresses[node].lock().unwrap().remove(0);
        let successor = self.successors.remove(&node).unwrap();
        let mut old = std::mem::replace(&mut self.processes[node], successor);
        signal(&old.0, "-TERM");
        self.exits
            .push(thread::spawn(move || old.0.wait().unwrap()));
    }
}

enum Step {
    RestartServer(usize),
    StartSuccessor(usize),
    EndPredecessor(usize),
    Burst,
    Heartbeat,
    End,
}

/// The steps of the test, each with its time since the beginning.
fn schedule() -> Vec<(Duration, Step)> {
    let mut schedule: Vec<(Duration, Step)> = Vec::new();
    let warming = SERVERS / 2;
    for n in 0..warming {
        let at = LEARNING_TIME + RESTART_TIME * n as u32 / 2 / warming as u32;
        schedule.push((at, Step::RestartServer(2 * n)));
    }
    for node in 0..NODES {
        let at = LEARNING_TIME + RESTART_TIME * node as u32 / NODES as u32;
        schedule.push((at, Step::StartSuccessor(node)));
        schedule.push((at + OVERLAP, Step::EndPredecessor(node)));
    }
    schedule.extend(
        (0..(LEARNING_TIME + END_AFTER).as_secs())
            .map(|s| (Duration::from_secs(s), Step::Heartbeat)),
    );
    schedule.push((LEARNING_TIME + BURST_AFTER, Step::Burst));
    schedule.push((LEARNING_TIME + END_AFTER, Step::End));
    schedule.sort_by_key(|(at, _)| *at);
    schedule
}

/// For each server, the times at which requests arrived.
type Arrivals = Arc<Mutex<Vec<Vec<Instant>>>>;

fn record_arrivals(reports: Receiver<ServerReport>) -> Arrivals {
    let arrivals: Arrivals = Arc::new(Mutex::new(vec![Vec::new(); SERVERS]));
    let recorded = arrivals.clone();
    thread::spawn(move || {
        for report in reports {
            if let ServerReport::Request(server, _) = report {
                recorded.lock().unwrap()[server].push(Instant::now());
            }
        }
    });
    arrivals
}

fn start_servers() -> (Vec<Value>, Arrivals) {
    let (tx, reports) = channel();
    let serves = Arc::new(Mutex::new(Behavior::Serve));
    let start = |n: usize| member_at(&format!("s-{n}"), server(n, serves.clone(), tx.clone()));
    ((0..SERVERS).map(start).collect(), record_arrivals(reports))
}

fn start_clients(nodes: &Nodes, load: &Load) -> Vec<JoinHandle<()>> {
    let start = |node: usize| {
        let clients = Clients {
            node,
            processes: nodes.addresses[node].clone(),
            load: load.clone(),
        };
        thread::spawn(move || clients.run())
    };
    (0..NODES).map(start).collect()
}

/// The results for all warming servers together.
struct Totals {
    /// Number of requests that they got.
    requests: f64,
    /// Number of requests that all nodes together were allowed to send them.
    budget: f64,
    fullest: Window,
    /// A description of each server that was overloaded.
    overloaded: Vec<String>,
}

impl Totals {
    fn of(
        restarted_at: &[Option<Instant>],
        arrivals: &[Vec<Instant>],
        burst: Instant,
        end: Instant,
    ) -> Totals {
        let mut totals = Totals {
            requests: 0.0,
            budget: 0.0,
            fullest: Window::EMPTY,
            overloaded: Vec::new(),
        };
        for (server, began) in restarted_at.iter().enumerate() {
            let Some(began) = began else { continue };
            let warming = WarmingServer::of(*began, &arrivals[server]);
            totals.requests += warming.requests;
            totals.budget += budget(*began, burst, end);
            let Window { count, limit } = warming.fullest;
            let max_count = warming.fullest.max_count();
            if count > max_count {
                totals.overloaded.push(format!(
                    "s-{server} got {count} requests in a window, limit {limit:.1}, with the allowance {max_count:.1}"
                ));
            }
            if warming.fullest.fullness() > totals.fullest.fullness() {
                totals.fullest = warming.fullest;
            }
        }
        totals
    }
}

// Guards against a warming server that is overloaded by all processes together although each node keeps its
// own budget.
#[test]
fn thirty_restarting_processes_overload_no_warming_server() {
    let (members, arrivals) = start_servers();
    let discovery_server = DiscoveryServer::start(members);
    let mut nodes = Nodes::start(&discovery_server);
    let load = Load::default();
    let clients = start_clients(&nodes, &load);

    let begin = Instant::now();
    let mut restarted_at = vec![None; SERVERS];
    for (at, step) in schedule() {
        thread::sleep((begin + at).saturating_duration_since(Instant::now()));
        match step {
            Step::RestartServer(server) => {
                restarted_at[server] = Some(discovery_server.restart_server(server))
            }
            Step::StartSuccessor(node) => nodes.start_successor(node, &discovery_server),
            Step::EndPredecessor(node) => nodes.end_predecessor(node),
            Step::Burst => load.burst.store(true, Ordering::Relaxed),
            Step::Heartbeat => discovery_server.send_heartbeat(),
            Step::End => load.stop.store(true, Ordering::Relaxed),
        }
    }
    let end = Instant::now();
    clients
        .into_iter()
        .for_each(|clients| clients.join().expect("the clients end without a panic"));
    drop(nodes.processes);
    for exit in nodes.exits {
        assert!(
            exit.join().unwrap().success(),
            "an old process exited with a failure"
        );
    }

    let burst = begin + LEARNING_TIME + BURST_AFTER;
    let totals = Totals::of(&restarted_at, &arrivals.lock().unwrap(), burst, end);
    let restarted = restarted_at.iter().flatten().count();
    let sent = load.sent.load(Ordering::Relaxed);
    let served = load.served.load(Ordering::Relaxed);
    let used = totals.requests / totals.budget;
    let Window { count, limit } = totals.fullest;
    println!(
        "{NODES} processes, {restarted} warming servers: fullest window {count} requests, limit {limit:.1}, with the \
         allowance {:.1} ({:.2} standard deviations over the limit); {} overloaded; used {used:.2} of the budget; \
         served {served} of {sent}",
        totals.fullest.max_count(),
        (count - limit) / limit.sqrt(),
        totals.overloaded.len(),
    );
    assert!(totals.overloaded.is_empty(), "{:#?}", totals.overloaded);
    // The warming servers get a good part of their budget.
    assert!(used > 0.5, "{used}");
    assert!(served * 10 >= sent * 9, "{served} of {sent}");
}
