//! No attempt begins more than 0.1 s after its client disconnected. The time runs from the client's close, reset or
//! half-close to the first byte of an attempt at a server. Floods of 500 clients disconnect just as the event occurs
//! that their requests wait for: their turn, an established connection, the outcome or time-out of an attempt, a drain.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::PoisonError;
use std::time::{SystemTime, UNIX_EPOCH};

use nix::sys::signal::{kill, Signal};
use nix::sys::socket::{setsockopt, sockopt};
use nix::unistd::Pid;

use super::common::environment;
use super::common::timestamping_servers::{
    first_byte_time, has_ended, AttemptStart, Behavior, Servers, TimestampedStream,
};
use super::disconnects::{Disconnect, DISCONNECTS};
use super::*;

/// The longest time after the disconnect of its client at which an attempt may begin.
const MAX_START_DELAY: Duration = Duration::from_millis(100);
/// Number of clients that disconnect together.
const FLOOD: usize = 500;
/// Number of servers in the list. All have the same address: many names raise the total of the limits per server above
/// the size of a flood.
const SERVERS: usize = 100;

/// Keeps all processors busy until it is dropped.
struct BusyCores(Arc<AtomicBool>, Vec<thread::JoinHandle<()>>);

impl BusyCores {
    fn start_if(busy: bool) -> BusyCores {
        let on = Arc::new(AtomicBool::new(true));
        let cores = if busy {
            thread::available_parallelism().unwrap().get()
        } else {
            0
        };
        let spin = |on: Arc<AtomicBool>| {
            // The time limit ends the threads even if the test hangs.
            let end = Instant::now() + 2 * TEST_TIMEOUT;
            thread::spawn(move || while on.load(Ordering::Relaxed) && Instant::now() < end {})
        };
        BusyCores(on.clone(), (0..cores).map(|_| spin(on.clone())).collect())
    }
}

impl Drop for BusyCores {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
        self.1.drain(..).for_each(|thread| thread.join().unwrap());
    }
}

/// What the requests of a flood wait for when their clients disconnect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WaitPoint {
    /// For the end of an earlier request with the same key.
    Turn,
    /// For the connection to a server.
    Connect,
    /// For the retry after a rejected attempt.
    Retry,
    /// For the time-out of an attempt at a hung server.
    TimeOut,
    /// For a retry as in `Retry`, in a node that drains after SIGTERM.
    Drain,
    /// For a retry as in `Retry`, in a node on standby, which closes its connections and keeps running.
    Standby,
}

impl WaitPoint {
    /// Whether the node drains. Drains are also tested without a disturbance, because rolling restarts drain nodes that
    /// are otherwise undisturbed.
    fn is_drain(self) -> bool {
        matches!(self, WaitPoint::Drain | WaitPoint::Standby)
    }
}

fn fixture(addr: SocketAddr, wait_point: WaitPoint) -> NodeFixture {
    NodeFixture::configured(0, &ADMIN_ENV, |config| {
        config["limits"] = json!({"sockets": 4000});
        config["settings"]["bounds"]["dial-timeout"] = json!(60_000_000);
        if wait_point == WaitPoint::TimeOut {
            config["settings"]["classes"][0]["aim"] = json!(4_000_000);
        }
        let member = |n: usize| member_at(&format!("s-{n}"), addr);
        if wait_point == WaitPoint::Turn {
            config["settings"]["classes"][1]["serial-by-key"] = json!(true);
            config["settings"]["classes"][1]["aim"] = json!(60_000_000);
        }
        config["known"]["members"] = (0..SERVERS).map(member).collect();
    })
}

/// The result of a flood.
struct Flood {
    /// Number of requests that waited in the node.
    waited: usize,
    /// For each attempt, the time from the disconnect of its client to its start; zero if it began earlier.
    start_delays: Vec<Duration>,
}

/// What disturbs the node during a flood.
#[derive(Clone, Copy, PartialEq)]
enum Disturbance {
    None,
    /// Other threads keep all processors busy.
    BusyCores,
    /// The node process is stopped from the first sign of the awaited event until more than [`MAX_START_DELAY`] after
    /// the disconnects.
    Stall,
}

impl Disturbance {
    fn name(self) -> &'static str {
        match self {
            Disturbance::None => "quiet",
            Disturbance::BusyCores => "busy cores",
            Disturbance::Stall => "the node stalls",
        }
    }
}

/// The servers of a flood.
enum Upstream {
    /// A full backlog: no connection is established yet.
    Pending(FullBacklog),
    Started(Servers),
}

impl Upstream {
    fn new(wait_point: WaitPoint) -> Upstream {
        match wait_point {
            WaitPoint::Connect => Upstream::Pending(FullBacklog::new()),
            _ => Upstream::Started(Servers::new(2 * FLOOD as i32)),
        }
    }

    fn addr(&self) -> SocketAddr {
        match self {
            Upstream::Pending(backlog) => backlog.addr,
            Upstream::Started(servers) => servers.addr,
        }
    }

    /// Causes the event for which the requests wait. For [`Disturbance::Stall`], stops the node at the first sign of
    /// it.
    fn release(
        self,
        fixture: &NodeFixture,
        wait_point: WaitPoint,
        disturbance: Disturbance,
    ) -> Servers {
        match self {
            Upstream::Pending(backlog) => establish(fixture, backlog, disturbance),
            Upstream::Started(servers) => {
                release_requests(fixture, &servers, wait_point);
                if disturbance == Disturbance::Stall {
                    stop_process(fixture);
                }
                servers
            }
        }
    }
}

/// Lets the pending connections be established, which happens with their next SYN, all within some milliseconds.
fn establish(fixture: &NodeFixture, backlog: FullBacklog, disturbance: Disturbance) -> Servers {
    let addr = backlog.addr;
    let connections = backlog.open();
    let first = connections.recv_timeout(TEST_TIMEOUT).unwrap();
    if disturbance == Disturbance::Stall {
        stop_process(fixture);
    }
    let (tx, established) = channel();
    tx.send(first).unwrap();
    thread::spawn(move || connections.into_iter().try_for_each(|next| tx.send(next)));
    Servers::of(addr, established)
}

/// Causes the event for which the requests wait, by a change of the servers' behavior, or in a drain by a signal or a
/// call to the node as well; a time-out comes by itself. Returns when the first attempt after that begins.
fn release_requests(fixture: &NodeFixture, servers: &Servers, wait_point: WaitPoint) {
    servers.attempts.try_iter().for_each(drop);
    match wait_point {
        WaitPoint::Drain => fixture.signal("-TERM"),
        WaitPoint::Standby => assert_eq!(fixture.admin_call("POST /standby").status(), 200),
        _ => {}
    }
    match wait_point {
        WaitPoint::Turn => servers.set_behavior(Behavior::ServeHeld),
        WaitPoint::TimeOut => {}
        _ => servers.set_behavior(Behavior::RejectHeld),
    }
    servers
        .attempts
        .recv_timeout(TEST_TIMEOUT)
        .expect("no attempt began");
}

/// Sends the requests of a flood, and returns once each is outstanding or rejected.
fn send_flood(fixture: &NodeFixture, wait_point: WaitPoint) -> Vec<TcpStream> {
    let class = if wait_point == WaitPoint::Turn {
        "pay"
    } else {
        "look"
    };
    // Two requests per key: where a key is limited to one request at a time, the second one waits.
    let sent =
        (0..FLOOD).map(|n| fixture.send(&request_with_key(class, &n.to_string(), 60_000, n / 2)));
    let sent: Vec<TcpStream> = sent.collect();
    let rejected = format!("svc_declined_total{{service=\"{class}\"}}");
    let settled = || fixture.metric("svc_outstanding") + fixture.metric(&rejected);
    wait_until("all requests are outstanding or rejected", || {
        settled() == FLOOD as u64
    });
    sent
}

/// Waits until the node has noticed all disconnects.
fn wait_until_noticed(fixture: &mut NodeFixture, servers: &Servers, wait_point: WaitPoint) {
    if wait_point == WaitPoint::Drain {
        servers.set_behavior(Behavior::Serve);
        assert!(fixture.node.wait().unwrap().success());
    } else {
        wait_until("all disconnects are noticed", || {
            fixture.metric("svc_outstanding") == 0
        });
        servers.set_behavior(Behavior::Serve);
        wait_until("a new client is served", || {
            fixture.request("look", "last").status() == 200
        });
    }
}

/// Runs a flood: all clients disconnect just as the event occurs for which their requests wait.
fn flood(wait_point: WaitPoint, disconnect: Disconnect, disturbance: Disturbance) -> Flood {
    let upstream = Upstream::new(wait_point);
    let mut fixture = fixture(upstream.addr(), wait_point);
    let clients = send_flood(&fixture, wait_point);
    let waited = fixture.metric("svc_outstanding") as usize;
    let cores = BusyCores::start_if(disturbance == Disturbance::BusyCores);
    let servers = upstream.release(&fixture, wait_point, disturbance);
    let mut disconnected_at = HashMap::new();
    let mut half_closed = Vec::new();
    for (n, client) in clients.into_iter().enumerate() {
        disconnected_at.insert(n.to_string(), SystemTime::now());
        half_closed.extend(disconnect.apply(client));
    }
    if disturbance == Disturbance::Stall {
        thread::sleep(MAX_START_DELAY + MAX_START_DELAY / 2);
        send_signal(&fixture, Signal::SIGCONT);
    }
    wait_until_noticed(&mut fixture, &servers, wait_point);
    drop(cores);
    drop(fixture);
    let start_delay = |attempt: AttemptStart| {
        Some(
            attempt
                .at
                .duration_since(*disconnected_at.get(&attempt.request_id)?)
                .unwrap_or_default(),
        )
    };
    Flood {
        waited,
        start_delays: servers
            .attempts
            .try_iter()
            .filter_map(start_delay)
            .collect(),
    }
}

fn send_signal(fixture: &NodeFixture, signal: Signal) {
    kill(Pid::from_raw(fixture.node.id() as i32), signal).unwrap();
}

/// Stops the node process and waits until it is stopped.
fn stop_process(fixture: &NodeFixture) {
    send_signal(fixture, Signal::SIGSTOP);
    let stat = format!("/proc/{}/stat", fixture.node.id());
    wait_until("the process is stopped", || {
        std::fs::read_to_string(&stat).unwrap().contains(") T ")
    });
}

/// Environment variable with the number of runs of each flood, and its former name.
const RUNS_VARIABLE: &str = "BALANCER_TEST_DISCONNECT_RUNS";
const FORMER_RUNS_VARIABLE: &str = "GONE_PLAYS";

/// Held during a flood, so that floods run one at a time.
static FLOOD_LOCK: Mutex<()> = Mutex::new(());

/// Runs floods with each kind of disconnect and each disturbance, and prints the delays. By default each flood runs
/// once, and undisturbed floods only in drains; if `BALANCER_TEST_DISCONNECT_RUNS` is set, each flood runs that many
/// times.
///
/// Guards against attempts that begin for disconnected clients because the node has not noticed the disconnect yet.
fn no_attempt_begins_late(wait_point: WaitPoint) {
    let _lock = FLOOD_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let runs = environment::variable(RUNS_VARIABLE, FORMER_RUNS_VARIABLE)
        .map(|runs| runs.parse::<usize>().unwrap());
    let disturbances = [
        Disturbance::None,
        Disturbance::BusyCores,
        Disturbance::Stall,
    ];
    for disturbance in disturbances
        .into_iter()
        .skip(usize::from(runs.is_none() && !wait_point.is_drain()))
    {
        let kind = disturbance.name();
        let (mut disconnected, mut attempts, mut late) = (0, 0, Vec::new());
        for disconnect in (0..runs.unwrap_or(1)).flat_map(|_| DISCONNECTS) {
            let Flood {
                waited,
                start_delays,
            } = flood(wait_point, disconnect, disturbance);
            assert!(
                waited >= FLOOD / 2,
                "{wait_point:?}: only {waited} of {FLOOD} requests waited"
            );
            // A thread may be stopped between its check of the client and the write that follows. No process can close
            // this gap, and one stop can hit it once. Any other late attempt is a fault of the node.
            let late_count = start_delays
                .iter()
                .filter(|delay| **delay > MAX_START_DELAY)
                .count();
            assert!(
                late_count <= usize::from(disturbance == Disturbance::Stall),
                "{wait_point:?}, {kind}: {late_count} attempts began late: {start_delays:?}"
            );
            disconnected += waited;
            attempts += start_delays.len();
            late.extend(start_delays.into_iter().filter(|delay| !delay.is_zero()));
        }
        late.sort();
        // The p99 is that of all clients that disconnected, most of which got no attempt afterwards.
        let p99 = late
            .len()
            .checked_sub(disconnected / 100 + 1)
            .map_or(Duration::ZERO, |at| late[at]);
        let max = late.last().copied().unwrap_or_default();
        println!(
            "{wait_point:?}, {kind}: {disconnected} disconnects, {attempts} attempts, {} after the disconnect, p99 {p99:?}, max {max:?}",
            late.len()
        );
    }
}

#[test]
fn no_attempt_begins_late_for_clients_that_disconnect_as_their_turn_comes() {
    no_attempt_begins_late(WaitPoint::Turn);
}

#[test]
fn no_attempt_begins_late_for_clients_that_disconnect_as_a_connection_is_established() {
    no_attempt_begins_late(WaitPoint::Connect);
}

#[test]
fn no_attempt_begins_late_for_clients_that_disconnect_as_an_attempt_is_rejected() {
    no_attempt_begins_late(WaitPoint::Retry);
}

#[test]
fn no_attempt_begins_late_for_clients_that_disconnect_as_a_hung_server_times_out() {
    no_attempt_begins_late(WaitPoint::TimeOut);
}

#[test]
fn no_attempt_begins_late_for_clients_that_disconnect_during_a_drain() {
    no_attempt_begins_late(WaitPoint::Drain);
}

#[test]
fn no_attempt_begins_late_for_clients_that_disconnect_during_a_standby() {
    no_attempt_begins_late(WaitPoint::Standby);
}

// All measurements of this file depend on this: the close that follows a request must not replace the receive time of
// its first byte.
#[test]
fn a_request_is_timestamped_by_its_bytes_not_by_the_close_that_follows() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    setsockopt(&listener, sockopt::ReceiveTimestampns, &true).unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (server, _) = listener.accept().unwrap();
    client.write_all(b"GET").unwrap();
    let written = SystemTime::now();
    thread::sleep(2 * MAX_START_DELAY);
    drop(client);
    wait_until("the connection has ended", || has_ended(&server));
    let mut input = TimestampedStream {
        stream: &server,
        received_at: UNIX_EPOCH,
    };
    assert_eq!(input.read(&mut [0; 8]).unwrap(), 3);
    let received_at = first_byte_time(&server, input.received_at);
    assert!(
        received_at < written + MAX_START_DELAY,
        "{:?} later",
        received_at.duration_since(written)
    );
}
