//! Clients that leave a request which waits: it is not sent on, whatever they wrote ahead and however they
//! went. Those that stay are served.

use socket2::SockRef;

use super::*;

/// How a client goes.
#[derive(Clone, Copy, Debug)]
pub(super) enum Goes {
    Fin,
    Reset,
    HalfClose,
}

pub(super) const WAYS: [Goes; 3] = [Goes::Fin, Goes::Reset, Goes::HalfClose];

impl Goes {
    /// Leaves; a half-closed connection has to stay open for as long as the test lasts.
    pub(super) fn go(self, client: TcpStream) -> Option<TcpStream> {
        match self {
            Goes::Fin => drop(client),
            Goes::Reset => {
                SockRef::from(&client)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
                drop(client);
            }
            Goes::HalfClose => {
                client.shutdown(std::net::Shutdown::Write).unwrap();
                return Some(client);
            }
        }
        None
    }
}

/// What a client writes behind its request before it goes.
fn ahead() -> [(&'static str, Vec<u8>); 4] {
    // Past what the library reads, and within what the system takes: an end behind more than that does not
    // come through before the node has read what lies before it.
    let long = request("look", "ahead", 60_000).repeat(200);
    [
        ("nothing", Vec::new()),
        ("part of a head", b"GET /api?ke".to_vec()),
        ("a request", request("look", "ahead", 60_000)),
        ("more than is read", long),
    ]
}

/// Ample for a leaving to be seen, and less than the module lets an attempt take.
const SEEN_WITHIN: Duration = Duration::from_secs(10);

/// The next connection to a server of the test's own.
fn accepted(connections: &Receiver<TcpStream>) -> TcpStream {
    let server = connections.recv_timeout(TEST_TIMEOUT).unwrap();
    server.set_read_timeout(Some(SEEN_WITHIN)).unwrap();
    server
}

/// A fixture with one server of the test's own, and whether attempts may be cancelled.
fn fixture_with(addr: SocketAddr, cancelling: bool) -> NodeFixture {
    NodeFixture::configured(0, &ADMIN_ENV, |config| {
        config["settings"]["bounds"]["cancelling"] = json!(cancelling);
        config["settings"]["bounds"]["dial-timeout"] = json!(60_000_000);
        let members = config["known"]["members"].as_array_mut().unwrap();
        members.push(member_at("s-own", addr));
    })
}

// The library sees a client's end only where nothing unread lies before it.
#[test]
fn an_attempt_is_cancelled_however_its_client_disconnects() {
    for goes in WAYS {
        for (what, bytes) in ahead() {
            let (addr, connections) = scripted();
            let fixture = fixture_with(addr, true);
            let mut client = fixture.send(&request("look", "1", 60_000));
            let server = accepted(&connections);
            let mut input = BufReader::new(server);
            assert_eq!(Message::read(&mut input).unwrap().header("x-txn"), "1");
            client.write_all(&bytes).unwrap();
            let _half_closed = goes.go(client);
            assert_eq!(
                one_byte(&mut input).expect("the attempt is ended"),
                0,
                "{goes:?} behind {what}"
            );
        }
    }
}

// Where an attempt may not be cancelled, its end must not bring another one for nobody.
#[test]
fn an_attempt_is_not_retried_for_a_client_that_disconnected() {
    for goes in WAYS {
        for (what, bytes) in ahead() {
            let (addr, connections) = scripted();
            let fixture = fixture_with(addr, false);
            let mut client = fixture.send(&request("look", "1", 60_000));
            let mut server = accepted(&connections);
            let mut input = BufReader::new(server.try_clone().unwrap());
            assert_eq!(Message::read(&mut input).unwrap().header("x-txn"), "1");
            client.write_all(&bytes).unwrap();
            let _half_closed = goes.go(client);
            wait_until("the leaving is known", || {
                fixture.metric("svc_outstanding") == 0
            });
            // Rejected unseen, it would be retried at once.
            let answer =
                "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
            server.write_all(answer.as_bytes()).unwrap();
            assert_eq!(one_byte(&mut input).expect("closed"), 0);
            let _other = fixture.send(&request("look", "2", 60_000));
            let next = connections.recv_timeout(TEST_TIMEOUT).unwrap();
            let next = Message::read(&mut BufReader::new(next));
            let next = next.unwrap_or_else(|| panic!("nothing came, {goes:?} behind {what}"));
            assert_eq!(next.header("x-txn"), "2", "{goes:?} behind {what}");
        }
    }
}

// What waits for a connection has not been sent: it is not, whether or not attempts may be cancelled.
#[test]
fn nothing_is_sent_for_a_client_that_disconnected_during_connection_setup() {
    for cancelling in [true, false] {
        for goes in WAYS {
            let backlog = FullBacklog::new();
            let fixture = fixture_with(backlog.addr, cancelling);
            let client = fixture.send(&request("pay", "1", 60_000));
            wait_until("it dials", || backlog.pending_connections() == 1);
            let _half_closed = goes.go(client);
            wait_until("the dial is given up", || {
                backlog.pending_connections() == 0
            });
            let connections = backlog.open();
            let _other = fixture.send(&request("pay", "2", 60_000));
            loop {
                let server = connections.recv_timeout(TEST_TIMEOUT).unwrap();
                if let Some(came) = Message::read(&mut BufReader::new(server)) {
                    assert_eq!(
                        came.header("x-txn"),
                        "2",
                        "{goes:?}, cancelling {cancelling}"
                    );
                    break;
                }
            }
        }
    }
}

// Guards against a disconnect that goes unseen during a drain, so that the attempt goes on.
#[test]
fn a_disconnect_during_a_drain_cancels_the_attempt() {
    for goes in WAYS {
        let (addr, connections) = scripted();
        let mut fixture = fixture_with(addr, true);
        let mut client = fixture.send(&request("look", "1", 60_000));
        let mut input = BufReader::new(accepted(&connections));
        assert_eq!(Message::read(&mut input).unwrap().header("x-txn"), "1");
        fixture.signal("-TERM");
        // Idle connections close once the drain is past its beginning.
        let mut idle = fixture.connect();
        assert_eq!(one_byte(&mut idle).expect("closed"), 0);
        client.write_all(b"GET /api?ke").unwrap();
        let _half_closed = goes.go(client);
        assert_eq!(
            one_byte(&mut input).expect("the attempt is ended"),
            0,
            "{goes:?}"
        );
        assert!(fixture.node.wait().unwrap().success());
    }
}

// Guards against unread bytes that pass for the end of a connection: a client may pipeline many requests and stay.
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
        let answer = Message::read(&mut input).expect("an answer");
        assert_eq!(
            (answer.status(), answer.body),
            (200, n.to_string().into_bytes())
        );
    }
    writer.join().unwrap();
}

// The time-out of a hung server would bring a second copy, for nobody.
#[test]
fn a_time_out_causes_no_retry_for_a_client_that_disconnected() {
    for goes in WAYS {
        let (addr, connections) = scripted();
        let fixture = NodeFixture::configured(0, &ADMIN_ENV, |config| {
            config["settings"]["bounds"]["cancelling"] = json!(false);
            config["settings"]["classes"][0]["aim"] = json!(500_000);
            let member = |n: usize| member_at(&format!("s-{n}"), addr);
            config["known"]["members"] = (0..3).map(member).collect();
        });
        let mut client = fixture.send(&request("look", "1", 60_000));
        client.write_all(b"GET /api?ke").unwrap();
        let mut input = BufReader::new(accepted(&connections));
        assert_eq!(Message::read(&mut input).unwrap().header("x-txn"), "1");
        let _half_closed = goes.go(client);
        wait_until("the leaving is known", || {
            fixture.metric("svc_outstanding") == 0
        });
        // The attempt may not be cancelled, and ends with its time.
        assert_eq!(one_byte(&mut input).expect("timed out"), 0);
        let _other = fixture.send(&request("pay", "2", 60_000));
        let next = Message::read(&mut BufReader::new(accepted(&connections))).expect("a request");
        assert_eq!(next.header("x-txn"), "2", "{goes:?}");
    }
}

// Requests of one key go one after the other: one whose client left makes way for the next.
#[test]
fn a_queued_request_is_not_sent_after_its_client_disconnected() {
    for goes in WAYS {
        let (addr, connections) = scripted();
        let fixture = NodeFixture::configured(0, &ADMIN_ENV, |config| {
            config["settings"]["classes"][1]["serial-by-key"] = json!(true);
            // The module lets it wait for far longer than its leaving takes to be seen.
            config["settings"]["classes"][1]["aim"] = json!(60_000_000);
            config["known"]["members"] = json!([member_at("s-0", addr)]);
        });
        let first = fixture.send(&request("pay", "1", 60_000));
        let mut server = accepted(&connections);
        assert_eq!(
            Message::read(&mut BufReader::new(server.try_clone().unwrap()))
                .unwrap()
                .header("x-txn"),
            "1"
        );
        let mut waiting = fixture.send(&request("pay", "2", 60_000));
        wait_until("it waits", || fixture.metric("svc_outstanding") == 2);
        waiting.write_all(&request("pay", "ahead", 60_000)).unwrap();
        let left = Instant::now();
        let _half_closed = goes.go(waiting);
        wait_until("the leaving is known", || {
            fixture.metric("svc_outstanding") == 1
        });
        assert!(
            left.elapsed() < SEEN_WITHIN,
            "{goes:?}: it was the module that gave up"
        );
        let _third = fixture.send(&request("pay", "3", 60_000));
        wait_until("the next one waits", || {
            fixture.metric("svc_outstanding") == 2
        });
        server
            .write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n1")
            .unwrap();
        assert_eq!(
            Message::read(&mut BufReader::new(first)).unwrap().body,
            b"1"
        );
        let next = Message::read(&mut BufReader::new(accepted(&connections))).expect("a request");
        assert_eq!(next.header("x-txn"), "3", "{goes:?}");
    }
}

// Some disconnect at once and reconnect, others send much and leave: those that stay find the node as it was.
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
        // At any moment on its way, or once it is outstanding or was rejected.
        if n % 4 < 2 {
            wait_until("it is taken", || {
                fixture.metric("svc_outstanding") > 0 || fixture.metric(REJECTED_METRIC) > 0
            });
        }
        WAYS[n % 3].go(client);
    }
    wait_until("nothing is held", || fixture.metric("svc_outstanding") == 0);
    assert!(
        start.elapsed() < 2 * SEEN_WITHIN,
        "it was the module that gave up"
    );
    fixture.set_behavior(Behavior::Serve);
    wait_until("those that stay are served", || {
        fixture.request("look", "last").status() == 200
    });
}

const REJECTED_METRIC: &str = "svc_declined_total{service=\"look\"}";
