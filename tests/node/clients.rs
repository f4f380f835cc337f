//! Clients' connections: who is served, whose connection is closed.

use super::*;

// Guards against servers that work on for a client that has disconnected.
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

// Guards against an invalid request that reaches a server.
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

// A peer that sends no complete request occupies a socket: the platform allows it 3 s. The waits are
// longer than that only for the sake of a busy machine, and far shorter than a minute.
#[test]
fn connections_without_a_complete_request_are_closed() {
    let fixture = NodeFixture::new(1);
    let complete = request("pay", "1", 60_000);
    for sent in [&b""[..], b"POST /api?key", &complete[..complete.len() - 1]] {
        let start = Instant::now();
        let stream = fixture.send(sent);
        let answer = Message::read(&mut BufReader::new(stream));
        assert!(
            answer.is_none_or(|answer| (400..500).contains(&answer.status())),
            "{sent:?}"
        );
        assert!(
            start.elapsed() < Duration::from_secs(8),
            "{sent:?}: {:?}",
            start.elapsed()
        );
    }
    assert!(fixture.requests().is_empty());
    // A client that has sent a request keeps its connection for longer.
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

// Guards against a node out of descriptors that leaves clients unanswered, or stays so once some are free again.
#[test]
fn requests_past_the_socket_limit_are_rejected_until_sockets_are_free() {
    let fixture = NodeFixture::with_limits(1, json!({"sockets": 94}));
    fixture.set_behavior(Behavior::Hold);
    let occupied = occupy_all_places(&fixture);
    let answer = fixture.request("pay", "1");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (503, "close")
    );
    drop(occupied);
    fixture.set_behavior(Behavior::Serve);
    wait_until("served again", || {
        fixture.request("pay", "2").status() == 200
    });
}

// Nobody can see how long a request lay in the backlog, so one that is refused must not keep another there.
#[test]
fn rejecting_connections_does_not_delay_other_clients() {
    let fixture = NodeFixture::with_limits(1, json!({"sockets": 94}));
    fixture.set_behavior(Behavior::Hold);
    let _occupied = occupy_all_places(&fixture);
    // More than are dismissed at a time, each of which has a second to send: at least one second, were they waited for.
    wait_until(
        "a client is answered before any silent one has had its second",
        || {
            let start = Instant::now();
            let _silent: Vec<TcpStream> = (0..64).map(|_| fixture.connect()).collect();
            assert_eq!(fixture.request("pay", "1").status(), 503);
            start.elapsed() < Duration::from_secs(1)
        },
    );
}

/// Takes the places of a node that may hold 94 descriptors: less the reserve and the servers' third they are seven.
fn occupy_all_places(fixture: &NodeFixture) -> Vec<TcpStream> {
    let hold = |n| {
        let stream = fixture.send(&request("pay", &format!("held-{n}"), 60_000));
        assert!(fixture.receives_request());
        stream
    };
    (0..7).map(hold).collect()
}

// Anyone may connect: those who say nothing must not keep a client out.
#[test]
fn silent_connections_are_closed_to_make_room_for_clients() {
    let fixture = NodeFixture::with_limits(1, json!({"sockets": 94}));
    let mut client = fixture.send(&request("pay", "1", 60_000));
    let mut input = BufReader::new(client.try_clone().unwrap());
    assert_eq!(Message::read(&mut input).unwrap().status(), 200);
    let mut silent: Vec<TcpStream> = (0..6).map(|_| fixture.connect()).collect();
    let start = Instant::now();
    wait_until("a client finds room", || {
        fixture.request("pay", "2").status() == 200
    });
    // Before the silent ones would have been closed anyway.
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "{:?}",
        start.elapsed()
    );
    assert_eq!(one_byte(&mut silent[0]).expect("the oldest is closed"), 0);
    // A connection that has carried a request stays open.
    client.write_all(&request("pay", "3", 60_000)).unwrap();
    assert_eq!(Message::read(&mut input).unwrap().status(), 200);
}

// Guards against a pipelined request that is lost, `HEAD` answered 404 or 405, and an interim answer taken for the
// final one.
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
    // A server's interim answer is not its answer.
    fixture.set_behavior(Behavior::Answer("103 Early Hints\r\n\r\nHTTP/1.1 200 OK"));
    assert_eq!(fixture.request("pay", "3").status(), 200);
}

// An old client has no other way to tell a broken answer from a complete one.
#[test]
fn an_http_1_0_client_sees_a_reset_when_its_response_breaks_off() {
    let fixture = NodeFixture::new(1);
    fixture.set_behavior(Behavior::ChunkedBroken);
    let mut stream = fixture.send(&request_http_1_0("look", "1", 60_000));
    let read = stream.read_to_end(&mut Vec::new());
    assert_eq!(
        read.unwrap_err().kind(),
        std::io::ErrorKind::ConnectionReset
    );
}
