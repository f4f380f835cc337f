//! Clients that disconnect while their request is in progress: the attempt is cancelled, and nothing more is sent for
//! them, however they disconnect and whatever they pipelined before. Other clients are served.

use socket2::SockRef;

use super::*;

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
pub(super) enum Disconnect {
    Close,
    Reset,
    HalfClose,
}

pub(super) const DISCONNECTS: [Disconnect; 3] =
    [Disconnect::Close, Disconnect::Reset, Disconnect::HalfClose];

impl Disconnect {
    /// Disconnects the client. Returns a half-closed connection, which has to stay open until the end of the test.
    pub(super) fn apply(self, client: TcpStream) -> Option<TcpStream> {
        match self {
            Disconnect::Close => drop(client),
            Disconnect::Reset => {
                SockRef::from(&client)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
                drop(client);
            }
            Disconnect::HalfClose => {
                client.shutdown(std::net::Shutdown::Write).unwrap();
                return Some(client);
            }
        }
        None
    }
}

/// Data that a client sends after its request and before it disconnects, with a description.
fn pipelined_bytes() -> [(&'static str, Vec<u8>); 4] {
    // More than hyper reads ahead, but less than the kernel buffers: the node cannot see a disconnect that follows more
    // data than that before it has read the data.
    let long = request("look", "ahead", 60_000).repeat(200);
    [
        ("nothing", Vec::new()),
        ("part of a head", b"GET /api?ke".to_vec()),
        ("a request", request("look", "ahead", 60_000)),
        ("more than is read", long),
    ]
}

/// Long enough for a disconnect to be noticed, and shorter than the time-out of an attempt.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// Takes the next connection of a scripted listener.
fn next_connection(connections: &Receiver<TcpStream>) -> TcpStream {
    let server = connections.recv_timeout(TEST_TIMEOUT).unwrap();
    server.set_read_timeout(Some(DISCONNECT_TIMEOUT)).unwrap();
    server
}

/// Starts a node with one server at this address. `cancelling` says whether attempts may be cancelled.
fn fixture_with(addr: SocketAddr, cancelling: bool) -> NodeFixture {
    NodeFixture::configured(0, &ADMIN_ENV, |config| {
        config["settings"]["bounds"]["cancelling"] = json!(cancelling);
        config["settings"]["bounds"]["dial-timeout"] = json!(60_000_000);
        let members = config["known"]["members"].as_array_mut().unwrap();
        members.push(member_at("s-own", addr));
    })
}

// Guards against a disconnect that goes unnoticed because unread data precedes it: hyper alone would not see it.
#[test]
fn an_attempt_is_cancelled_however_its_client_disconnects() {
    for disconnect in DISCONNECTS {
        for (what, bytes) in pipelined_bytes() {
            let (addr, connections) = scripted_listener();
            let fixture = fixture_with(addr, true);
            let mut client = fixture.send(&request("look", "1", 60_000));
            let server = next_connection(&connections);
            let mut input = BufReader::new(server);
            assert_eq!(Message::read(&mut input).unwrap().header("x-txn"), "1");
            client.write_all(&bytes).unwrap();
            let _half_closed = disconnect.apply(client);
            assert_eq!(
                read_one_byte(&mut input).expect("the attempt was not closed"),
                0,
                "{disconnect:?} after {what}"
            );
        }
    }
}

// Guards against a retry for a disconnected client when an attempt ends that must not be cancelled.
#[test]
fn an_attempt_is_not_retried_for_a_client_that_disconnected() {
    for disconnect in DISCONNECTS {
        for (what, bytes) in pipelined_bytes() {
            let (addr, connections) = scripted_listener();
            let fixture = fixture_with(addr, false);
            let mut client = fixture.send(&request("look", "1", 60_000));
            let mut server = next_connection(&connections);
            let mut input = BufReader::new(server.try_clone().unwrap());
            assert_eq!(Message::read(&mut input).unwrap().header("x-txn"), "1");
            client.write_all(&bytes).unwrap();
            let _half_closed = disconnect.apply(client);
            wait_until("the disconnect is noticed", || {
                fixture.metric("svc_outstanding") == 0
            });
            // An attempt that the server rejects unprocessed is normally retried at once.
            let response =
                "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
            server.write_all(response.as_bytes()).unwrap();
            assert_eq!(
                read_one_byte(&mut input).expect("the connection was not closed"),
                0
            );
            let _other = fixture.send(&request("look", "2", 60_000));
            let next = connections.recv_timeout(TEST_TIMEOUT).unwrap();
            let next = Message::read(&mut BufReader::new(next));
            let next =
                next.unwrap_or_else(|| panic!("no request arrived, {disconnect:?} after {what}"));
            assert_eq!(next.header("x-txn"), "2", "{disconnect:?} after {what}");
        }
    }
}

// Guards against sending a request for a disconnected client once its server connection is established. As nothing has
// been sent before, this holds whether or not attempts may be cancelled.
#[test]
fn nothing_is_sent_for_a_client_that_disconnected_during_connection_setup() {
    for cancelling in [true, false] {
        for disconnect in DISCONNECTS {
            let backlog = FullBacklog::new();
            let fixture = fixture_with(backlog.addr, cancelling);
            let client = fixture.send(&request("pay", "1", 60_000));
            wait_until("the node connects", || backlog.pending_connections() == 1);
            let _half_closed = disconnect.apply(client);
            wait_until("the node gives up the connection", || {
                backlog.pending_connections() == 0
            });
            let connections = backlog.open();
            let _other = fixture.send(&request("pay", "2", 60_000));
            loop {
                let server = connections.recv_timeout(TEST_TIMEOUT).unwrap();
                if let Some(received) = Message::read(&mut BufReader::new(server)) {
                    assert_eq!(
                        received.header("x-txn"),
                        "2",
                        "{disconnect:?}, cancelling {cancelling}"
                    );
                    break;
                }
            }
        }
    }
}

// Guards against a disconnect that goes unnoticed during a drain, so that the attempt continues.
#[test]
fn a_disconnect_during_a_drain_cancels_the_attempt() {
    for disconnect in DISCONNECTS {
        let (addr, connections) = scripted_listener();
        let mut fixture = fixture_with(addr, true);
        let mut client = fixture.send(&request("look", "1", 60_000));
        let mut input = BufReader::new(next_connection(&connections));
        assert_eq!(Message::read(&mut input).unwrap().header("x-txn"), "1");
        fixture.signal("-TERM");
        // The node closes idle connections shortly after the drain begins.
        let mut idle = fixture.connect();
        assert_eq!(
            read_one_byte(&mut idle).expect("the connection was not closed"),
            0
        );
        client.write_all(b"GET /api?ke").unwrap();
        let _half_closed = disconnect.apply(client);
        assert_eq!(
            read_one_byte(&mut input).expect("the attempt was not closed"),
            0,
            "{disconnect:?}"
        );
        assert!(fixture.node.wait().unwrap().success());
    }
}

// Guards against taking unread pipelined data for a disconnect: a client may pipeline many requests and stay connected.
#[test]
fn a_client_that_pipelines_many_requests_is_served() {
    let fixture = NodeFixture::new(1);
    fixture.set_behavior(Behavior::Hold);
    let client = fixture.send(&request("pay", "0", 60_000));
    assert!(fixture.receives_request());
    let many: Vec<u8> = (1..=300)
        .flat_map(|n| request("pay", &n.to_string(), 60_000))
        .collect();
    let mut output = client.try_clone().unwrap();
    let writer = thread::spawn(move || output.write_all(&many).unwrap());
    fixture.set_behavior(Behavior::Serve);
    let mut input = BufReader::new(client);
    for n in 0..=300 {
        let response = Message::read(&mut input).expect("no response");
        assert_eq!(
            (response.status(), response.body),
            (200, n.to_string().into_bytes())
        );
    }
    writer.join().unwrap();
}

// Guards against a retry for a disconnected client when its attempt at a hung server times out.
#[test]
fn a_time_out_causes_no_retry_for_a_client_that_disconnected() {
    for disconnect in DISCONNECTS {
        let (addr, connections) = scripted_listener();
        let fixture = NodeFixture::configured(0, &ADMIN_ENV, |config| {
            config["settings"]["bounds"]["cancelling"] = json!(false);
            config["settings"]["classes"][0]["aim"] = json!(500_000);
            let member = |n: usize| member_at(&format!("s-{n}"), addr);
            config["known"]["members"] = (0..3).map(member).collect();
        });
        let mut client = fixture.send(&request("look", "1", 60_000));
        client.write_all(b"GET /api?ke").unwrap();
        let mut input = BufReader::new(next_connection(&connections));
        assert_eq!(Message::read(&mut input).unwrap().header("x-txn"), "1");
        let _half_closed = disconnect.apply(client);
        wait_until("the disconnect is noticed", || {
            fixture.metric("svc_outstanding") == 0
        });
        // The attempt must not be cancelled, so it ends with its time-out.
        assert_eq!(
            read_one_byte(&mut input).expect("the attempt did not time out"),
            0
        );
        let _other = fixture.send(&request("pay", "2", 60_000));
        let next =
            Message::read(&mut BufReader::new(next_connection(&connections))).expect("no request");
        assert_eq!(next.header("x-txn"), "2", "{disconnect:?}");
    }
}

// Guards against sending a request for a disconnected client when its turn comes: requests of an in-order key are sent
// one at a time, and the next client takes its place.
#[test]
fn a_queued_request_is_not_sent_after_its_client_disconnected() {
    for disconnect in DISCONNECTS {
        let (addr, connections) = scripted_listener();
        let fixture = NodeFixture::configured(0, &ADMIN_ENV, |config| {
            config["settings"]["classes"][1]["serial-by-key"] = json!(true);
            // Longer than the node takes to notice a disconnect, so the balancer does not give up the request first.
            config["settings"]["classes"][1]["aim"] = json!(60_000_000);
            config["known"]["members"] = json!([member_at("s-0", addr)]);
        });
        let first = fixture.send(&request("pay", "1", 60_000));
        let mut server = next_connection(&connections);
        assert_eq!(
            Message::read(&mut BufReader::new(server.try_clone().unwrap()))
                .unwrap()
                .header("x-txn"),
            "1"
        );
        let mut waiting = fixture.send(&request("pay", "2", 60_000));
        wait_until("the second request waits", || {
            fixture.metric("svc_outstanding") == 2
        });
        waiting.write_all(&request("pay", "ahead", 60_000)).unwrap();
        let disconnected_at = Instant::now();
        let _half_closed = disconnect.apply(waiting);
        wait_until("the disconnect is noticed", || {
            fixture.metric("svc_outstanding") == 1
        });
        assert!(
            disconnected_at.elapsed() < DISCONNECT_TIMEOUT,
            "{disconnect:?}: not noticed before the balancer gave up the request"
        );
        let _third = fixture.send(&request("pay", "3", 60_000));
        wait_until("the third request waits", || {
            fixture.metric("svc_outstanding") == 2
        });
        server
            .write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n1")
            .unwrap();
        assert_eq!(
            Message::read(&mut BufReader::new(first)).unwrap().body,
            b"1"
        );
        let next =
            Message::read(&mut BufReader::new(next_connection(&connections))).expect("no request");
        assert_eq!(next.header("x-txn"), "3", "{disconnect:?}");
    }
}

// Guards against state that disconnected clients leave in the node: some disconnect at once, others after much
// pipelined data.
#[test]
fn clients_that_disconnect_leave_no_state_behind() {
    let fixture = NodeFixture::with_admin_listener(1);
    fixture.set_behavior(Behavior::Hold);
    let start = Instant::now();
    for n in 0..60 {
        let mut client = fixture.send(&request("look", &n.to_string(), 60_000));
        if n % 2 == 0 {
            client
                .write_all(&request("look", "ahead", 60_000).repeat(100))
                .unwrap();
        }
        // Half of the clients disconnect at an arbitrary moment, the others once a request is outstanding or rejected.
        if n % 4 < 2 {
            wait_until("a request is outstanding or rejected", || {
                fixture.metric("svc_outstanding") > 0 || fixture.metric(REJECTED_METRIC) > 0
            });
        }
        DISCONNECTS[n % 3].apply(client);
    }
    wait_until("no request is outstanding", || {
        fixture.metric("svc_outstanding") == 0
    });
    assert!(
        start.elapsed() < 2 * DISCONNECT_TIMEOUT,
        "the disconnects were not noticed in time"
    );
    fixture.set_behavior(Behavior::Serve);
    wait_until("a new client is served", || {
        fixture.request("look", "last").status() == 200
    });
}

const REJECTED_METRIC: &str = "svc_declined_total{service=\"look\"}";
