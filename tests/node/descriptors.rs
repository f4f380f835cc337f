//! Clients that hold all the connections they can while discovery is down: what a node reserves for itself.

use super::*;
use std::sync::atomic::{AtomicBool, Ordering};

/// An update of discovery has to be in force after this long, whoever holds the descriptors.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);
const SOCKETS: usize = 256;
/// More than the node has places for.
const CROWD: usize = 200;

/// What a client of the crowd sends and then waits with.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sends {
    Nothing,
    /// Most of a short body, which the node buffers until it is complete.
    HalfAShortBody,
    /// A part of a long body, which goes on to a server as it comes, and a little more now and then.
    HalfALongBody,
}

impl Sends {
    fn first(self) -> Vec<u8> {
        match self {
            Sends::Nothing => Vec::new(),
            Sends::HalfAShortBody => {
                let request = request("pay", "half", 60_000);
                request[..request.len() - 2].to_vec()
            }
            Sends::HalfALongBody => {
                let head = post("pay", "half", 60_000, "Content-Length: 20000000\r\n");
                [head, vec![b'x'; 400_000]].concat()
            }
        }
    }
}

/// Clients that reconnect whenever the node closes their connection.
struct Crowd {
    ends: Arc<AtomicBool>,
    clients: Option<thread::JoinHandle<()>>,
}

impl Crowd {
    /// Those of `first` are connected already.
    fn new(addr: SocketAddr, sends: Sends, first: Vec<TcpStream>) -> Crowd {
        let ends = Arc::new(AtomicBool::new(false));
        let ended = ends.clone();
        let clients = thread::spawn(move || {
            let mut places: Vec<Option<TcpStream>> = first.into_iter().map(Some).collect();
            places.resize_with(CROWD, || None);
            let text = sends.first();
            let mut rest: Vec<usize> = vec![0; CROWD];
            places
                .iter()
                .flatten()
                .for_each(|stream| stream.set_nonblocking(true).unwrap());
            while !ended.load(Ordering::Relaxed) {
                for (place, sent) in places.iter_mut().zip(&mut rest) {
                    if let Some(stream) = place {
                        let more = if *sent < text.len() {
                            &text[*sent..]
                        } else {
                            &[]
                        };
                        match stream.write(more) {
                            Ok(n) => *sent += n,
                            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                            Err(_) => *place = None,
                        }
                    }
                    if let Some(stream) = place {
                        match stream.read(&mut [0; 1024]) {
                            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                                continue
                            }
                            _ => *place = None,
                        }
                    }
                    *sent = 0;
                    *place = TcpStream::connect_timeout(&addr, Duration::from_millis(100)).ok();
                    place
                        .iter()
                        .for_each(|stream| stream.set_nonblocking(true).unwrap());
                }
                thread::sleep(Duration::from_millis(20));
            }
        });
        Crowd {
            ends,
            clients: Some(clients),
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
        let _ = self.clients.take().unwrap().join();
    }
}

/// An address of discovery's at which nobody listens yet: calls to it are refused.
struct Down(socket2::Socket);

impl Down {
    fn new() -> Down {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_reuse_address(true).unwrap();
        socket
            .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
            .unwrap();
        Down(socket)
    }

    fn addr(&self) -> SocketAddr {
        address_of(&self.0)
    }

    fn listen(self) -> Receiver<TcpStream> {
        self.0.listen(64).unwrap();
        connections(TcpListener::from(self.0))
    }
}

/// A node with few descriptors, an admin listener and health checks of ejected servers.
fn fixture(discovery: SocketAddr, mode: &str) -> NodeFixture {
    NodeFixture::configured(4, &ADMIN_ENV, |config| {
        config["limits"]["sockets"] = json!(SOCKETS);
        config["discovery"] = json!(discovery.to_string());
        config["settings"]["registry-mode"] = json!(mode);
        config["settings"]["bounds"]["may-probe"] = json!(true);
    })
}

/// A client that sends all its requests on one connection.
struct PersistentClient {
    stream: TcpStream,
    answers: BufReader<TcpStream>,
    request_count: u32,
}

impl PersistentClient {
    fn new(addr: SocketAddr) -> PersistentClient {
        let stream = connect(addr);
        let answers = BufReader::new(stream.try_clone().unwrap());
        PersistentClient {
            stream,
            answers,
            request_count: 0,
        }
    }

    /// Sends a request with a key of its own; the status of the answer.
    fn request(&mut self) -> u16 {
        self.request_count += 1;
        let id = format!("kept-{}", self.request_count);
        self.stream
            .write_all(&request_with_key("pay", &id, 60_000, self.request_count))
            .expect("the connection is kept");
        Message::read(&mut self.answers)
            .expect("an answer")
            .status()
    }

    /// Whether many requests, all served, reach this server.
    fn reaches(&mut self, fixture: &NodeFixture, server: usize) -> bool {
        fixture.requests();
        for _ in 0..16 {
            assert_eq!(self.request(), 200);
        }
        let of_ours = |m: &Message| m.header("x-txn").starts_with("kept-");
        fixture
            .requests()
            .iter()
            .any(|(other, message)| *other == server && of_ours(message))
    }
}

/// What a node has to do while the crowd is there: once discovery is back with a drain, follow it in time; serve
/// requests, send health checks and answer operators.
fn check_that_all_is_served(
    fixture: &mut NodeFixture,
    client: &mut PersistentClient,
    restore_discovery: impl FnOnce() -> Receiver<TcpStream>,
    what: &str,
) {
    assert!(client.reaches(fixture, 0), "{what}");
    assert!(fixture.admin_call("GET /status").status() == 200, "{what}");
    let watches = restore_discovery();
    let start = Instant::now();
    let mut watch = watches.recv_timeout(TEST_TIMEOUT).expect("a watch");
    accept_watch(&mut watch);
    let delta = fixture.change_phase(0, "terminating", 42);
    chunk(&mut watch, &delta);
    wait_until("the draining server is left alone", || {
        !client.reaches(fixture, 0)
    });
    assert!(
        start.elapsed() < UPDATE_DEADLINE,
        "{what}: {:?}",
        start.elapsed()
    );
    check_ejection(fixture, client);
    for _ in 0..16 {
        assert_eq!(client.request(), 200, "{what}");
    }
    assert_eq!(
        fixture
            .admin_call("POST /maintenance/enter?member=s-2")
            .status(),
        200,
        "{what}"
    );
    assert_eq!(fixture.admin_call("GET /status").status(), 200, "{what}");
    assert!(descriptors(&fixture.node) <= SOCKETS, "{what}");
    check_descriptors_sufficed(fixture, what);
}

/// A server that fails is ejected, and checked until it is healthy and in use.
fn check_ejection(fixture: &NodeFixture, client: &mut PersistentClient) {
    *fixture.behaviors[1].lock().unwrap() = Behavior::Answer("500 Error");
    let mut probed = false;
    wait_until("a probe goes out", || {
        client.request();
        probed |= fixture
            .requests()
            .iter()
            .any(|(n, m)| *n == 1 && m.first.starts_with("GET /-/healthy "));
        probed
    });
    *fixture.behaviors[1].lock().unwrap() = Behavior::Serve;
    wait_until("the server is back", || {
        let _ = fixture.requests();
        client.request();
        fixture
            .requests()
            .iter()
            .any(|(n, m)| *n == 1 && m.header("x-txn").starts_with("kept-"))
    });
}

fn check_descriptors_sufficed(fixture: &NodeFixture, what: &str) {
    let short = fixture
        .log
        .lines()
        .into_iter()
        .find(|line| line.contains("os error 24"));
    assert_eq!(short, None, "{what}: out of descriptors");
}

fn wait_until_full(fixture: &NodeFixture) {
    // Connections past the limit are refused or closed, and counted.
    wait_until("all places are taken", || {
        descriptors(&fixture.node) > SOCKETS / 2
    });
}

// Guards against clients in the backlog that take the descriptors of the first call to discovery.
#[test]
fn clients_that_fill_the_node_before_its_first_discovery_call_block_nothing() {
    for (sends, mode) in [(Sends::Nothing, "push"), (Sends::HalfAShortBody, "ask")] {
        let down = Down::new();
        let mut fixture = fixture(down.addr(), mode);
        // The crowd waits in the backlog before the process is there.
        fixture.kill();
        let listener = bound_socket();
        listener.listen(1024).unwrap();
        let listener = TcpListener::from(listener);
        let addr = listener.local_addr().unwrap();
        let first: Vec<_> = (0..CROWD)
            .map(|_| TcpStream::connect(addr).unwrap())
            .collect();
        (fixture.node, fixture.addr, fixture.admin_addr, fixture.log) =
            start_logged(fixture.file.path(), Some(&listener), &ADMIN_ENV);
        drop(listener);
        let _crowd = Crowd::new(addr, sends, first);
        wait_until_full(&fixture);
        let mut client = connect_admitted(addr);
        check_that_all_is_served(
            &mut fixture,
            &mut client,
            || down.listen(),
            &format!("{sends:?} {mode}"),
        );
    }
}

/// A connection that was admitted among the crowd.
fn connect_admitted(addr: SocketAddr) -> PersistentClient {
    let start = Instant::now();
    loop {
        let mut client = PersistentClient::new(addr);
        let request = request("pay", "first", 60_000);
        let answer = match client.stream.write_all(&request) {
            Ok(()) => Message::read(&mut client.answers),
            Err(_) => None,
        };
        if answer.is_some_and(|answer| answer.status() == 200) {
            return client;
        }
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "a client that asks is let in"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

// Guards against clients that take the descriptor with which a broken watch is reopened.
#[test]
fn clients_that_fill_the_node_while_the_watch_is_reopened_block_nothing() {
    for mode in ["push", "ask"] {
        let (addr, watches) = scripted();
        let mut fixture = fixture(addr, mode);
        let mut first = watches.recv_timeout(TEST_TIMEOUT).unwrap();
        accept_watch(&mut first);
        chunk(&mut first, "\n");
        let mut client = PersistentClient::new(fixture.addr);
        assert_eq!(client.request(), 200);
        // The watch breaks, and what is opened in its place hangs: the crowd comes meanwhile.
        drop(first);
        let hangs = watches.recv_timeout(TEST_TIMEOUT).expect("opened again");
        let _crowd = Crowd::new(fixture.addr, Sends::Nothing, Vec::new());
        wait_until_full(&fixture);
        drop(hangs);
        check_that_all_is_served(&mut fixture, &mut client, || watches, mode);
    }
}

// Guards against uploads that hold all sockets to servers: requests were rejected, and healthy servers ejected for
// want of a socket.
#[test]
fn clients_that_fill_the_node_with_incomplete_bodies_block_nothing() {
    for sends in [Sends::HalfAShortBody, Sends::HalfALongBody] {
        let down = Down::new();
        let mut fixture = fixture(down.addr(), "push");
        let mut client = PersistentClient::new(fixture.addr);
        assert_eq!(client.request(), 200);
        let _crowd = Crowd::new(fixture.addr, sends, Vec::new());
        wait_until_full(&fixture);
        check_that_all_is_served(
            &mut fixture,
            &mut client,
            || down.listen(),
            &format!("{sends:?}"),
        );
    }
}

// A configuration may promise more than the system gives.
#[test]
fn the_descriptor_limit_of_the_process_applies_where_it_is_below_the_configured_one() {
    let mut fixture = fixture(Down::new().addr(), "push");
    fixture.kill();
    (fixture.node, fixture.addr, fixture.admin_addr, fixture.log) =
        start_within(120, fixture.file.path(), None, &ADMIN_ENV);
    fixture
        .log
        .wait_for_line(&["limits.sockets is 256", "allows 120"]);
    let mut client = PersistentClient::new(fixture.addr);
    assert_eq!(client.request(), 200);
    let _crowd = Crowd::new(fixture.addr, Sends::HalfAShortBody, Vec::new());
    wait_until("the crowd is there", || {
        client.request() == 200 && descriptors(&fixture.node) > 50
    });
    for _ in 0..50 {
        assert_eq!(client.request(), 200);
        assert_eq!(fixture.admin_call("GET /status").status(), 200);
    }
    check_descriptors_sufficed(&fixture, "120 of 256");
}

// Guards against a node that starts with fewer descriptors than its parts need.
#[test]
fn a_start_with_too_few_descriptors_fails_and_names_the_setting() {
    let fixture = NodeFixture::new(1);
    let mut config = fixture.config.clone();
    config["limits"]["sockets"] = json!(20);
    std::fs::write(fixture.file.path(), config.to_string()).unwrap();
    let mut node = node_command(fixture.file.path())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let start = Instant::now();
    while node.try_wait().unwrap().is_none() && start.elapsed() < TEST_TIMEOUT {
        thread::sleep(Duration::from_millis(5));
    }
    let _ = node.kill();
    let output = node.wait_with_output().unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(
        !output.status.success() && stderr.lines().count() == 1,
        "{stderr}"
    );
    assert!(
        stderr.contains("limits.sockets: 20 descriptors") && stderr.contains("at least"),
        "{stderr}"
    );
}
