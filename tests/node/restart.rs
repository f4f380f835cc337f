//! Start, drain and exit of the process.

use super::*;

// Guards against refused connections and requests without a response during a drain.
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
    // New connections are accepted until the process exits.
    wait_until("the node reports not ready", || {
        let response = fixture.exchange(READY_REQUEST);
        response.status() == 503 && response.header("connection") == "close"
    });
    // Idle connections are closed. Requests in flight and new requests are still served.
    assert!(Message::read(&mut idle).is_none());
    let new = fixture.send(&request("pay", "10", 60_000));
    assert!(fixture.receives_request());
    assert!(fixture.node.try_wait().unwrap().is_none());
    fixture.set_behavior(Behavior::Serve);
    for (stream, id) in [(busy, "9"), (new, "10")] {
        let response = Message::read(&mut BufReader::new(stream)).expect("no response");
        assert_eq!(
            (response.status(), response.header("connection")),
            (200, "close")
        );
        assert_eq!(response.body, id.as_bytes());
    }
    assert!(fixture.node.wait().unwrap().success());
}

// Guards against refused, reset or unread connections during an upgrade. Both processes inherit the listener from the
// platform.
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
    // Either process may accept these connections.
    let clients: Vec<_> = (1..9)
        .map(|n| {
            thread::spawn(move || {
                let response = exchange_with(addr, &request("pay", &n.to_string(), 60_000))
                    .expect("no response");
                assert_eq!(
                    (response.status(), response.body),
                    (200, n.to_string().into_bytes())
                );
            })
        })
        .collect();
    let mut forwarded = 0;
    wait_until("all requests have reached a server", || {
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

// Guards against an error at the start that does not name the faulty address or variable.
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

// Guards against a drain that fails when it is repeated, or that prevents SIGTERM from ending the process.
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

/// Starts a node with one server that never responds, and with this deadline for all classes.
fn hung_fixture(max_deadline: Duration) -> NodeFixture {
    let fixture = NodeFixture::configured(1, &[], |config| {
        for class in config["settings"]["classes"].as_array_mut().unwrap() {
            class["deadline"] = json!(max_deadline.as_micros() as u64);
            class["aim"] = json!(max_deadline.as_micros() as u64);
        }
    });
    fixture.set_behavior(Behavior::Hang);
    fixture
}

/// Sends SIGTERM, and waits until the node closes idle connections.
fn start_drain(fixture: &NodeFixture) {
    let mut idle = fixture.connect();
    fixture.signal("-TERM");
    assert_eq!(
        read_one_byte(&mut idle).expect("the idle connection was not closed"),
        0
    );
}

// Guards against a request that arrives more than 0.7 s after SIGTERM and gets no response before SIGKILL, which comes
// at most 3.7 s after SIGTERM. So the node must respond in that time, even if the deadline is 25 s. The test allows
// 12 s because the machine may be busy.
#[test]
fn a_request_that_arrives_late_in_a_drain_is_answered_before_the_process_exits() {
    let request = request("pay", "1", 25_000);
    for cut in [4, request.len() - 2] {
        let mut fixture = hung_fixture(Duration::from_secs(25));
        let mut client = fixture.send(&request[..cut]);
        // Once the node responds here, it has also read the bytes of the first connection.
        assert_eq!(fixture.exchange(READY_REQUEST).status(), 200);
        let start = Instant::now();
        start_drain(&fixture);
        client.write_all(&request[cut..]).unwrap();
        let response = Message::read(&mut BufReader::new(client)).expect("no response");
        assert!(
            response.status() >= 500 && start.elapsed() < Duration::from_secs(12),
            "{:?}",
            start.elapsed()
        );
        assert!(fixture.node.wait().unwrap().success());
    }
}

// Guards against requests without a response at SIGKILL, which comes sooner the shorter the deadlines are: here 1.1 s
// after SIGTERM.
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
                .expect("no response")
                .status()
                >= 500
        );
    }
    assert!(fixture.node.wait().unwrap().success());
}

// Guards against requests that are lost because they arrive together with SIGTERM. A stopped process finds all of this
// at once when it continues: requests in the backlog, a request on a persistent connection, SIGTERM and SIGHUP. Later
// it gets a second SIGTERM.
#[test]
fn requests_that_arrive_together_with_sigterm_are_answered() {
    let mut fixture = NodeFixture::new(1);
    let mut persistent = fixture.connect();
    let mut responses = BufReader::new(persistent.try_clone().unwrap());
    persistent.write_all(&request("pay", "0", 60_000)).unwrap();
    assert_eq!(Message::read(&mut responses).unwrap().status(), 200);
    fixture.signal("-STOP");
    persistent.write_all(&request("pay", "1", 60_000)).unwrap();
    let new: Vec<TcpStream> = (2..20)
        .map(|n| fixture.send(&request("pay", &n.to_string(), 60_000)))
        .collect();
    ["-TERM", "-HUP", "-CONT"]
        .iter()
        .for_each(|name| fixture.signal(name));
    let response = Message::read(&mut responses).expect("no response on the persistent connection");
    assert_eq!((response.status(), response.body), (200, b"1".to_vec()));
    fixture.signal("-TERM");
    for (n, client) in (2..20).zip(new) {
        let response = Message::read(&mut BufReader::new(client))
            .expect("no response to a request from the backlog");
        assert_eq!(
            (response.status(), response.body),
            (200, n.to_string().into_bytes())
        );
    }
    assert!(fixture.node.wait().unwrap().success());
}

// Guards against a drain that abandons requests before their first attempt: one whose server connection is not
// established yet, and one with an incomplete body.
#[test]
fn requests_without_an_attempt_at_sigterm_are_answered() {
    let backlog = FullBacklog::new();
    let mut fixture = NodeFixture::configured(0, &[], |config| {
        config["known"]["members"] = json!([member_at("s-late", backlog.addr)]);
        config["settings"]["bounds"]["dial-timeout"] = json!(20_000_000);
    });
    let connecting = fixture.send(&request("pay", "1", 60_000));
    wait_until("the node connects to the server", || {
        backlog.pending_connections() == 1
    });
    let mut incomplete = fixture.connect();
    let body = request("pay", "2", 60_000);
    incomplete.write_all(&body[..body.len() - 2]).unwrap();
    assert_eq!(fixture.exchange(READY_REQUEST).status(), 200);
    start_drain(&fixture);
    let connections = backlog.open();
    incomplete.write_all(&body[body.len() - 2..]).unwrap();
    let server = thread::spawn(move || {
        for _ in 0..2 {
            let mut stream = connections.recv_timeout(TEST_TIMEOUT).unwrap();
            let id = Message::read(&mut BufReader::new(stream.try_clone().unwrap())).unwrap();
            let id = id.header("x-txn").to_owned();
            stream.write_all(ok_response(&id).as_bytes()).unwrap();
        }
    });
    for (client, id) in [(connecting, b"1"), (incomplete, b"2")] {
        let response = Message::read(&mut BufReader::new(client)).expect("no response");
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, id.as_slice())
        );
    }
    server.join().unwrap();
    assert!(fixture.node.wait().unwrap().success());
}

// Guards against a request that runs without a response because the node closes its idle connection at the same time.
// The process is stopped at the time of the close, so it finds both at once: either the request gets a response, or no
// server receives it and the client may retry.
#[test]
fn a_request_sent_as_its_connection_closes_is_answered_or_not_forwarded() {
    for n in 0..6 {
        let mut fixture = NodeFixture::new(1);
        let id = n.to_string();
        let mut persistent = fixture.send(&request("pay", "first", 60_000));
        let mut responses = BufReader::new(persistent.try_clone().unwrap());
        assert_eq!(Message::read(&mut responses).unwrap().status(), 200);
        fixture.signal("-TERM");
        wait_until("the node drains", || {
            fixture.exchange(READY_REQUEST).status() == 503
        });
        fixture.signal("-STOP");
        persistent.write_all(&request("pay", &id, 60_000)).unwrap();
        // Longer than a draining node keeps idle connections open.
        thread::sleep(Duration::from_millis(700));
        fixture.signal("-CONT");
        let response = Message::read(&mut responses);
        assert!(fixture.node.wait().unwrap().success());
        let times = fixture
            .requests()
            .iter()
            .filter(|(_, request)| request.header("x-txn") == id)
            .count();
        match response {
            Some(response) => assert_eq!(
                (response.status(), response.body, times),
                (200, id.into_bytes(), 1)
            ),
            None => assert_eq!(times, 0, "the request ran, but got no response"),
        }
    }
}
