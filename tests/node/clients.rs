//! Clients' connections: who is served, whose connection is closed.

use super::*;

// Guards against servers that work on for a client that has disconnected.
#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let site = Site::new(2);
    site.set_behavior(Behavior::Hang);
    let stream = site.send(&request("look", "1", 60_000));
    assert!(site.receives_request());
    drop(stream);
    assert!(matches!(
        site.reports.recv_timeout(TEST_TIMEOUT),
        Ok(ServerReport::Closed)
    ));
}

// Guards against an invalid request that reaches a server.
#[test]
fn odd_requests_get_plain_answers() {
    let site = Site::new(1);
    let with = |old: &str, new: &str| {
        let text = String::from_utf8(request("pay", "1", 60_000)).unwrap();
        assert!(text.contains(old));
        site.exchange(text.replace(old, new).as_bytes()).status()
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
    assert!(site.requests().is_empty());
    assert_eq!(site.request("pay", "2").status(), 200);
}

// A peer that sends no complete request occupies a socket: the platform allows it 3 s. The waits are
// longer than that only for the sake of a busy machine, and far shorter than a minute.
#[test]
fn peers_that_send_no_whole_request_are_turned_out() {
    let site = Site::new(1);
    let complete = request("pay", "1", 60_000);
    for sent in [&b""[..], b"POST /api?key", &complete[..complete.len() - 1]] {
        let start = Instant::now();
        let stream = site.send(sent);
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
    assert!(site.requests().is_empty());
    // A client that has sent a request keeps its connection for longer.
    let mut stream = site.connect();
    let mut input = BufReader::new(stream.try_clone().unwrap());
    for id in ["2", "3"] {
        stream.write_all(&request("pay", id, 60_000)).unwrap();
        assert_eq!(Message::read(&mut input).unwrap().body, id.as_bytes());
        if id == "2" {
            let closed = Message::read(&mut BufReader::new(site.connect()));
            assert!(closed.is_none());
        }
    }
}

// Guards against a node out of descriptors that leaves clients unanswered, or stays so once some are free again.
#[test]
fn past_its_sockets_the_node_refuses_and_recovers() {
    let site = Site::with_limits(1, json!({"sockets": 94}));
    site.set_behavior(Behavior::Hold);
    let occupied = occupy_all_places(&site);
    let answer = site.request("pay", "1");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (503, "close")
    );
    drop(occupied);
    site.set_behavior(Behavior::Serve);
    wait_until("served again", || site.request("pay", "2").status() == 200);
}

// Nobody can see how long a request lay in the backlog, so one that is refused must not keep another there.
#[test]
fn those_that_are_turned_away_keep_nobody_waiting() {
    let site = Site::with_limits(1, json!({"sockets": 94}));
    site.set_behavior(Behavior::Hold);
    let _occupied = occupy_all_places(&site);
    // More than are dismissed at a time, each of which has a second to send: at least one second, were they waited for.
    wait_until(
        "a client is answered before any silent one has had its second",
        || {
            let start = Instant::now();
            let _silent: Vec<TcpStream> = (0..64).map(|_| site.connect()).collect();
            assert_eq!(site.request("pay", "1").status(), 503);
            start.elapsed() < Duration::from_secs(1)
        },
    );
}

/// Takes the places of a node that may hold 94 descriptors: less the reserve and the servers' third they are seven.
fn occupy_all_places(site: &Site) -> Vec<TcpStream> {
    let hold = |n| {
        let stream = site.send(&request("pay", &format!("held-{n}"), 60_000));
        assert!(site.receives_request());
        stream
    };
    (0..7).map(hold).collect()
}

// Anyone may connect: those who say nothing must not keep a client out.
#[test]
fn connections_that_send_nothing_make_room_for_a_client() {
    let site = Site::with_limits(1, json!({"sockets": 94}));
    let mut client = site.send(&request("pay", "1", 60_000));
    let mut input = BufReader::new(client.try_clone().unwrap());
    assert_eq!(Message::read(&mut input).unwrap().status(), 200);
    let mut silent: Vec<TcpStream> = (0..6).map(|_| site.connect()).collect();
    let start = Instant::now();
    wait_until("a client finds room", || {
        site.request("pay", "2").status() == 200
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
fn requests_written_ahead_and_heads_alone_are_answered() {
    let site = Site::new(1);
    let mut stream = site.connect();
    let both = [request("pay", "1", 60_000), request("pay", "2", 60_000)].concat();
    stream.write_all(&both).unwrap();
    let mut input = BufReader::new(stream.try_clone().unwrap());
    for id in ["1", "2"] {
        assert_eq!(Message::read(&mut input).unwrap().body, id.as_bytes());
    }
    let mut head = site.send(b"HEAD /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let mut all = String::new();
    head.read_to_string(&mut all).unwrap();
    assert!(
        all.starts_with("HTTP/1.1 200 ") && all.ends_with("\r\n\r\n"),
        "{all}"
    );
    // A server's interim answer is not its answer.
    site.set_behavior(Behavior::Answer("103 Early Hints\r\n\r\nHTTP/1.1 200 OK"));
    assert_eq!(site.request("pay", "3").status(), 200);
}

// An old client has no other way to tell a broken answer from a complete one.
#[test]
fn an_old_client_sees_a_reset_when_its_answer_breaks() {
    let site = Site::new(1);
    site.set_behavior(Behavior::ChunkedBroken);
    let mut stream = site.send(&request_http_1_0("look", "1", 60_000));
    let read = stream.read_to_end(&mut Vec::new());
    assert_eq!(
        read.unwrap_err().kind(),
        std::io::ErrorKind::ConnectionReset
    );
}
