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
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};

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

/// Discovery for all nodes: the list as it is, to each watch, and then what changes.
struct DiscoveryServer(Mutex<Listing>);

struct Listing {
    revision: u64,
    members: Vec<Value>,
    watches: Vec<TcpStream>,
}

impl DiscoveryServer {
    fn start(members: Vec<Value>) -> (Arc<DiscoveryServer>, SocketAddr) {
        let discovery_server = Arc::new(DiscoveryServer(Mutex::new(Listing {
            revision: 41,
            members,
            watches: Vec::new(),
        })));
        let (tx, watches) = channel();
        let (addr, own) = (discovery(tx), discovery_server.clone());
        thread::spawn(move || {
            for (_, mut watch) in watches {
                let mut listing = own.0.lock().unwrap();
                chunk(&mut watch, &format!("{}\n", listing.full_list()));
                listing.watches.push(watch);
            }
        });
        (discovery_server, addr)
    }

    /// Announces that a server is started anew; when.
    fn restart_server(&self, server: usize) -> Instant {
        let mut listing = self.0.lock().unwrap();
        listing.revision += 1;
        let (at, unix) = (
            Instant::now(),
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap(),
        );
        listing.members[server]["up_since_ms"] = json!(unix.as_millis() as u64);
        let members = [&listing.members[server]];
        let delta = json!({"revision": listing.revision, "complete": false, "members": members});
        listing.send(&format!("{delta}\n"));
        at
    }

    fn send_heartbeat(&self) {
        self.0.lock().unwrap().send("\n");
    }
}

impl Listing {
    fn full_list(&self) -> Value {
        json!({"revision": self.revision, "complete": true, "members": self.members})
    }

    fn send(&mut self, line: &str) {
        let framed = framed(line);
        // Those of processes that have ended go.
        self.watches
            .retain_mut(|watch| watch.write_all(framed.as_bytes()).is_ok());
    }
}

/// One node's clients: one after the other they send at even intervals, in turn at each process that there is.
struct Clients {
    node: usize,
    processes: Arc<Mutex<Vec<SocketAddr>>>,
    burst: Arc<AtomicBool>,
    ends: Arc<AtomicBool>,
    sent: Arc<AtomicUsize>,
    served: Arc<AtomicUsize>,
}

impl Clients {
    fn run(self) {
        let mut rng = fastrand::Rng::with_seed(self.node as u64);
        let mut links: HashMap<SocketAddr, BufReader<TcpStream>> = HashMap::new();
        let rate = RATE * (SERVERS / NODES) as f64 * traffic(self.node);
        let mut due = Instant::now() + Duration::from_secs_f64(rng.f64() / rate);
        for n in 0.. {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if self.ends.load(Ordering::Relaxed) {
                return;
            }
            let burst = if self.burst.load(Ordering::Relaxed) {
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
            self.sent.fetch_add(1, Ordering::Relaxed);
            let link = links
                .entry(addr)
                .or_insert_with(|| BufReader::new(connect(addr)));
            let written = link.get_mut().write_all(&request);
            match written.ok().and_then(|()| Message::read(link)) {
                Some(answer) if answer.status() == 200 => {
                    self.served.fetch_add(1, Ordering::Relaxed);
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
fn config(
    node: usize,
    process: usize,
    discovery_server: &DiscoveryServer,
    discovery: SocketAddr,
) -> Value {
    let listing = discovery_server.0.lock().unwrap();
    let mut config = plain_config(discovery, &listing.members);
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

/// What became of one warming server.
struct WarmingServer {
    /// The fullest window by what topples a server: what came in it, and N.
    fullest: (f64, f64),
    got: f64,
}

/// The most that is no fall.
fn most(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

impl WarmingServer {
    fn of(began: Instant, arrivals: &[Instant]) -> WarmingServer {
        let since: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= began).collect();
        let mut warming = WarmingServer {
            fullest: (0.0, 1.0),
            got: since.len() as f64,
        };
        for (end, &at) in since.iter().enumerate() {
            let first = since.partition_point(|other| *other + WINDOW < at);
            let count = (end + 1 - first) as f64;
            let n = MULTIPLE * RATE / LOAD * warm_up(at - began) * WINDOW.as_secs_f64();
            if count / most(n) > warming.fullest.0 / most(warming.fullest.1) {
                warming.fullest = (count, n);
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

// Guards against a sum over all processes that overloads a warming server though each node keeps its own budget.
#[test]
fn thirty_processes_that_restart_topple_no_cold_server() {
    let (tx, seen) = channel();
    let serves = Arc::new(Mutex::new(Behavior::Serve));
    let listed_at = |n: usize| member_at(&format!("s-{n}"), server(n, serves.clone(), tx.clone()));
    let (discovery_server, discovery) =
        DiscoveryServer::start((0..SERVERS).map(listed_at).collect());
    drop(tx);
    let arrivals: Arc<Mutex<Vec<Vec<Instant>>>> = Arc::new(Mutex::new(vec![Vec::new(); SERVERS]));
    let noted = arrivals.clone();
    thread::spawn(move || {
        for seen in seen {
            if let ServerReport::Request(server, _) = seen {
                noted.lock().unwrap()[server].push(Instant::now());
            }
        }
    });

    let starters: Vec<_> = (0..NODES)
        .map(|node| {
            let config = config(node, node, &discovery_server, discovery);
            thread::spawn(move || start_process(&config))
        })
        .collect();
    let mut processes = Vec::new();
    let mut addresses = Vec::new();
    for starter in starters {
        let (process, addr) = starter.join().expect("started");
        processes.push(process);
        addresses.push(Arc::new(Mutex::new(vec![addr])));
    }

    let (burst, ends) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicBool::new(false)),
    );
    let (sent, served) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..NODES)
        .map(|node| {
            let (sent, served) = (sent.clone(), served.clone());
            let (burst, ends) = (burst.clone(), ends.clone());
            let clients = Clients {
                node,
                processes: addresses[node].clone(),
                burst,
                ends,
                sent,
                served,
            };
            thread::spawn(move || clients.run())
        })
        .collect();

    enum Step {
        Server(usize),
        Begins(usize),
        Ends(usize),
        Burst,
        Heartbeat,
        End,
    }
    let mut schedule: Vec<(Duration, Step)> = Vec::new();
    let warming = SERVERS / 2;
    for n in 0..warming {
        schedule.push((
            CALM + STEPS * n as u32 / 2 / warming as u32,
            Step::Server(2 * n),
        ));
    }
    for node in 0..NODES {
        let at = CALM + STEPS * node as u32 / NODES as u32;
        schedule.push((at, Step::Begins(node)));
        schedule.push((at + BESIDE, Step::Ends(node)));
    }
    schedule.extend(
        (0..(CALM + TEST_SPAN).as_secs()).map(|s| (Duration::from_secs(s), Step::Heartbeat)),
    );
    schedule.push((CALM + BURST_AFTER, Step::Burst));
    schedule.push((CALM + TEST_SPAN, Step::End));
    schedule.sort_by_key(|(at, _)| *at);

    let begin = Instant::now();
    let mut restarted_at = vec![None; SERVERS];
    let mut next: HashMap<usize, ChildGuard> = HashMap::new();
    let mut endings = Vec::new();
    for (at, step) in schedule {
        thread::sleep((begin + at).saturating_duration_since(Instant::now()));
        match step {
            Step::Server(server) => {
                restarted_at[server] = Some(discovery_server.restart_server(server))
            }
            Step::Begins(node) => {
                let (process, addr) =
                    start_process(&config(node, NODES + node, &discovery_server, discovery));
                addresses[node].lock().unwrap().push(addr);
                next.insert(node, process);
            }
            Step::Ends(node) => {
                addresses[node].lock().unwrap().remove(0);
                let mut old = std::mem::replace(&mut processes[node], next.remove(&node).unwrap());
                signal(&old.0, "-TERM");
                endings.push(thread::spawn(move || old.0.wait().unwrap()));
            }
            Step::Burst => burst.store(true, Ordering::Relaxed),
            Step::Heartbeat => discovery_server.send_heartbeat(),
            Step::End => ends.store(true, Ordering::Relaxed),
        }
    }
    let end = Instant::now();
    clients
        .into_iter()
        .for_each(|clients| clients.join().expect("all are answered"));
    drop(processes);
    for ending in endings {
        assert!(
            ending.join().unwrap().success(),
            "one that was told to end fails"
        );
    }

    let arrivals = arrivals.lock().unwrap();
    let (mut got, mut meant, mut fullest) = (0.0, 0.0, (0.0, 1.0));
    let mut fallen = Vec::new();
    for (server, began) in restarted_at.iter().enumerate() {
        let Some(began) = began else { continue };
        let warming = WarmingServer::of(*began, &arrivals[server]);
        got += warming.got;
        meant += budget(*began, begin + CALM + BURST_AFTER, end);
        let (count, n) = warming.fullest;
        if count > most(n) {
            fallen.push(format!(
                "s-{server}: {count} where N is {n:.1} and {:.1} the most",
                most(n)
            ));
        }
        if count / most(n) > fullest.0 / most(fullest.1) {
            fullest = warming.fullest;
        }
    }
    let (sent, served) = (sent.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    let used = got / meant;
    let (count, n) = fullest;
    println!(
        "{NODES} processes, {} cold servers: fullest window {count} where N is {n:.1} and {:.1} the most, {:.2} roots \
         of N over N; {} fell; used {used:.2} of the budget; served {served} of {sent}",
        restarted_at.iter().flatten().count(),
        most(n),
        (count - n) / n.sqrt(),
        fallen.len(),
    );
    assert!(fallen.is_empty(), "{fallen:#?}");
    // Nor are they left alone.
    assert!(used > 0.5, "{used}");
    assert!(served * 10 >= sent * 9, "{served} of {sent}");
}
