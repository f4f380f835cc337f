//! Warming servers under the sum of 30 real node processes, which share nothing but their settings: half of the servers
//! are started anew in steps while all nodes are restarted one after the other, under uneven traffic and a burst.
//! The test counts what comes to each warming server from all processes together, whatever they count themselves.
//!
//! `BALANCER_TEST_NODE_SETTINGS` holds settings as JSON that replace those of the nodes alone, for trials: with
//! wrong ones the test fails.
//!
//!     BALANCER_TEST_NODE_SETTINGS='{"group-size": 1}' cargo test --test cold_fleet -- --nocapture
//!
//! A test program of its own: what it starts would take the processor from the node's other tests.

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
use common::site::*;
use common::stand_ins::*;

/// Holds settings that replace those of the nodes, as JSON.
const SETTINGS_VARIABLE: &str = "BALANCER_TEST_NODE_SETTINGS";
const FORMER_SETTINGS_VARIABLE: &str = "WOODGAP_COLD_TOLD";

const NODES: usize = 30;
const SERVERS: usize = 120;
/// Requests a second, by servers, before the burst; and what that is of a warm server's capacity.
const RATE: f64 = 2.0;
const LOAD: f64 = 0.7;
/// A burst of half as much again.
const BURST: f64 = 1.5;

/// The settings: a warming server begins with this part of its capacity and is warm after the ramp; sent more than
/// the multiple of what it can do for the window, it falls over.
const START: f64 = 0.13;
const RAMP: Duration = Duration::from_secs(23);
const MULTIPLE: f64 = 3.0;
const WINDOW: Duration = Duration::from_secs(3);
/// The part of what topples a server that the nodes mean to send (`SAFE_LOAD` of `balancer/slow_start.rs`).
const SAFE_LOAD: f64 = 0.45;

/// Time for the nodes to learn their traffic, then that over which servers and nodes are started anew.
const CALM: Duration = Duration::from_secs(3);
const STEPS: Duration = Duration::from_secs(8);
/// From the first start of a server to the burst, and to the end.
const BURST_AFTER: Duration = Duration::from_secs(4);
const TEST_SPAN: Duration = Duration::from_secs(13);
/// How long the old and the new process of a node take requests side by side.
const BESIDE: Duration = Duration::from_millis(500);

/// A node's traffic as a multiple of the mean: most see little of it, some several times the mean.
fn traffic(node: usize) -> f64 {
    [0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 1.0, 1.0, 4.5][node % 10]
}

/// What the clients of all nodes share.
#[derive(Clone, Default)]
struct Load {
    burst: Arc<AtomicBool>,
    ends: Arc<AtomicBool>,
    sent: Arc<AtomicUsize>,
    served: Arc<AtomicUsize>,
}

/// One node's clients: one after the other they send at even intervals, in turn at each process that there is.
struct Clients {
    node: usize,
    processes: Arc<Mutex<Vec<SocketAddr>>>,
    load: Load,
}

impl Clients {
    fn run(self) {
        let mut rng = fastrand::Rng::with_seed(self.node as u64);
        let mut links: HashMap<SocketAddr, BufReader<TcpStream>> = HashMap::new();
        let rate = RATE * (SERVERS / NODES) as f64 * traffic(self.node);
        let mut due = Instant::now() + Duration::from_secs_f64(rng.f64() / rate);
        for n in 0.. {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if self.load.ends.load(Ordering::Relaxed) {
                return;
            }
            let burst = if self.load.burst.load(Ordering::Relaxed) {
                BURST
            } else {
                1.0
            };
            due += Duration::from_secs_f64(1.0 / (rate * burst));
            let processes = self.processes.lock().unwrap().clone();
            links.retain(|addr, _| processes.contains(addr));
            let addr = processes[n % processes.len()];
            // Some keys are requested by many.
            let key = if rng.f64() < 0.1 {
                rng.u64(0..50)
            } else {
                rng.u64(0..1 << 30)
            };
            let class = if rng.f64() < 0.4 { "pay" } else { "look" };
            let id = format!("{}-{n}", self.node);
            let request = request_with_key(class, &id, 4_000, key);
            self.load.sent.fetch_add(1, Ordering::Relaxed);
            let link = links
                .entry(addr)
                .or_insert_with(|| BufReader::new(connect(addr)));
            let written = link.get_mut().write_all(&request);
            match written.ok().and_then(|()| Message::read(link)) {
                Some(answer) if answer.status() == 200 => {
                    self.load.served.fetch_add(1, Ordering::Relaxed);
                }
                Some(_) => {}
                None => {
                    links.remove(&addr);
                }
            }
        }
    }
}

/// The configuration of a node, with the list as it is now.
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
    settings["rules"]["start-capacity"] = json!(START);
    settings["rules"]["ramp-time"] = micros(RAMP);
    settings["rules"]["fall-multiple"] = json!(MULTIPLE);
    settings["rules"]["overload-for"] = micros(WINDOW);
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
    (START + (1.0 - START) * age.as_secs_f64() / RAMP.as_secs_f64()).min(1.0)
}

/// What came to a server in one window, and N: what topples it in that window, without the allowance for chance.
#[derive(Clone, Copy)]
struct Window {
    count: f64,
    n: f64,
}

impl Window {
    const EMPTY: Window = Window { count: 0.0, n: 1.0 };

    /// The most that is no fall.
    fn most(self) -> f64 {
        self.n + 2.0 * self.n.sqrt() + 2.0
    }

    fn fullness(self) -> f64 {
        self.count / self.most()
    }
}

/// What became of one warming server.
struct WarmingServer {
    fullest: Window,
    got: f64,
}

impl WarmingServer {
    fn of(began: Instant, arrivals: &[Instant]) -> WarmingServer {
        let since: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= began).collect();
        let mut warming = WarmingServer {
            fullest: Window::EMPTY,
            got: since.len() as f64,
        };
        for (end, &at) in since.iter().enumerate() {
            let first = since.partition_point(|other| *other + WINDOW < at);
            let window = Window {
                count: (end + 1 - first) as f64,
                n: MULTIPLE * RATE / LOAD * warm_up(at - began) * WINDOW.as_secs_f64(),
            };
            if window.fullness() > warming.fullest.fullness() {
                warming.fullest = window;
            }
        }
        warming
    }
}

/// What all nodes together mean to send a server from its start to the end.
fn budget(began: Instant, burst: Instant, end: Instant) -> f64 {
    let step = Duration::from_millis(50);
    let steps = (end - began).as_millis() / step.as_millis();
    let meant = |n: u128| {
        let age = step * n as u32;
        let rate = if began + age < burst {
            RATE
        } else {
            BURST * RATE
        };
        SAFE_LOAD * MULTIPLE * rate * warm_up(age) * step.as_secs_f64()
    };
    (0..steps).map(meant).sum()
}

/// The processes of all nodes.
struct Nodes {
    /// The latest process of each that has taken over.
    processes: Vec<ChildGuard>,
    /// The addresses that the clients of each use in turn.
    addresses: Vec<Arc<Mutex<Vec<SocketAddr>>>>,
    /// By node, the new process while it takes requests beside the old one.
    successors: HashMap<usize, ChildGuard>,
    /// The exits of old processes.
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
            let (process, addr) = starter.join().expect("started");
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

/// The steps of the test and when each comes, from the beginning on.
fn schedule() -> Vec<(Duration, Step)> {
    let mut schedule: Vec<(Duration, Step)> = Vec::new();
    let warming = SERVERS / 2;
    for n in 0..warming {
        let at = CALM + STEPS * n as u32 / 2 / warming as u32;
        schedule.push((at, Step::RestartServer(2 * n)));
    }
    for node in 0..NODES {
        let at = CALM + STEPS * node as u32 / NODES as u32;
        schedule.push((at, Step::StartSuccessor(node)));
        schedule.push((at + BESIDE, Step::EndPredecessor(node)));
    }
    schedule.extend(
        (0..(CALM + TEST_SPAN).as_secs()).map(|s| (Duration::from_secs(s), Step::Heartbeat)),
    );
    schedule.push((CALM + BURST_AFTER, Step::Burst));
    schedule.push((CALM + TEST_SPAN, Step::End));
    schedule.sort_by_key(|(at, _)| *at);
    schedule
}

/// When each request came, by server.
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

/// What all warming servers together got.
struct Totals {
    got: f64,
    /// What all nodes together meant to send them.
    meant: f64,
    fullest: Window,
    /// Those that were sent too much, in words.
    fallen: Vec<String>,
}

impl Totals {
    fn of(
        restarted_at: &[Option<Instant>],
        arrivals: &[Vec<Instant>],
        burst: Instant,
        end: Instant,
    ) -> Totals {
        let mut totals = Totals {
            got: 0.0,
            meant: 0.0,
            fullest: Window::EMPTY,
            fallen: Vec::new(),
        };
        for (server, began) in restarted_at.iter().enumerate() {
            let Some(began) = began else { continue };
            let warming = WarmingServer::of(*began, &arrivals[server]);
            totals.got += warming.got;
            totals.meant += budget(*began, burst, end);
            let Window { count, n } = warming.fullest;
            let most = warming.fullest.most();
            if count > most {
                totals.fallen.push(format!(
                    "s-{server}: {count} where N is {n:.1} and {most:.1} the most"
                ));
            }
            if warming.fullest.fullness() > totals.fullest.fullness() {
                totals.fullest = warming.fullest;
            }
        }
        totals
    }
}

// Guards against a sum over all processes that overloads a warming server though each node keeps its own budget.
#[test]
fn thirty_processes_that_restart_topple_no_cold_server() {
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
            Step::End => load.ends.store(true, Ordering::Relaxed),
        }
    }
    let end = Instant::now();
    clients
        .into_iter()
        .for_each(|clients| clients.join().expect("all are answered"));
    drop(nodes.processes);
    for exit in nodes.exits {
        assert!(
            exit.join().unwrap().success(),
            "one that was told to end fails"
        );
    }

    let burst = begin + CALM + BURST_AFTER;
    let totals = Totals::of(&restarted_at, &arrivals.lock().unwrap(), burst, end);
    let restarted = restarted_at.iter().flatten().count();
    let sent = load.sent.load(Ordering::Relaxed);
    let served = load.served.load(Ordering::Relaxed);
    let used = totals.got / totals.meant;
    let Window { count, n } = totals.fullest;
    println!(
        "{NODES} processes, {restarted} cold servers: fullest window {count} where N is {n:.1} and {:.1} the most, \
         {:.2} roots of N over N; {} fell; used {used:.2} of the budget; served {served} of {sent}",
        totals.fullest.most(),
        (count - n) / n.sqrt(),
        totals.fallen.len(),
    );
    assert!(totals.fallen.is_empty(), "{:#?}", totals.fallen);
    // Nor are they left alone.
    assert!(used > 0.5, "{used}");
    assert!(served * 10 >= sent * 9, "{served} of {sent}");
}
