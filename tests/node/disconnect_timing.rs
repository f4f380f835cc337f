//! No attempt, first or further, begins more than 0.1 s after its client left, as the client counts: from its
//! close, reset or end of sending to the first byte that a server of the test's own gets of any attempt for it.
//! Floods of 500 disconnects cross what lets the node go on: a queue position, a dial, an outcome, a time-out, a drain.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::PoisonError;
use std::time::{SystemTime, UNIX_EPOCH};

use nix::sys::signal::{kill, Signal};
use nix::sys::socket::{setsockopt, sockopt};
use nix::unistd::Pid;

use super::common::environment;
use super::common::timestamping_servers::{
    first_byte, has_ended, Begun, Behavior, Servers, Stamped,
};
use super::disconnects::{Goes, WAYS};
use super::*;

/// An attempt that begins this long after its client left is one too many.
const LATEST: Duration = Duration::from_millis(100);
/// Clients that leave at once.
const FLOOD: usize = 500;
/// Servers of a flood: one address under many names, so that what the module allows each is enough for all.
const SERVERS: usize = 100;

/// Threads that take all cores until this is dropped.
struct Busy(Arc<AtomicBool>, Vec<thread::JoinHandle<()>>);

impl Busy {
    fn cores(busy: bool) -> Busy {
        let on = Arc::new(AtomicBool::new(true));
        let cores = if busy {
            thread::available_parallelism().unwrap().get()
        } else {
            0
        };
        let spin = |on: Arc<AtomicBool>| {
            // Bounded, whatever becomes of the test.
            let end = Instant::now() + 2 * TEST_TIMEOUT;
            thread::spawn(move || while on.load(Ordering::Relaxed) && Instant::now() < end {})
        };
        Busy(on.clone(), (0..cores).map(|_| spin(on.clone())).collect())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
        self.1.drain(..).for_each(|thread| thread.join().unwrap());
    }
}

/// Where the requests of a flood wait when their clients leave.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Moment {
    /// For the turn that another request of their key has.
    Place,
    Dial,
    /// For the retry after an attempt that was rejected.
    Resend,
    /// For the time-out of a server that hangs.
    TimeOut,
    /// As at a resend, in a node that was sent SIGTERM.
    Drain,
    /// Likewise, in a node on standby, which closes its connections and stays.
    Standby,
}

impl Moment {
    /// A fleet that is rolled drains node after node while nothing else disturbs them.
    fn is_drain(self) -> bool {
        matches!(self, Moment::Drain | Moment::Standby)
    }
}

fn fixture(addr: SocketAddr, moment: Moment) -> NodeFixture {
    NodeFixture::configured(0, &ADMIN_ENV, |config| {
        config["limits"] = json!({"sockets": 4000});
        config["settings"]["bounds"]["dial-timeout"] = json!(60_000_000);
        if moment == Moment::TimeOut {
            config["settings"]["classes"][0]["aim"] = json!(4_000_000);
        }
        let member = |n: usize| member_at(&format!("s-{n}"), addr);
        if moment == Moment::Place {
            config["settings"]["classes"][1]["serial-by-key"] = json!(true);
            config["settings"]["classes"][1]["aim"] = json!(60_000_000);
        }
        config["known"]["members"] = (0..SERVERS).map(member).collect();
    })
}

/// What was seen of a flood: how many of its requests waited with the node, and for each attempt how long after
/// the leaving of its client it began, nothing for those that began before.
struct Flood {
    waited: usize,
    began: Vec<Duration>,
}

/// What disturbs the node of a flood.
#[derive(Clone, Copy, PartialEq)]
enum Disturbance {
    None,
    /// Other threads take all cores.
    BusyCores,
    /// The node gets no core from the first sign of what its requests wait for until its clients have been away for
    /// longer than an attempt may take to begin.
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
    /// None of their connections is established yet.
    Pending(FullBacklog),
    Started(Servers),
}

impl Upstream {
    fn new(moment: Moment) -> Upstream {
        match moment {
            Moment::Dial => Upstream::Pending(FullBacklog::new()),
            _ => Upstream::Started(Servers::new(2 * FLOOD as i32)),
        }
    }

    fn addr(&self) -> SocketAddr {
        match self {
            Upstream::Pending(backlog) => backlog.addr,
            Upstream::Started(servers) => servers.addr,
        }
    }

    /// Makes that come for which the requests wait; stops the node at the first sign of it, if it is to stall.
    fn release(self, fixture: &NodeFixture, moment: Moment, disturbance: Disturbance) -> Servers {
        match self {
            Upstream::Pending(backlog) => establish(fixture, backlog, disturbance),
            Upstream::Started(servers) => {
                go_on(fixture, &servers, moment);
                if disturbance == Disturbance::Stall {
                    stop(fixture);
                }
                servers
            }
        }
    }
}

/// Lets the pending connections be established: they are with their next SYN, all within some milliseconds.
fn establish(fixture: &NodeFixture, backlog: FullBacklog, disturbance: Disturbance) -> Servers {
    let addr = backlog.addr;
    let connections = backlog.open();
    let first = connections.recv_timeout(TEST_TIMEOUT).unwrap();
    if disturbance == Disturbance::Stall {
        stop(fixture);
    }
    let (tx, established) = channel();
    tx.send(first).unwrap();
    thread::spawn(move || connections.into_iter().try_for_each(|next| tx.send(next)));
    Servers::of(addr, established)
}

/// Has the servers do what the requests wait for, and returns with the first attempt that follows.
fn go_on(fixture: &NodeFixture, servers: &Servers, moment: Moment) {
    servers.begun.try_iter().for_each(drop);
    match moment {
        Moment::Drain => fixture.signal("-TERM"),
        Moment::Standby => assert_eq!(fixture.admin_call("POST /standby").status(), 200),
        _ => {}
    }
    match moment {
        Moment::Place => servers.set_behavior(Behavior::ServeHeld),
        Moment::TimeOut => {}
        _ => servers.set_behavior(Behavior::RejectHeld),
    }
    servers
        .begun
        .recv_timeout(TEST_TIMEOUT)
        .expect("an attempt");
}

/// Sends a flood, and returns once all of it is outstanding or rejected.
fn send_flood(fixture: &NodeFixture, moment: Moment) -> Vec<TcpStream> {
    let class = if moment == Moment::Place {
        "pay"
    } else {
        "look"
    };
    // Two of each key, of which one waits where they go one after the other.
    let sent =
        (0..FLOOD).map(|n| fixture.send(&request_with_key(class, &n.to_string(), 60_000, n / 2)));
    let sent: Vec<TcpStream> = sent.collect();
    let rejected = format!("svc_declined_total{{service=\"{class}\"}}");
    let settled = || fixture.metric("svc_outstanding") + fixture.metric(&rejected);
    wait_until("all are held or refused", || settled() == FLOOD as u64);
    sent
}

/// Waits until the node has noticed that all clients left.
fn wait_until_noticed(fixture: &mut NodeFixture, servers: &Servers, moment: Moment) {
    if moment == Moment::Drain {
        servers.set_behavior(Behavior::Serve);
        assert!(fixture.node.wait().unwrap().success());
    } else {
        wait_until("all that left is known", || {
            fixture.metric("svc_outstanding") == 0
        });
        servers.set_behavior(Behavior::Serve);
        wait_until("those that stay are served", || {
            fixture.request("look", "last").status() == 200
        });
    }
}

/// A flood of requests that wait at this moment: their clients leave at once, just as what they wait for comes.
fn flood(moment: Moment, goes: Goes, disturbance: Disturbance) -> Flood {
    let upstream = Upstream::new(moment);
    let mut fixture = fixture(upstream.addr(), moment);
    let clients = send_flood(&fixture, moment);
    let waited = fixture.metric("svc_outstanding") as usize;
    let cores = Busy::cores(disturbance == Disturbance::BusyCores);
    let servers = upstream.release(&fixture, moment, disturbance);
    let mut left = HashMap::new();
    let mut half_closed = Vec::new();
    for (n, client) in clients.into_iter().enumerate() {
        left.insert(n.to_string(), SystemTime::now());
        half_closed.extend(goes.go(client));
    }
    if disturbance == Disturbance::Stall {
        thread::sleep(LATEST + LATEST / 2);
        send(&fixture, Signal::SIGCONT);
    }
    wait_until_noticed(&mut fixture, &servers, moment);
    drop(cores);
    drop(fixture);
    let after = |begun: Begun| {
        Some(
            begun
                .at
                .duration_since(*left.get(&begun.txn)?)
                .unwrap_or_default(),
        )
    };
    Flood {
        waited,
        began: servers.begun.try_iter().filter_map(after).collect(),
    }
}

fn send(fixture: &NodeFixture, signal: Signal) {
    kill(Pid::from_raw(fixture.node.id() as i32), signal).unwrap();
}

/// Takes the node off its core.
fn stop(fixture: &NodeFixture) {
    send(fixture, Signal::SIGSTOP);
    let stat = format!("/proc/{}/stat", fixture.node.id());
    wait_until("it stands", || {
        std::fs::read_to_string(&stat).unwrap().contains(") T ")
    });
}

/// Sets how many times the floods of each kind are run.
const RUNS_VARIABLE: &str = "BALANCER_TEST_DISCONNECT_RUNS";
const FORMER_RUNS_VARIABLE: &str = "GONE_PLAYS";

/// Floods share the machine one at a time.
static ONE: Mutex<()> = Mutex::new(());

/// Floods of each way to leave, whose measures are printed: once each where the cores are busy, where the node stalls
/// and, in a drain, where nothing disturbs it, or as many times as `BALANCER_TEST_DISCONNECT_RUNS` says and everywhere
/// undisturbed too.
///
/// Guards against attempts that begin for clients that have left because the node has not noticed it yet.
fn no_attempt_begins_late(moment: Moment) {
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    let runs = environment::variable(RUNS_VARIABLE, FORMER_RUNS_VARIABLE)
        .map(|runs| runs.parse::<usize>().unwrap());
    let disturbances = [
        Disturbance::None,
        Disturbance::BusyCores,
        Disturbance::Stall,
    ];
    for disturbance in disturbances
        .into_iter()
        .skip(usize::from(runs.is_none() && !moment.is_drain()))
    {
        let kind = disturbance.name();
        let (mut left, mut attempts, mut late) = (0, 0, Vec::new());
        for goes in (0..runs.unwrap_or(1)).flat_map(|_| WAYS) {
            let Flood { waited, began } = flood(moment, goes, disturbance);
            assert!(waited >= FLOOD / 2, "{moment:?}: {waited} waited");
            // One thread may be stopped between its look at the client and the write next to it: no process can close
            // that gap, and one stop can fall into it once. Anything else that is late is the node's fault.
            let over = began.iter().filter(|began| **began > LATEST).count();
            assert!(
                over <= usize::from(disturbance == Disturbance::Stall),
                "{moment:?}, {kind}: {over} began late: {began:?}"
            );
            left += waited;
            attempts += began.len();
            late.extend(began.into_iter().filter(|late| !late.is_zero()));
        }
        late.sort();
        // Of all that waited and left: for most of them nothing began any more.
        let p99 = late
            .len()
            .checked_sub(left / 100 + 1)
            .map_or(Duration::ZERO, |at| late[at]);
        let most = late.last().copied().unwrap_or_default();
        println!(
            "{moment:?}, {kind}: {left} left, {attempts} attempts as they did, after {}, p99 {p99:?}, most {most:?}",
            late.len()
        );
    }
}

#[test]
fn no_attempt_begins_late_for_clients_that_disconnect_as_their_turn_comes() {
    no_attempt_begins_late(Moment::Place);
}

#[test]
fn no_attempt_begins_late_for_clients_that_disconnect_as_a_connection_is_established() {
    no_attempt_begins_late(Moment::Dial);
}

#[test]
fn no_attempt_begins_late_for_clients_that_disconnect_as_an_attempt_is_rejected() {
    no_attempt_begins_late(Moment::Resend);
}

#[test]
fn no_attempt_begins_late_for_clients_that_disconnect_as_a_hung_server_times_out() {
    no_attempt_begins_late(Moment::TimeOut);
}

#[test]
fn no_attempt_begins_late_for_clients_that_disconnect_during_a_drain() {
    no_attempt_begins_late(Moment::Drain);
}

#[test]
fn no_attempt_begins_late_for_clients_that_disconnect_during_a_standby() {
    no_attempt_begins_late(Moment::Standby);
}

// What the figures of this file rest on: the end that follows a request must not pass for its first byte.
#[test]
fn a_request_is_timestamped_by_its_bytes_not_by_the_close_that_follows() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    setsockopt(&listener, sockopt::ReceiveTimestampns, &true).unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (server, _) = listener.accept().unwrap();
    client.write_all(b"GET").unwrap();
    let written = SystemTime::now();
    thread::sleep(2 * LATEST);
    drop(client);
    wait_until("it has ended", || has_ended(&server));
    let mut input = Stamped {
        stream: &server,
        came: UNIX_EPOCH,
    };
    assert_eq!(input.read(&mut [0; 8]).unwrap(), 3);
    let came = first_byte(&server, input.came);
    assert!(
        came < written + LATEST,
        "{:?} later",
        came.duration_since(written)
    );
}
