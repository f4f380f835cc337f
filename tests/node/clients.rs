//! Client connections: which requests are served and which connections are closed.

use super::*;

// Guards against servers that keep working on the request of a client that has disconnected.
#[test]
fn an_attempt_is_cancelled_when_its_client_disconnects() {
    let fixture = NodeFixture::new(2);
    fixture.set_behavior(Behavior::Hang);
    let stream = fixture.send(&request("look", "1", 60_000));
    assert!(fixture.receives_request());
    drop(stream);
    assert!(matches!(
        fixture.reports.recv_timeout(TEST_TIMEOUT),
        Ok(ServerReport::Closed)
    ));
}

// Guards against an invalid request that is forwarded to a server.
#[test]
fn invalid_requests_get_a_4xx_status_and_reach_no_server() {
    let fixture = NodeFixture::new(1);
    let with = |old: &str, new: &str| {
        let text = String::from_utf8(request("pay", "1", 60_000)).unwrap();
        assert!(text.contains(old));
        fixture.exchange(text.replace(old, new).as_bytes()).status()
    };
    assert_eq!(with("X-Lane: pay", "X-Lane: none"), 400);
    assert_eq!(with("X-Org: acme", "X-Org: other"), 400);
    assert_eq!(with("X-Txn: 1\r\n", ""), 400);
    assert_eq!(with("X-Remaining-Ms: 60000", "X-Remaining-Ms: soon"), 400);
    assert_eq!(with("X-Lane: pay", "X-Lane: put"), 400);
    assert_eq!(with("/api?", "/other?"), 404);
    assert_eq!(with("POST", "DELETE"), 405);
    assert_eq!(with("Content-Length: 5", "Content-Length: 40000000"), 413);
    assert_eq!(
        with(
            "X-Org: acme",
            &format!("X-Org: acme\r\nX-Long: {}", "a".repeat(40_000))
        ),
        431
    );
    assert_eq!(with(" HTTP/1.1", " NONSENSE"), 400);
    assert!(fixture.requests().is_empty());
    assert_eq!(fixture.request("pay", "2").status(), 200);
}

// A client without a complete request occupies a socket: the platform allows it 3 s. The test allows more time because
// the machine may be busy, but far less than a minute.
#[test]
fn connections_without_a_complete_request_are_closed() {
    let fixture = NodeFixture::new(1);
    let complete = request("pay", "1", 60_000);
    for sent in [&b""[..], b"POST /api?key", &complete[..complete.len() - 1]] {
        let start = Instant::now();
        let stream = fixture.send(sent);
        let response = Message::read(&mut BufReader::new(stream));
        assert!(
            response.is_none_or(|response| (400..500).contains(&response.status())),
            "response to {sent:?}"
        );
        assert!(
            start.elapsed() < Duration::from_secs(8),
            "closed {:?} after {sent:?}",
            start.elapsed()
        );
    }
    assert!(fixture.requests().is_empty());
    // A connection that has carried a request stays open for longer.
    let mut stream = fixture.connect();
    let mut input = BufReader::new(stream.try_clone().unwrap());
    for id in ["2", "3"] {
        stream.write_all(&request("pay", id, 60_000)).unwrap();
        assert_eq!(Message::read(&mut input).unwrap().body, id.as_bytes());
        if id == "2" {
            let closed = Message::read(&mut BufReader::new(fixture.connect()));
            assert!(closed.is_none());
        }
    }
}

// Guards against a node that runs out of descriptors and then leaves clients without a response, or still rejects them
// once descriptors are free again.
#[test]
fn requests_past_the_socket_limit_are_rejected_until_sockets_are_free() {
    let fixture = NodeFixture::with_limits(1, json!({"sockets": 94}));
    fixture.set_behavior(Behavior::Hold);
    let held_clients = occupy_all_sockets(&fixture);
    let response = fixture.request("pay", "1");
    assert_eq!(
        (response.status(), response.header("connection")),
        (503, "close")
    );
    drop(held_clients);
    fixture.set_behavior(Behavior::Serve);
    wait_until("requests are served again", || {
        fixture.request("pay", "2").status() == 200
    });
}

// The node cannot tell how long a request waited in the backlog, so rejecting one connection must not delay the next.
#[test]
fn rejecting_connections_does_not_delay_other_clients() {
    let fixture = NodeFixture::with_limits(1, json!({"sockets": 94}));
    fixture.set_behavior(Behavior::Hold);
    let _held_clients = occupy_all_sockets(&fixture);
    // More silent connections than the node rejects at a time. Each has one second to send its request, so waiting for
    // them would take at least one second.
    wait_until(
        "a client gets a response before the second of the silent ones is over",
        || {
            let start = Instant::now();
            let _silent: Vec<TcpStream> = (0..64).map(|_| fixture.connect()).collect();
            assert_eq!(fixture.request("pay", "1").status(), 503);
            start.elapsed() < Duration::from_secs(1)
        },
    );
}

/// Occupies all client sockets of a node with 94 descriptors: seven remain for clients after the reserved descriptors
/// and the third for servers.
fn occupy_all_sockets(fixture: &NodeFixture) -> Vec<TcpStream> {
    let hold = |n| {
        let stream = fixture.send(&request("pay", &format!("held-{n}"), 60_000));
        assert!(fixture.receives_request());
        stream
    };
    (0..7).map(hold).collect()
}

// Guards against connections that send nothing and keep clients out.
#[test]
fn silent_connections_are_closed_to_make_room_for_clients() {
    let fixture = NodeFixture::with_limits(1, json!({"sockets": 94}));
    let mut client = fixture.send(&request("pay", "1", 60_000));
    let mut input = BufReader::new(client.try_clone().unwrap());
    assert_eq!(Message::read(&mut input).unwrap().status(), 200);
    let mut silent: Vec<TcpStream> = (0..6).map(|_| fixture.connect()).collect();
    let start = Instant::now();
    wait_until("another client is served", || {
        fixture.request("pay", "2").status() == 200
    });
    // Sooner than silent connections are closed in any case.
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "{:?}",
        start.elapsed()
    );
    assert_eq!(
        read_one_byte(&mut silent[0]).expect("the oldest silent connection was not closed"),
        0
    );
    // A connection that has carried a request stays open.
    client.write_all(&request("pay", "3", 60_000)).unwrap();
    assert_eq!(Message::read(&mut input).unwrap().status(), 200);
}

// Guards against a lost pipelined request, a `HEAD` request that gets status 404 or 405, and an interim response that
// is taken for the final one.
#[test]
fn pipelined_requests_head_requests_and_interim_responses_are_handled() {
    let fixture = NodeFixture::new(1);
    let mut stream = fixture.connect();
    let both = [request("pay", "1", 60_000), request("pay", "2", 60_000)].concat();
    stream.write_all(&both).unwrap();
    let mut input = BufReader::new(stream.try_clone().unwrap());
    for id in ["1", "2"] {
        assert_eq!(Message::read(&mut input).unwrap().body, id.as_bytes());
    }
    let mut head = fixture.send(b"HEAD /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let mut all = String::new();
    head.read_to_string(&mut all).unwrap();
    assert!(
        all.starts_with("HTTP/1.1 200 ") && all.ends_with("\r\n\r\n"),
        "{all}"
    );
    // An interim response of the server (103) precedes the final one.
    fixture.set_behavior(Behavior::Respond("103 Early Hints\r\n\r\nHTTP/1.1 200 OK"));
    assert_eq!(fixture.request("pay", "3").status(), 200);
}

// An HTTP/1.0 client has no other way to tell a truncated response from a complete one.
#[test]
fn an_http_1_0_client_sees_a_reset_when_its_response_breaks_off() {
    let fixture = NodeFixture::new(1);
    fixture.set_behavior(Behavior::TruncateChunked);
    let mut stream = fixture.send(&request_http_1_0("look", "1", 60_000));
    let read = stream.read_to_end(&mut Vec::new());
    assert_eq!(
        read.unwrap_err().kind(),
        std::io::ErrorKind::ConnectionReset
    );
}
