//! How soon processes that start together are ready: with discovery up, hung or down, with a short and a long list, and
//! with pushed and polled lists.
//!
//! `BALANCER_TEST_READY_PROCESSES` sets the number of processes that start together (default 4). The figures in the
//! docs are for 30.
//!
//!     BALANCER_TEST_READY_PROCESSES=30 cargo test --release --test ready -- --nocapture
//!
//! This is a test program of its own, because its processes would take processor time from the other tests of the node.

mod common;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use common::environment;
use common::http::*;
use common::node_fixture::*;
use common::stand_ins::*;

/// Environment variable with the number of processes that start together, and its former name.
const PROCESSES_VARIABLE: &str = "BALANCER_TEST_READY_PROCESSES";
const FORMER_PROCESSES_VARIABLE: &str = "WOODGAP_READY_PROCESSES";
/// Nine in ten processes have to be ready within this time from the common start.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// What discovery does while the processes start.
#[derive(Clone, Copy, Debug)]
enum Discovery {
    /// Sends the full list at once.
    Up,
    /// Accepts connections and never responds.
    Hangs,
    /// Refuses all connections.
    Down,
}

impl Discovery {
    fn responds(self) -> bool {
        matches!(self, Discovery::Up)
    }
}

/// Starts one discovery service for all processes. Returns its address and, if it is down, the socket that reserves its
/// port.
fn start_discovery(state: Discovery, list: &str) -> (SocketAddr, Option<socket2::Socket>) {
    let socket = bound_socket();
    let addr = address_of(&socket);
    if matches!(state, Discovery::Down) {
        return (addr, Some(socket));
    }
    socket.listen(256).unwrap();
    let framed = framed(list);
    let watches = connections(TcpListener::from(socket));
    thread::spawn(move || {
        let mut open = Vec::new();
        for mut watch in watches {
            if state.responds() {
                let framed = framed.clone();
                thread::spawn(move || {
                    let _ = Message::read(&mut BufReader::new(watch.try_clone().unwrap()));
                    let _ = watch
                        .write_all(CHUNKED_HEAD)
                        .and_then(|()| watch.write_all(framed.as_bytes()));
                    // Sends a heartbeat (an empty line) every 2 s until the node closes the watch.
                    while watch.write_all(b"1\r\n\n\r\n").is_ok() {
                        thread::sleep(Duration::from_secs(2));
                    }
                });
            } else {
                open.push(watch);
            }
        }
    });
    (addr, None)
}

/// The readiness check, on a connection that closes.
const READY_CALL: &[u8] = b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

/// Waits until a condition holds. Returns the time since `start`, or `None` after [`TEST_TIMEOUT`].
fn time_until(start: Instant, holds: impl Fn() -> bool) -> Option<Duration> {
    while start.elapsed() < TEST_TIMEOUT {
        if holds() {
            return Some(start.elapsed());
        }
        thread::sleep(Duration::from_millis(5));
    }
    None
}

/// Describes the median, the 90th percentile and the maximum.
fn percentiles(mut times: Vec<Duration>) -> String {
    times.sort();
    let part = |tenths: usize| times[(times.len() * tenths).div_ceil(10) - 1].as_secs_f64();
    format!(
        "p50 {:.3} s, p90 {:.3} s, max {:.3} s",
        part(5),
        part(9),
        part(10)
    )
}

/// Writes a configuration for nodes whose list has this number of servers. Returns the fixture with the configuration
/// file and, if discovery is down, the socket that reserves its port.
fn fixture_with_list(
    count: usize,
    mode: &str,
    state: Discovery,
    servers: usize,
) -> (NodeFixture, Option<socket2::Socket>) {
    // All entries have the address of the one server.
    let fixture = NodeFixture::new(1);
    let at: SocketAddr = fixture.members[0]["host_port"]
        .as_str()
        .unwrap()
        .parse()
        .unwrap();
    let mut members: Vec<_> = (0..servers)
        .map(|n| member_at(&format!("s-{n:08x}"), at))
        .collect();
    let mut config = fixture.config.clone();
    config["known"] = json!({"revision": 41, "complete": true, "members": members});
    members.push(member_at("s-more", at));
    let list = json!({"revision": 42, "complete": true, "members": members});
    let (discovery, down) = start_discovery(state, &format!("{list}\n"));
    config["discovery"] = json!(discovery.to_string());
    config["settings"]["registry-mode"] = json!(mode);
    config["settings"]["group-size"] = json!(count);
    config["limits"] = json!({"sockets": 256, "memory_mb": 192});
    std::fs::write(fixture.file.path(), config.to_string()).unwrap();
    (fixture, down)
}

/// Starts a process. Returns it with the times since `start` at which it was ready, had served its first request and,
/// with discovery up, had applied the list from discovery.
fn start_and_measure(
    config: &Path,
    start: Instant,
    state: Discovery,
    servers: usize,
) -> (ChildGuard, [Option<Duration>; 3]) {
    // The process inherits the listener, as on the platform, so no other process can take its address.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (node, addr, admin_addr, _) = start_within(256, config, Some(&listener), &ADMIN_ENV);
    let node = ChildGuard(node);
    let ready = time_until(start, || {
        exchange_with(addr, READY_CALL).is_some_and(|response| response.status() == 200)
    });
    let call = request("look", "1", 60_000);
    let served = time_until(start, || {
        exchange_with(addr, &call).is_some_and(|response| response.status() == 200)
    });
    let updated = time_until(start, || {
        discovered(&admin_addr) == Some(servers + 1) || !state.responds()
    });
    (node, [ready, served, updated])
}

/// Starts `count` processes together and checks their times.
fn check_starts(count: usize, mode: &str, state: Discovery, servers: usize) {
    let (fixture, _down) = fixture_with_list(count, mode, state, servers);
    let path = fixture.file.path().to_owned();
    let start = Instant::now();
    let starter = |_| {
        let path = path.clone();
        thread::spawn(move || start_and_measure(&path, start, state, servers))
    };
    let starters: Vec<_> = (0..count).map(starter).collect();
    let (nodes, times): (Vec<ChildGuard>, Vec<[Option<Duration>; 3]>) = starters
        .into_iter()
        .map(|starter| starter.join().expect("a start panicked"))
        .unzip();
    let memory = nodes
        .iter()
        .map(|node| peak_memory_kb(&node.0))
        .max()
        .unwrap_or(0);
    let what = format!("{count} processes, {mode}, discovery {state:?}, {servers} servers");
    assert!(
        times.iter().flatten().all(Option::is_some),
        "{what}: {times:?}"
    );
    for (n, name) in ["ready", "served", "updated"]
        .iter()
        .enumerate()
        .take(if state.responds() { 3 } else { 2 })
    {
        let times: Vec<Duration> = times.iter().filter_map(|times| times[n]).collect();
        println!(
            "{what}: {name} {}; VmHWM {memory} kB",
            percentiles(times.clone())
        );
        let late = times.iter().filter(|&&time| time >= READY_LIMIT).count();
        assert!(late * 10 <= count, "{what}: {name} {times:?}");
    }
}

/// Returns the number of servers in the list of the node with this admin listener.
fn discovered(admin_addr: &str) -> Option<usize> {
    let text = String::from_utf8(admin_call(admin_addr, "GET /status/metrics").body).ok()?;
    text.lines()
        .find_map(|line| line.strip_prefix("svc_discovered ")?.parse().ok())
}

// Guards against a start that waits for discovery or for the slot table of a long list.
#[test]
fn nine_in_ten_processes_that_start_together_are_ready_within_the_limit() {
    let count = environment::variable(PROCESSES_VARIABLE, FORMER_PROCESSES_VARIABLE)
        .map_or(4, |text| text.parse().unwrap());
    for mode in ["push", "ask"] {
        for servers in [200, 18_000] {
            for state in [Discovery::Up, Discovery::Hangs, Discovery::Down] {
                check_starts(count, mode, state, servers);
            }
        }
    }
}
