//! Starts, drains and ends of the process.

use super::*;

// Guards against connections that are refused and requests that go unanswered during a drain.
#[test]
fn sigterm_lets_requests_finish_before_a_clean_exit() {
    let mut fixture = NodeFixture::new(1);
    let idle = fixture.send(READY_REQUEST);
    let mut idle = BufReader::new(idle);
    assert_eq!(Message::read(&mut idle).unwrap().status(), 200);
    fixture.set_behavior(Behavior::Hold);
    let busy = fixture.send(&request("pay", "9", 60_000));
    assert!(fixture.receives_request());
    fixture.signal("-TERM");
    // New connections are accepted for as long as the node lives.
    wait_until("not ready", || {
        let answer = fixture.exchange(READY_REQUEST);
        answer.status() == 503 && answer.header("connection") == "close"
    });
    // An idle connection is closed; a request in flight is still answered, and new ones are too.
    assert!(Message::read(&mut idle).is_none());
    let new = fixture.send(&request("pay", "10", 60_000));
    assert!(fixture.receives_request());
    assert!(fixture.node.try_wait().unwrap().is_none());
    fixture.set_behavior(Behavior::Serve);
    for (stream, id) in [(busy, "9"), (new, "10")] {
        let answer = Message::read(&mut BufReader::new(stream)).expect("an answer");
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (200, "close")
        );
        assert_eq!(answer.body, id.as_bytes());
    }
    assert!(fixture.node.wait().unwrap().success());
}

// The platform holds the listener: no request may meet a refused, reset or unread connection.
#[test]
fn a_process_is_replaced_without_a_lost_connection() {
    let fixture = NodeFixture::new(2);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut old, addr, _) = start(fixture.file.path(), Some(&listener), &[]);
    assert_eq!(addr, listener.local_addr().unwrap());
    let status_of =
        |n: u32| exchange_with(addr, &request("pay", &n.to_string(), 60_000)).map(|m| m.status());
    assert_eq!(status_of(0), Some(200));
    assert_eq!(fixture.requests().len(), 1);
    let (mut new, _, _) = start(fixture.file.path(), Some(&listener), &[]);
    fixture.set_behavior(Behavior::Hold);
    // Taken by either process, as both accept.
    let clients: Vec<_> = (1..9)
        .map(|n| {
            thread::spawn(move || {
                let answer = exchange_with(addr, &request("pay", &n.to_string(), 60_000))
                    .expect("an answer");
                assert_eq!(
                    (answer.status(), answer.body),
                    (200, n.to_string().into_bytes())
                );
            })
        })
        .collect();
    let mut forwarded = 0;
    wait_until("all are with a server", || {
        forwarded += fixture.requests().len();
        forwarded >= 8
    });
    signal(&old, "-TERM");
    thread::sleep(Duration::from_millis(200));
    fixture.set_behavior(Behavior::Serve);
    for client in clients {
        client.join().unwrap();
    }
    (9..60).for_each(|n| assert_eq!(status_of(n), Some(200)));
    assert!(old.wait().unwrap().success());
    (60..70).for_each(|n| assert_eq!(status_of(n), Some(200)));
    assert!(new.try_wait().unwrap().is_none());
    new.kill().unwrap();
    new.wait().unwrap();
}

// Guards against a failed start that does not say which address or variable is at fault.
#[test]
fn a_failed_start_names_the_faulty_address_or_variable() {
    let fixture = NodeFixture::new(1);
    let occupied = TcpListener::bind("127.0.0.1:0").unwrap();
    let occupied = occupied.local_addr().unwrap().to_string();
    for (name, value, expected) in [
        ("BALANCER_OPERATOR", occupied.as_str(), occupied.as_str()),
        ("BALANCER_OPERATOR", "nowhere", "nowhere"),
        ("BALANCER_FD", "", "BALANCER_FD"),
        ("BALANCER_FD", "four", "BALANCER_FD"),
        ("BALANCER_FD", "77", "BALANCER_FD"),
        ("BALANCER_FD", "0", "BALANCER_FD"),
    ] {
        let output = node_command(fixture.file.path())
            .env(name, value)
            .output()
            .unwrap();
        let message = String::from_utf8(output.stderr).unwrap();
        let last = message.lines().last().unwrap_or("");
        assert!(
            !output.status.success() && last.contains(expected),
            "{name}={value}: {message}"
        );
    }
}

// Guards against a drain that fails when it is repeated, or that keeps SIGTERM from ending the process.
#[test]
fn a_drain_can_be_repeated_and_ended_by_sigterm() {
    let mut fixture = NodeFixture::with_admin_listener(1);
    for what in [
        "POST /standby",
        "POST /standby",
        "POST /active",
        "POST /active",
        "POST /standby",
    ] {
        assert_eq!(fixture.admin_call(what).status(), 200, "{what}");
    }
    assert_eq!(fixture.admin_call("GET /status").status(), 503);
    assert_eq!(fixture.request("pay", "1").status(), 200);
    fixture.signal("-TERM");
    assert!(fixture.node.wait().unwrap().success());
}

/// A fixture whose one server answers nothing, with this longest deadline.
fn hung_fixture(longest: Duration) -> NodeFixture {
    let fixture = NodeFixture::configured(1, &[], |config| {
        for class in config["settings"]["classes"].as_array_mut().unwrap() {
            class["deadline"] = json!(longest.as_micros() as u64);
            class["aim"] = json!(longest.as_micros() as u64);
        }
    });
    fixture.set_behavior(Behavior::Hang);
    fixture
}

/// Sends SIGTERM, and returns once the node closes idle connections.
fn start_drain(fixture: &NodeFixture) {
    let mut idle = fixture.connect();
    fixture.signal("-TERM");
    assert_eq!(one_byte(&mut idle).expect("closed"), 0);
}

// What comes more than 0.7 s after SIGTERM is lost if SIGKILL finds it unanswered, 3.7 s after SIGTERM at
// the longest: a deadline of 25 s does not outlive the process. The bound here is for busy machines.
#[test]
fn a_request_that_arrives_late_in_a_drain_is_answered_before_the_process_exits() {
    let request = request("pay", "1", 25_000);
    for cut in [4, request.len() - 2] {
        let mut fixture = hung_fixture(Duration::from_secs(25));
        let mut client = fixture.send(&request[..cut]);
        // A node that has read this connection's bytes has read those of the first too.
        assert_eq!(fixture.exchange(READY_REQUEST).status(), 200);
        let start = Instant::now();
        start_drain(&fixture);
        client.write_all(&request[cut..]).unwrap();
        let answer = Message::read(&mut BufReader::new(client)).expect("an answer");
        assert!(
            answer.status() >= 500 && start.elapsed() < Duration::from_secs(12),
            "{:?}",
            start.elapsed()
        );
        assert!(fixture.node.wait().unwrap().success());
    }
}

// The shorter the deadlines, the sooner the kill: here 1.1 s after SIGTERM.
#[test]
fn requests_with_short_deadlines_are_answered_before_a_drain_ends() {
    let mut fixture = hung_fixture(Duration::from_millis(400));
    let clients: Vec<TcpStream> = (0..20)
        .map(|n| fixture.send(&request(["look", "pay"][n % 2], &n.to_string(), 400)))
        .collect();
    fixture.signal("-TERM");
    for client in clients {
        assert!(
            Message::read(&mut BufReader::new(client))
                .expect("an answer")
                .status()
                >= 500
        );
    }
    assert!(fixture.node.wait().unwrap().success());
}

// Stopped, the node finds all of it at once: connections in the backlog with requests on them, a request
// on a persistent connection, both signals, and SIGTERM a second time.
#[test]
fn requests_that_arrive_together_with_sigterm_are_answered() {
    let mut fixture = NodeFixture::new(1);
    let mut persistent = fixture.connect();
    let mut answers = BufReader::new(persistent.try_clone().unwrap());
    persistent.write_all(&request("pay", "0", 60_000)).unwrap();
    assert_eq!(Message::read(&mut answers).unwrap().status(), 200);
    fixture.signal("-STOP");
    persistent.write_all(&request("pay", "1", 60_000)).unwrap();
    let new: Vec<TcpStream> = (2..20)
        .map(|n| fixture.send(&request("pay", &n.to_string(), 60_000)))
        .collect();
    ["-TERM", "-HUP", "-CONT"]
        .iter()
        .for_each(|name| fixture.signal(name));
    let answer = Message::read(&mut answers).expect("an answer on the kept connection");
    assert_eq!((answer.status(), answer.body), (200, b"1".to_vec()));
    fixture.signal("-TERM");
    for (n, client) in (2..20).zip(new) {
        let answer =
            Message::read(&mut BufReader::new(client)).expect("an answer from the backlog");
        assert_eq!(
            (answer.status(), answer.body),
            (200, n.to_string().into_bytes())
        );
    }
    assert!(fixture.node.wait().unwrap().success());
}

// Guards against a drain that abandons requests before their first attempt: one still dialling, one with an
// incomplete body.
#[test]
fn requests_without_an_attempt_at_sigterm_are_answered() {
    let backlog = FullBacklog::new();
    let mut fixture = NodeFixture::configured(0, &[], |config| {
        config["known"]["members"] = json!([member_at("s-late", backlog.addr)]);
        config["settings"]["bounds"]["dial-timeout"] = json!(20_000_000);
    });
    let dialling = fixture.send(&request("pay", "1", 60_000));
    wait_until("it dials", || backlog.pending_connections() == 1);
    let mut coming = fixture.connect();
    let body = request("pay", "2", 60_000);
    coming.write_all(&body[..body.len() - 2]).unwrap();
    assert_eq!(fixture.exchange(READY_REQUEST).status(), 200);
    start_drain(&fixture);
    let connections = backlog.open();
    coming.write_all(&body[body.len() - 2..]).unwrap();
    let server = thread::spawn(move || {
        for _ in 0..2 {
            let mut stream = connections.recv_timeout(TEST_TIMEOUT).unwrap();
            let id = Message::read(&mut BufReader::new(stream.try_clone().unwrap())).unwrap();
            let id = id.header("x-txn").to_owned();
            stream.write_all(ok_response(&id).as_bytes()).unwrap();
        }
    });
    for (client, id) in [(dialling, b"1"), (coming, b"2")] {
        let answer = Message::read(&mut BufReader::new(client)).expect("an answer");
        assert_eq!(
            (answer.status(), answer.body.as_slice()),
            (200, id.as_slice())
        );
    }
    server.join().unwrap();
    assert!(fixture.node.wait().unwrap().success());
}

// Stopped over the moment at which idle connections close, the node finds a request and the close together:
// the request is answered, or no server ever sees it and its client may send it once more.
#[test]
fn a_request_sent_as_its_connection_closes_is_answered_or_not_forwarded() {
    for n in 0..6 {
        let mut fixture = NodeFixture::new(1);
        let id = n.to_string();
        let mut persistent = fixture.send(&request("pay", "first", 60_000));
        let mut answers = BufReader::new(persistent.try_clone().unwrap());
        assert_eq!(Message::read(&mut answers).unwrap().status(), 200);
        fixture.signal("-TERM");
        wait_until("it drains", || {
            fixture.exchange(READY_REQUEST).status() == 503
        });
        fixture.signal("-STOP");
        persistent.write_all(&request("pay", &id, 60_000)).unwrap();
        // Longer than idle connections stay in a drain.
        thread::sleep(Duration::from_millis(700));
        fixture.signal("-CONT");
        let answer = Message::read(&mut answers);
        assert!(fixture.node.wait().unwrap().success());
        let times = fixture
            .requests()
            .iter()
            .filter(|(_, request)| request.header("x-txn") == id)
            .count();
        match answer {
            Some(answer) => assert_eq!(
                (answer.status(), answer.body, times),
                (200, id.into_bytes(), 1)
            ),
            None => assert_eq!(times, 0, "run and not answered"),
        }
    }
}
