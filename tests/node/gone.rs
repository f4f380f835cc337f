//! No attempt, first or further, begins more than 0.1 s after its client left, as the client counts: from its
//! close, reset or end of sending to the first byte that a server of the test's own gets of any attempt for it.
//! Floods of 500 disconnects cross what lets the node go on: a queue position, a dial, an outcome, a time-out, a drain.

use std::collections::HashMap;
use std::io::IoSliceMut;
use std::os::fd::{AsFd, AsRawFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::PoisonError;
use std::time::{SystemTime, UNIX_EPOCH};

use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use nix::sys::signal::{kill, Signal};
use nix::sys::socket::{recvmsg, setsockopt, sockopt, ControlMessageOwned, MsgFlags};
use nix::unistd::Pid;

use super::common::{arrival, environment};
use super::leaving::{Goes, WAYS};
use super::*;

/// An attempt that begins this long after its client left is one too many.
const LATEST: Duration = Duration::from_millis(100);
/// Clients that leave at once.
const FLOOD: usize = 500;
/// Servers of a flood: one address under many names, so that what the module allows each is enough for all.
const SERVERS: usize = 100;

/// An attempt that came: whose, and when its first byte did, whenever the test's own thread got to it.
struct Begun {
    txn: String,
    at: SystemTime,
}

/// A connection whose reads note when the bytes that they read had arrived.
struct Stamped<'a> {
    stream: &'a TcpStream,
    came: SystemTime,
}

impl Read for Stamped<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let mut space = nix::cmsg_space!(nix::sys::time::TimeSpec);
        let mut parts = [IoSliceMut::new(buffer)];
        let read = recvmsg::<()>(
            self.stream.as_raw_fd(),
            &mut parts,
            Some(&mut space),
            MsgFlags::empty(),
        )?;
        for stamp in read.cmsgs()? {
            if let ControlMessageOwned::ScmTimestampns(at) = stamp {
                self.came = UNIX_EPOCH + Duration::from(at);
            }
        }
        Ok(read.bytes)
    }
}

/// When the first bytes of a request came that were just read, with this stamp.
fn first_byte(stream: &TcpStream, stamp: SystemTime) -> SystemTime {
    assert_ne!(stamp, UNIX_EPOCH, "the system tells when it came");
    // An attempt that was cancelled before anyone read it came when its bytes did, not when it was cancelled.
    let came = if has_ended(stream) {
        arrival::of_data(stream)
    } else {
        None
    };
    came.map_or(stamp, |came| came.min(stamp))
}

fn has_ended(stream: &TcpStream) -> bool {
    let mut events = [PollFd::new(
        stream.as_fd(),
        PollFlags::from_bits_retain(nix::libc::POLLRDHUP),
    )];
    poll(&mut events, PollTimeout::ZERO).unwrap() > 0
}

/// What the servers of a test do with what they hold.
#[derive(Clone, Copy, PartialEq)]
enum Behavior {
    Hold,
    /// Reject unseen what came while they held, so that it is retried at once; hold what comes now.
    RejectHeld,
    /// Serve what came while they held; hold what comes now.
    ServeHeld,
    Serve,
}

/// Servers that note when each attempt began.
struct Servers {
    addr: SocketAddr,
    behavior: Arc<Mutex<Behavior>>,
    begun: Receiver<Begun>,
}

impl Servers {
    fn new() -> Servers {
        let listener = bound_socket();
        // A whole flood comes up at once, also while the thread that accepts gets no core: what one past the backlog
        // writes is dropped, and comes a retransmission later, as if the node had begun it then.
        listener.listen(2 * FLOOD as i32).unwrap();
        setsockopt(&listener, sockopt::ReceiveTimestampns, &true).unwrap();
        let listener = TcpListener::from(listener);
        let addr = listener.local_addr().unwrap();
        let (connections, taken) = channel();
        thread::spawn(move || {
            listener
                .incoming()
                .flatten()
                .take_while(|stream| connections.send(stream.try_clone().unwrap()).is_ok())
                .for_each(drop)
        });
        Servers::of(addr, taken)
    }

    fn of(addr: SocketAddr, connections: Receiver<TcpStream>) -> Servers {
        let behavior = Arc::new(Mutex::new(Behavior::Hold));
        let (begins, begun) = channel();
        let shared = behavior.clone();
        thread::spawn(move || {
            for stream in connections {
                let (behavior, begins) = (shared.clone(), begins.clone());
                thread::spawn(move || serve(&stream, &behavior, &begins));
            }
        });
        Servers {
            addr,
            behavior,
            begun,
        }
    }

    fn set_behavior(&self, what: Behavior) {
        *self.behavior.lock().unwrap() = what;
    }
}

fn serve(stream: &TcpStream, behavior: &Mutex<Behavior>, begins: &Sender<Begun>) {
    stream.set_read_timeout(None).unwrap();
    let mut input = BufReader::new(Stamped {
        stream,
        came: UNIX_EPOCH,
    });
    while input.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
        let at = first_byte(stream, input.get_ref().came);
        let Some(request) = Message::read(&mut input) else {
            return;
        };
        let was_holding = *behavior.lock().unwrap() == Behavior::Hold;
        let txn = request.header("x-txn").to_owned();
        let _ = begins.send(Begun {
            txn: txn.clone(),
            at,
        });
        stream
            .set_read_timeout(Some(Duration::from_millis(2)))
            .unwrap();
        let answer = loop {
            let now = *behavior.lock().unwrap();
            match now {
                Behavior::RejectHeld if was_holding => {
                    break "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
                        .to_owned()
                }
                Behavior::ServeHeld if !was_holding => {}
                Behavior::Serve | Behavior::ServeHeld => break ok_response(&txn),
                _ => {}
            }
            // Closed meanwhile, it was cancelled.
            match input.fill_buf() {
                Ok([]) => return,
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return,
                _ => {}
            }
        };
        stream.set_read_timeout(None).unwrap();
        if (&mut &*stream).write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

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

fn site(addr: SocketAddr, moment: Moment) -> Site {
    Site::configured(0, &ADMIN_ENV, |config| {
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

/// A flood of requests that wait at this moment: their clients leave at once, just as what they wait for comes.
/// `stalls`: the node gets no core from the first sign of that until its clients have been away for longer than
/// an attempt may take to begin.
fn flood(moment: Moment, goes: Goes, busy: bool, stalls: bool) -> Flood {
    let mut late = (moment == Moment::Dial).then(FullBacklog::new);
    let mut servers = late.is_none().then(Servers::new);
    let addr = servers
        .as_ref()
        .map_or_else(|| late.as_ref().unwrap().addr, |servers| servers.addr);
    let mut site = site(addr, moment);
    let class = if moment == Moment::Place {
        "pay"
    } else {
        "look"
    };
    // Two of each key, of which one waits where they go one after the other.
    let sent =
        (0..FLOOD).map(|n| site.send(&request_with_key(class, &n.to_string(), 60_000, n / 2)));
    let sent: Vec<TcpStream> = sent.collect();
    let refused = format!("svc_declined_total{{service=\"{class}\"}}");
    let settled = || site.metric("svc_outstanding") + site.metric(&refused);
    wait_until("all are held or refused", || settled() == FLOOD as u64);
    let waited = site.metric("svc_outstanding") as usize;
    let cores = Busy::cores(busy);
    match (moment, &servers) {
        (Moment::Dial, _) => {
            // The dials that wait come up with their next knock, all within some milliseconds.
            let connections = late.take().unwrap().open();
            let first = connections.recv_timeout(TEST_TIMEOUT).unwrap();
            if stalls {
                stop(&site);
            }
            let (tx, taken) = channel();
            tx.send(first).unwrap();
            thread::spawn(move || connections.into_iter().try_for_each(|next| tx.send(next)));
            servers = Some(Servers::of(addr, taken));
        }
        (_, Some(servers)) => {
            servers.begun.try_iter().for_each(drop);
            match moment {
                Moment::Drain => site.signal("-TERM"),
                Moment::Standby => assert_eq!(site.admin_call("POST /standby").status(), 200),
                _ => {}
            }
            match moment {
                Moment::Place => servers.set_behavior(Behavior::ServeHeld),
                Moment::TimeOut => {}
                _ => servers.set_behavior(Behavior::RejectHeld),
            }
            // The first that goes on.
            servers
                .begun
                .recv_timeout(TEST_TIMEOUT)
                .expect("an attempt");
            if stalls {
                stop(&site);
            }
        }
        _ => unreachable!(),
    }
    let servers = servers.unwrap();
    let mut left = HashMap::new();
    let mut half_closed = Vec::new();
    for (n, client) in sent.into_iter().enumerate() {
        left.insert(n.to_string(), SystemTime::now());
        half_closed.extend(goes.go(client));
    }
    if stalls {
        thread::sleep(LATEST + LATEST / 2);
        send(&site, Signal::SIGCONT);
    }
    if moment == Moment::Drain {
        servers.set_behavior(Behavior::Serve);
        assert!(site.node.wait().unwrap().success());
    } else {
        wait_until("all that left is known", || {
            site.metric("svc_outstanding") == 0
        });
        servers.set_behavior(Behavior::Serve);
        wait_until("those that stay are served", || {
            site.request("look", "last").status() == 200
        });
    }
    drop(cores);
    drop(site);
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

fn send(site: &Site, signal: Signal) {
    kill(Pid::from_raw(site.node.id() as i32), signal).unwrap();
}

/// Takes the node off its core.
fn stop(site: &Site) {
    send(site, Signal::SIGSTOP);
    let stat = format!("/proc/{}/stat", site.node.id());
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
    let plays = environment::variable(RUNS_VARIABLE, FORMER_RUNS_VARIABLE)
        .map(|plays| plays.parse::<usize>().unwrap());
    let kinds = [
        ("quiet", false, false),
        ("busy cores", true, false),
        ("the node stalls", false, true),
    ];
    for (kind, busy, stalls) in kinds
        .into_iter()
        .skip(usize::from(plays.is_none() && !moment.is_drain()))
    {
        let (mut left, mut attempts, mut late) = (0, 0, Vec::new());
        for goes in (0..plays.unwrap_or(1)).flat_map(|_| WAYS) {
            let Flood { waited, began } = flood(moment, goes, busy, stalls);
            assert!(waited >= FLOOD / 2, "{moment:?}: {waited} waited");
            // One thread may be stopped between its look at the client and the write next to it: no process can close
            // that gap, and one stop can fall into it once. Anything else that is late is the node's fault.
            let over = began.iter().filter(|began| **began > LATEST).count();
            assert!(
                over <= usize::from(stalls),
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
fn no_attempt_begins_late_for_clients_that_leave_as_their_turn_comes() {
    no_attempt_begins_late(Moment::Place);
}

#[test]
fn no_attempt_begins_late_for_clients_that_leave_as_a_dial_comes_up() {
    no_attempt_begins_late(Moment::Dial);
}

#[test]
fn no_attempt_begins_late_for_clients_that_leave_as_an_attempt_is_turned_away() {
    no_attempt_begins_late(Moment::Resend);
}

#[test]
fn no_attempt_begins_late_for_clients_that_leave_as_a_hung_server_times_out() {
    no_attempt_begins_late(Moment::TimeOut);
}

#[test]
fn no_attempt_begins_late_for_clients_that_leave_during_a_drain() {
    no_attempt_begins_late(Moment::Drain);
}

#[test]
fn no_attempt_begins_late_for_clients_that_leave_during_a_standby() {
    no_attempt_begins_late(Moment::Standby);
}

// What the figures of this file rest on: the end that follows a request must not pass for its first byte.
#[test]
fn a_request_is_dated_by_its_bytes_and_not_by_the_end_that_follows() {
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
