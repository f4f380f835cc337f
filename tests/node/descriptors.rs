//! The descriptors that a node reserves: while clients hold as many connections as they can, it must still reach
//! discovery, serve requests, send health checks and answer operators.

use super::*;
use std::sync::atomic::{AtomicBool, Ordering};

/// Time within which the node has to apply an update of discovery.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);
const SOCKETS: usize = 256;
/// Number of clients that reconnect, more than the node has client sockets.
const RECONNECTING_CLIENTS: usize = 200;

/// Data that a reconnecting client sends before it waits.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientData {
    Nothing,
    /// A request with an incomplete short body, which the node buffers until it is complete.
    IncompleteShortBody,
    /// A request with an incomplete long body, which the node forwards to a server as it arrives.
    IncompleteLongBody,
}

impl ClientData {
    fn bytes(self) -> Vec<u8> {
        match self {
            ClientData::Nothing => Vec::new(),
            ClientData::IncompleteShortBody => {
                let request = request("pay", "half", 60_000);
                request[..request.len() - 2].to_vec()
            }
            ClientData::IncompleteLongBody => {
                let head = post("pay", "half", 60_000, "Content-Length: 20000000\r\n");
                [head, vec![b'x'; 400_000]].concat()
            }
        }
    }
}

/// Clients that reconnect whenever the node closes their connection.
struct ReconnectingClients {
    stop: Arc<AtomicBool>,
    clients: Option<thread::JoinHandle<()>>,
}

impl ReconnectingClients {
    /// Starts the clients. The connections in `first` exist already.
    fn new(addr: SocketAddr, data: ClientData, first: Vec<TcpStream>) -> ReconnectingClients {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_requested = stop.clone();
        let clients = thread::spawn(move || {
            let mut connections: Vec<Option<TcpStream>> = first.into_iter().map(Some).collect();
            connections.resize_with(RECONNECTING_CLIENTS, || None);
            let bytes = data.bytes();
            let mut sent_bytes: Vec<usize> = vec![0; RECONNECTING_CLIENTS];
            connections
                .iter()
                .flatten()
                .for_each(|stream| stream.set_nonblocking(true).unwrap());
            while !stop_requested.load(Ordering::Relaxed) {
                for (connection, sent) in connections.iter_mut().zip(&mut sent_bytes) {
                    if let Some(stream) = connection {
                        let more = if *sent < bytes.len() {
                            &bytes[*sent..]
                        } else {
                            &[]
                        };
                        match stream.write(more) {
                            Ok(n) => *sent += n,
                            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                            Err(_) => *connection = None,
                        }
                    }
                    if let Some(stream) = connection {
                        match stream.read(&mut [0; 1024]) {
                            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                                continue
                            }
                            _ => *connection = None,
                        }
                    }
                    *sent = 0;
                    *connection =
                        TcpStream::connect_timeout(&addr, Duration::from_millis(100)).ok();
                    connection
                        .iter()
                        .for_each(|stream| stream.set_nonblocking(true).unwrap());
                }
                thread::sleep(Duration::from_millis(20));
            }
        });
        ReconnectingClients {
            stop,
            clients: Some(clients),
        }
    }
}

impl Drop for ReconnectingClients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.clients.take().unwrap().join();
    }
}

/// An address for discovery on which nobody listens yet, so calls to it are refused.
struct UnreachableDiscovery(socket2::Socket);

impl UnreachableDiscovery {
    fn new() -> UnreachableDiscovery {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_reuse_address(true).unwrap();
        socket
            .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
            .unwrap();
        UnreachableDiscovery(socket)
    }

    fn addr(&self) -> SocketAddr {
        address_of(&self.0)
    }

    fn listen(self) -> Receiver<TcpStream> {
        self.0.listen(64).unwrap();
        connections(TcpListener::from(self.0))
    }
}

/// Starts a node with few descriptors, an admin listener and health checks of ejected servers.
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
    responses: BufReader<TcpStream>,
    request_count: u32,
}

impl PersistentClient {
    fn new(addr: SocketAddr) -> PersistentClient {
        let stream = connect(addr);
        let responses = BufReader::new(stream.try_clone().unwrap());
        PersistentClient {
            stream,
            responses,
            request_count: 0,
        }
    }

    /// Sends a request with a new routing key. Returns the status of the response.
    fn request(&mut self) -> u16 {
        self.request_count += 1;
        let id = format!("kept-{}", self.request_count);
        self.stream
            .write_all(&request_with_key("pay", &id, 60_000, self.request_count))
            .expect("the connection was closed");
        Message::read(&mut self.responses)
            .expect("no response")
            .status()
    }

    /// Sends requests with many keys, all of which have to be served. Returns whether one of them reached this server.
    fn reaches(&mut self, fixture: &NodeFixture, server: usize) -> bool {
        fixture.requests();
        for _ in 0..16 {
            assert_eq!(self.request(), 200);
        }
        let is_own = |m: &Message| m.header("x-txn").starts_with("kept-");
        fixture
            .requests()
            .iter()
            .any(|(other, message)| *other == server && is_own(message))
    }
}

/// Checks a node while clients hold all sockets they can: it has to serve requests, apply a drain within the deadline
/// after discovery is restored, eject and health-check a server, and answer operators.
fn check_node_works(
    fixture: &mut NodeFixture,
    client: &mut PersistentClient,
    restore_discovery: impl FnOnce() -> Receiver<TcpStream>,
    what: &str,
) {
    assert!(client.reaches(fixture, 0), "{what}");
    assert!(fixture.admin_call("GET /status").status() == 200, "{what}");
    let watches = restore_discovery();
    let start = Instant::now();
    let mut watch = watches
        .recv_timeout(TEST_TIMEOUT)
        .expect("no watch was opened");
    accept_watch(&mut watch);
    let delta = fixture.change_phase(0, "terminating", 42);
    write_chunk(&mut watch, &delta);
    wait_until("the draining server gets no requests", || {
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
    assert!(open_descriptors(&fixture.node) <= SOCKETS, "{what}");
    check_descriptors_sufficed(fixture, what);
}

/// Checks that a failing server gets health checks, and requests again once it is healthy.
fn check_ejection(fixture: &NodeFixture, client: &mut PersistentClient) {
    *fixture.behaviors[1].lock().unwrap() = Behavior::Respond("500 Error");
    let mut health_checked = false;
    wait_until("a health check is sent", || {
        client.request();
        health_checked |= fixture
            .requests()
            .iter()
            .any(|(n, m)| *n == 1 && m.first_line.starts_with("GET /-/healthy "));
        health_checked
    });
    *fixture.behaviors[1].lock().unwrap() = Behavior::Serve;
    wait_until("the server gets requests again", || {
        let _ = fixture.requests();
        client.request();
        fixture
            .requests()
            .iter()
            .any(|(n, m)| *n == 1 && m.header("x-txn").starts_with("kept-"))
    });
}

/// Checks that no call failed for want of a descriptor (`EMFILE`).
fn check_descriptors_sufficed(fixture: &NodeFixture, what: &str) {
    let error = fixture
        .log
        .lines()
        .into_iter()
        .find(|line| line.contains("os error 24"));
    assert_eq!(error, None, "{what}: out of descriptors");
}

fn wait_until_full(fixture: &NodeFixture) {
    // Connections past the limit are rejected or closed, but occupy descriptors until then.
    wait_until("clients hold more than half of the descriptors", || {
        open_descriptors(&fixture.node) > SOCKETS / 2
    });
}

// Guards against clients in the backlog that take the descriptor of the first call to discovery.
#[test]
fn clients_that_fill_the_node_before_its_first_discovery_call_block_nothing() {
    for (data, mode) in [
        (ClientData::Nothing, "push"),
        (ClientData::IncompleteShortBody, "ask"),
    ] {
        let discovery = UnreachableDiscovery::new();
        let mut fixture = fixture(discovery.addr(), mode);
        // The clients wait in the backlog before the process starts.
        fixture.kill();
        let listener = bound_socket();
        listener.listen(1024).unwrap();
        let listener = TcpListener::from(listener);
        let addr = listener.local_addr().unwrap();
        let first: Vec<_> = (0..RECONNECTING_CLIENTS)
            .map(|_| TcpStream::connect(addr).unwrap())
            .collect();
        (fixture.node, fixture.addr, fixture.admin_addr, fixture.log) =
            start_logged(fixture.file.path(), Some(&listener), &ADMIN_ENV);
        drop(listener);
        let _clients = ReconnectingClients::new(addr, data, first);
        wait_until_full(&fixture);
        let mut client = connect_admitted(addr);
        check_node_works(
            &mut fixture,
            &mut client,
            || discovery.listen(),
            &format!("{data:?} {mode}"),
        );
    }
}

/// Retries until a connection is admitted besides those of the reconnecting clients.
fn connect_admitted(addr: SocketAddr) -> PersistentClient {
    let start = Instant::now();
    loop {
        let mut client = PersistentClient::new(addr);
        let request = request("pay", "first", 60_000);
        let response = match client.stream.write_all(&request) {
            Ok(()) => Message::read(&mut client.responses),
            Err(_) => None,
        };
        if response.is_some_and(|response| response.status() == 200) {
            return client;
        }
        assert!(start.elapsed() < TEST_TIMEOUT, "no connection was admitted");
        thread::sleep(Duration::from_millis(20));
    }
}

// Guards against clients that take the descriptor that the node needs to reopen a broken watch.
#[test]
fn clients_that_fill_the_node_while_the_watch_is_reopened_block_nothing() {
    for mode in ["push", "ask"] {
        let (addr, watches) = scripted_listener();
        let mut fixture = fixture(addr, mode);
        let mut first = watches.recv_timeout(TEST_TIMEOUT).unwrap();
        accept_watch(&mut first);
        write_chunk(&mut first, "\n");
        let mut client = PersistentClient::new(fixture.addr);
        assert_eq!(client.request(), 200);
        // The watch breaks, and the call that replaces it hangs. The clients connect meanwhile.
        drop(first);
        let hung_call = watches
            .recv_timeout(TEST_TIMEOUT)
            .expect("the watch was not reopened");
        let _clients = ReconnectingClients::new(fixture.addr, ClientData::Nothing, Vec::new());
        wait_until_full(&fixture);
        drop(hung_call);
        check_node_works(&mut fixture, &mut client, || watches, mode);
    }
}

// Guards against uploads that hold all sockets to servers: requests were rejected, and healthy servers were ejected
// because no socket was free to connect to them.
#[test]
fn clients_that_fill_the_node_with_incomplete_bodies_block_nothing() {
    for data in [
        ClientData::IncompleteShortBody,
        ClientData::IncompleteLongBody,
    ] {
        let discovery = UnreachableDiscovery::new();
        let mut fixture = fixture(discovery.addr(), "push");
        let mut client = PersistentClient::new(fixture.addr);
        assert_eq!(client.request(), 200);
        let _clients = ReconnectingClients::new(fixture.addr, data, Vec::new());
        wait_until_full(&fixture);
        check_node_works(
            &mut fixture,
            &mut client,
            || discovery.listen(),
            &format!("{data:?}"),
        );
    }
}

// The configured limit may be higher than the descriptor limit of the process.
#[test]
fn the_descriptor_limit_of_the_process_applies_where_it_is_below_the_configured_one() {
    let mut fixture = fixture(UnreachableDiscovery::new().addr(), "push");
    fixture.kill();
    (fixture.node, fixture.addr, fixture.admin_addr, fixture.log) =
        start_within(120, fixture.file.path(), None, &ADMIN_ENV);
    fixture
        .log
        .wait_for_line(&["limits.sockets is 256", "allows 120"]);
    let mut client = PersistentClient::new(fixture.addr);
    assert_eq!(client.request(), 200);
    let _clients =
        ReconnectingClients::new(fixture.addr, ClientData::IncompleteShortBody, Vec::new());
    wait_until("the clients are connected", || {
        client.request() == 200 && open_descriptors(&fixture.node) > 50
    });
    for _ in 0..50 {
        assert_eq!(client.request(), 200);
        assert_eq!(fixture.admin_call("GET /status").status(), 200);
    }
    check_descriptors_sufficed(&fixture, "limit 120, configured 256");
}

// Guards against a node that starts with fewer descriptors than it needs.
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
