//! Cold servers under the sum of 30 real node processes, which share nothing but their settings: half of the servers
//! are started anew in steps while all nodes are restarted one after the other, under uneven traffic and a burst.
//! The test counts what comes to each cold server from all processes together, whatever they think of themselves.
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

/// The settings: a cold server begins with this part of its capacity and is warm after the ramp; sent more than
/// the multiple of what it can do for the window, it falls over.
const START: f64 = 0.13;
const RAMP: Duration = Duration::from_secs(23);
const MULTIPLE: f64 = 3.0;
const WINDOW: Duration = Duration::from_secs(3);
/// The part of what topples a server that the nodes mean to send (`COLD_CARE` of the module).
const CARE: f64 = 0.45;

/// Time for the nodes to learn their traffic, then that over which servers and nodes are started anew.
const CALM: Duration = Duration::from_secs(3);
const STEPS: Duration = Duration::from_secs(8);
/// From the first start of a server to the burst, and to the end.
const BURST_AFTER: Duration = Duration::from_secs(4);
const STORY: Duration = Duration::from_secs(13);
/// How long the old and the new process of a node take requests side by side.
const BESIDE: Duration = Duration::from_millis(500);

/// A node's traffic as a multiple of the mean: most see little of it, some several times the mean.
fn traffic(node: usize) -> f64 {
    [0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 1.0, 1.0, 4.5][node % 10]
}

/// Discovery for all nodes: the list as it is, to each watch, and then what changes.
struct Desk(Mutex<Listing>);

struct Listing {
    revision: u64,
    members: Vec<Value>,
    watches: Vec<TcpStream>,
}

impl Desk {
    fn opens(members: Vec<Value>) -> (Arc<Desk>, SocketAddr) {
        let desk = Arc::new(Desk(Mutex::new(Listing {
            revision: 41,
            members,
            watches: Vec::new(),
        })));
        let (tx, watches) = channel();
        let (addr, own) = (discovery(tx), desk.clone());
        thread::spawn(move || {
            for (_, mut watch) in watches {
                let mut listing = own.0.lock().unwrap();
                chunk(&mut watch, &format!("{}\n", listing.whole()));
                listing.watches.push(watch);
            }
        });
        (desk, addr)
    }

    /// A server is started anew; when.
    fn starts(&self, server: usize) -> Instant {
        let mut listing = self.0.lock().unwrap();
        listing.revision += 1;
        let (at, unix) = (
            Instant::now(),
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap(),
        );
        listing.members[server]["up_since_ms"] = json!(unix.as_millis() as u64);
        let members = [&listing.members[server]];
        let news = json!({"revision": listing.revision, "complete": false, "members": members});
        listing.tells(&format!("{news}\n"));
        at
    }

    /// A sign of life.
    fn beats(&self) {
        self.0.lock().unwrap().tells("\n");
    }
}

impl Listing {
    fn whole(&self) -> Value {
        json!({"revision": self.revision, "complete": true, "members": self.members})
    }

    fn tells(&mut self, line: &str) {
        let framed = framed(line);
        // Those of processes that have ended go.
        self.watches
            .retain_mut(|watch| watch.write_all(framed.as_bytes()).is_ok());
    }
}

/// One node's clients: one after the other they ask at even intervals, in turn at each process that there is.
struct Clients {
    node: usize,
    processes: Arc<Mutex<Vec<SocketAddr>>>,
    burst: Arc<AtomicBool>,
    ends: Arc<AtomicBool>,
    asked: Arc<AtomicUsize>,
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
            // Some keys are asked for by many.
            let key = if rng.f64() < 0.1 {
                rng.u64(0..50)
            } else {
                rng.u64(0..1 << 30)
            };
            let class = if rng.f64() < 0.4 { "pay" } else { "look" };
            let id = format!("{}-{n}", self.node);
            let request = request_with_key(class, &id, 4_000, key);
            self.asked.fetch_add(1, Ordering::Relaxed);
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

/// What a node is told, by the list as it is now.
fn config(node: usize, process: usize, desk: &Desk, discovery: SocketAddr) -> Value {
    let listing = desk.0.lock().unwrap();
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

fn start_process(config: &Value) -> (Started, SocketAddr) {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(config.to_string().as_bytes()).unwrap();
    let (node, addr, _, _) = start_logged(file.path(), None, &[]);
    (Started(node), addr)
}

fn warmth(age: Duration) -> f64 {
    (START + (1.0 - START) * age.as_secs_f64() / RAMP.as_secs_f64()).min(1.0)
}

/// What became of one cold server.
struct Cold {
    /// The fullest window by what topples a server: what came in it, and N.
    fullest: (f64, f64),
    got: f64,
}

/// The most that is no fall.
fn most(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

impl Cold {
    fn of(began: Instant, arrivals: &[Instant]) -> Cold {
        let since: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= began).collect();
        let mut cold = Cold {
            fullest: (0.0, 1.0),
            got: since.len() as f64,
        };
        for (end, &at) in since.iter().enumerate() {
            let first = since.partition_point(|other| *other + WINDOW < at);
            let count = (end + 1 - first) as f64;
            let n = MULTIPLE * RATE / LOAD * warmth(at - began) * WINDOW.as_secs_f64();
            if count / most(n) > cold.fullest.0 / most(cold.fullest.1) {
                cold.fullest = (count, n);
            }
        }
        cold
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
        CARE * MULTIPLE * rate * warmth(age) * step.as_secs_f64()
    };
    (0..steps).map(meant).sum()
}

// Guards against a sum over all processes that overloads a warming server though each node keeps its own budget.
#[test]
fn thirty_processes_that_restart_topple_no_cold_server() {
    let (tx, seen) = channel();
    let serves = Arc::new(Mutex::new(Does::Serve));
    let listed_at = |n: usize| listed(&format!("s-{n}"), server(n, serves.clone(), tx.clone()));
    let (desk, discovery) = Desk::opens((0..SERVERS).map(listed_at).collect());
    drop(tx);
    let arrivals: Arc<Mutex<Vec<Vec<Instant>>>> = Arc::new(Mutex::new(vec![Vec::new(); SERVERS]));
    let noted = arrivals.clone();
    thread::spawn(move || {
        for seen in seen {
            if let Seen::Request(server, _) = seen {
                noted.lock().unwrap()[server].push(Instant::now());
            }
        }
    });

    let starters: Vec<_> = (0..NODES)
        .map(|node| {
            let config = config(node, node, &desk, discovery);
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
    let (asked, served) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..NODES)
        .map(|node| {
            let (asked, served) = (asked.clone(), served.clone());
            let (burst, ends) = (burst.clone(), ends.clone());
            let clients = Clients {
                node,
                processes: addresses[node].clone(),
                burst,
                ends,
                asked,
                served,
            };
            thread::spawn(move || clients.run())
        })
        .collect();

    enum What {
        Server(usize),
        Begins(usize),
        Ends(usize),
        Burst,
        Beat,
        End,
    }
    let mut story: Vec<(Duration, What)> = Vec::new();
    let cold = SERVERS / 2;
    for n in 0..cold {
        story.push((
            CALM + STEPS * n as u32 / 2 / cold as u32,
            What::Server(2 * n),
        ));
    }
    for node in 0..NODES {
        let at = CALM + STEPS * node as u32 / NODES as u32;
        story.push((at, What::Begins(node)));
        story.push((at + BESIDE, What::Ends(node)));
    }
    story.extend((0..(CALM + STORY).as_secs()).map(|s| (Duration::from_secs(s), What::Beat)));
    story.push((CALM + BURST_AFTER, What::Burst));
    story.push((CALM + STORY, What::End));
    story.sort_by_key(|(at, _)| *at);

    let begin = Instant::now();
    let mut starts = vec![None; SERVERS];
    let mut next: HashMap<usize, Started> = HashMap::new();
    let mut endings = Vec::new();
    for (at, what) in story {
        thread::sleep((begin + at).saturating_duration_since(Instant::now()));
        match what {
            What::Server(server) => starts[server] = Some(desk.starts(server)),
            What::Begins(node) => {
                let (process, addr) = start_process(&config(node, NODES + node, &desk, discovery));
                addresses[node].lock().unwrap().push(addr);
                next.insert(node, process);
            }
            What::Ends(node) => {
                addresses[node].lock().unwrap().remove(0);
                let mut old = std::mem::replace(&mut processes[node], next.remove(&node).unwrap());
                signal(&old.0, "-TERM");
                endings.push(thread::spawn(move || old.0.wait().unwrap()));
            }
            What::Burst => burst.store(true, Ordering::Relaxed),
            What::Beat => desk.beats(),
            What::End => ends.store(true, Ordering::Relaxed),
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
    for (server, began) in starts.iter().enumerate() {
        let Some(began) = began else { continue };
        let cold = Cold::of(*began, &arrivals[server]);
        got += cold.got;
        meant += budget(*began, begin + CALM + BURST_AFTER, end);
        let (count, n) = cold.fullest;
        if count > most(n) {
            fallen.push(format!(
                "s-{server}: {count} where N is {n:.1} and {:.1} the most",
                most(n)
            ));
        }
        if count / most(n) > fullest.0 / most(fullest.1) {
            fullest = cold.fullest;
        }
    }
    let (asked, served) = (
        asked.load(Ordering::Relaxed),
        served.load(Ordering::Relaxed),
    );
    let used = got / meant;
    let (count, n) = fullest;
    println!(
        "{NODES} processes, {} cold servers: fullest window {count} where N is {n:.1} and {:.1} the most, {:.2} roots \
         of N over N; {} fell; used {used:.2} of the budget; served {served} of {asked}",
        starts.iter().flatten().count(),
        most(n),
        (count - n) / n.sqrt(),
        fallen.len(),
    );
    assert!(fallen.is_empty(), "{fallen:#?}");
    // Nor are they left alone.
    assert!(used > 0.5, "{used}");
    assert!(served * 10 >= asked * 9, "{served} of {asked}");
}
