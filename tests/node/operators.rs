//! The admin listener: calls of operators, and metrics.

use super::*;

/// Waits until the request with this id has reached a server.
fn wait_until_forwarded(fixture: &NodeFixture, id: &str) {
    wait_until("the request reached a server", || {
        fixture
            .requests()
            .iter()
            .any(|(_, m)| m.header("x-txn") == id)
    });
}

// Guards against an outcome that is counted twice or not at all.
#[test]
fn metrics_count_the_outcomes_of_requests() {
    let fixture = NodeFixture::with_admin_listener(2);
    assert_eq!(fixture.admin_call("GET /status").status(), 200);
    for (what, status) in [
        ("POST /status", 405),
        ("GET /standby", 405),
        ("GET /other", 404),
    ] {
        assert_eq!(fixture.admin_call(what).status(), status, "{what}");
    }
    let first = fixture.admin_call("GET /status/metrics");
    assert!(first.header("content-type").starts_with("text/plain"));
    for class in ["look", "pay", "put"] {
        assert_eq!(
            fixture.metric(&format!("svc_succeeded_total{{service=\"{class}\"}}")),
            0
        );
    }
    assert_eq!(
        (
            fixture.metric("svc_discovered"),
            fixture.metric("svc_ejected")
        ),
        (2, 0)
    );
    (0..3).for_each(|n| assert_eq!(fixture.request("pay", &n.to_string()).status(), 200));
    fixture.set_behavior(Behavior::Respond("503 Full\r\nX-Turned-Away: 1"));
    assert_eq!(fixture.request("look", "3").status(), 503);
    let forwards = fixture.requests().len() as u64;
    fixture.set_behavior(Behavior::Close);
    assert_eq!(fixture.request("pay", "4").status(), 502);
    assert_eq!(fixture.metric("svc_succeeded_total{service=\"pay\"}"), 3);
    assert_eq!(fixture.metric("svc_declined_total{service=\"look\"}"), 1);
    assert_eq!(fixture.metric("svc_aborted_total{service=\"pay\"}"), 1);
    assert_eq!(fixture.metric("svc_forwards_total"), forwards + 1);
    assert_eq!(fixture.metric("svc_outstanding"), 0);
    fixture.set_behavior(Behavior::Hold);
    let _outstanding = fixture.send(&request("pay", "5", 60_000));
    assert!(fixture.receives_request());
    wait_until("the request is outstanding", || {
        fixture.metric("svc_outstanding") == 1
    });
}

// Guards against connections without a request that block the admin listener: a call is served within a second. The
// test waits longer because the machine may be busy.
#[test]
fn stuck_admin_connections_are_closed_and_block_no_operator() {
    let fixture = NodeFixture::with_admin_listener(1);
    let mut stuck: Vec<TcpStream> = (0..20)
        .map(|_| TcpStream::connect(fixture.admin_addr.parse::<SocketAddr>().unwrap()).unwrap())
        .collect();
    assert_eq!(fixture.admin_call("GET /status").status(), 200);
    for stream in &mut stuck {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        assert_eq!(
            read_one_byte(stream).expect("the connection was not closed"),
            0
        );
    }
}

// Guards against a draining node that still reports ready: clients were sent to it for another 4 s.
#[test]
fn a_standby_drains_the_node_and_can_be_undone() {
    let mut fixture = NodeFixture::with_admin_listener(1);
    let ready = |fixture: &NodeFixture| fixture.exchange(READY_REQUEST).status();
    let idle = fixture.send(&request("pay", "1", 60_000));
    let mut idle = BufReader::new(idle);
    assert_eq!(Message::read(&mut idle).unwrap().status(), 200);
    fixture.set_behavior(Behavior::Hold);
    let busy = fixture.send(&request("pay", "2", 60_000));
    wait_until_forwarded(&fixture, "2");
    assert_eq!(fixture.admin_call("POST /standby").status(), 200);
    assert_eq!(
        (ready(&fixture), fixture.admin_call("GET /status").status()),
        (503, 503)
    );
    assert!(
        Message::read(&mut idle).is_none(),
        "the idle connection was not closed"
    );
    fixture.set_behavior(Behavior::Serve);
    let response = Message::read(&mut BufReader::new(busy)).expect("no response");
    assert_eq!(
        (response.status(), response.header("connection")),
        (200, "close")
    );
    // New requests are still served.
    let late = fixture.request("pay", "3");
    assert_eq!((late.status(), late.header("connection")), (200, "close"));
    assert!(fixture.node.try_wait().unwrap().is_none());
    assert_eq!(fixture.admin_call("POST /active").status(), 200);
    assert_eq!(
        (ready(&fixture), fixture.admin_call("GET /status").status()),
        (200, 200)
    );
    assert_eq!(fixture.request("pay", "4").header("connection"), "");
    // A drain after SIGTERM cannot be undone.
    fixture.set_behavior(Behavior::Hold);
    let _last = fixture.send(&request("pay", "5", 60_000));
    wait_until_forwarded(&fixture, "5");
    fixture.signal("-TERM");
    wait_until("the node drains", || ready(&fixture) == 503);
    assert_eq!(fixture.admin_call("POST /active").status(), 409);
    fixture.set_behavior(Behavior::Serve);
    assert!(fixture.node.wait().unwrap().success());
}

/// Sends requests with many keys to the process at this address, each until it is served. Returns whether none of them
/// reached the first server. `n` makes the request ids unique.
fn avoids_first_server(fixture: &NodeFixture, addr: SocketAddr, n: u32) -> bool {
    (0..8).for_each(|m| {
        // A request may be rejected while the remaining server seems slow.
        let mut tries = 0;
        wait_until("the request is served", || {
            tries += 1;
            let id = format!("{n}-{m}-{tries}");
            let request = request_with_key("pay", &id, 60_000, &id);
            exchange_with(addr, &request).expect("no response").status() == 200
        });
    });
    !fixture.requests().iter().any(|(server, _)| *server == 0)
}

// Guards against a cordoned server that gets requests after the response to the call, because of a list from discovery
// or because another process of the node takes over.
#[test]
fn a_cordon_outlasts_list_updates_and_an_upgrade() {
    let scratch = tempfile::tempdir().unwrap();
    let env = [ADMIN_ENV[0], ("TMPDIR", scratch.path().to_str().unwrap())];
    let fixture = NodeFixture::with_limits_and_env(2, json!({"sockets": 256}), &env);
    assert!(
        !avoids_first_server(&fixture, fixture.addr, 0),
        "the first server gets no requests before it is cordoned"
    );
    assert_eq!(
        fixture
            .admin_call("POST /maintenance/enter?member=s-9")
            .status(),
        404
    );
    assert_eq!(fixture.admin_call("POST /maintenance/enter").status(), 400);
    assert_eq!(
        fixture
            .admin_call("POST /maintenance/enter?member=s-0")
            .status(),
        200
    );
    assert_eq!(
        fixture
            .admin_call("POST /maintenance/enter?member=s-0")
            .status(),
        200,
        "a repeated call failed"
    );
    assert!(avoids_first_server(&fixture, fixture.addr, 1));
    assert_eq!(
        (
            fixture.metric("svc_discovered"),
            fixture.metric("svc_ejected")
        ),
        (2, 1)
    );
    let (_, mut stream) = fixture.watch();
    let list = json!({"revision": 42, "complete": true, "members": fixture.members});
    write_chunk(&mut stream, &format!("{list}\n"));
    let (mut new, addr, admin_addr) = start(fixture.file.path(), None, &env);
    assert!(
        avoids_first_server(&fixture, addr, 2) && avoids_first_server(&fixture, fixture.addr, 3)
    );
    // Uncordoning at one process takes effect at the other one too.
    assert_eq!(
        admin_call(&admin_addr, "POST /maintenance/exit?member=s-0").status(),
        200
    );
    wait_until("the new process uses it", || {
        !avoids_first_server(&fixture, addr, 4)
    });
    wait_until("the old process uses it", || {
        !avoids_first_server(&fixture, fixture.addr, 5)
    });
    assert_eq!(
        admin_call(&admin_addr, "POST /maintenance/enter?member=s-0").status(),
        200
    );
    wait_until("the old process stops using it", || {
        avoids_first_server(&fixture, fixture.addr, 6)
    });
    new.kill().unwrap();
    new.wait().unwrap();
}

// Guards against cordoning a server by an ambiguous call: of a repeated `member` parameter, the first was used.
#[test]
fn invalid_cordon_calls_have_no_effect() {
    let fixture = NodeFixture::with_admin_listener(1);
    for what in [
        "POST /maintenance/enter",
        "POST /maintenance/enter?member=",
        "POST /maintenance/enter?member=%zz",
        "POST /maintenance/enter?member=s-0&member=s-0",
        "POST /maintenance/enter?member=s-9",
        "POST /maintenance/leave?member=s-0",
        "GET /maintenance/enter?member=s-0",
        &format!(
            "POST /maintenance/enter?member=s-0&x={}",
            "a".repeat(20_000)
        ),
    ] {
        let status = fixture.admin_call(what).status();
        assert!((400..500).contains(&status), "status {status} for {what}");
    }
    assert_eq!(fixture.metric("svc_ejected"), 0);
    assert_eq!(
        fixture
            .admin_call("POST /maintenance/enter?member=s-0")
            .status(),
        200
    );
    // Now all servers are cordoned, so the request is rejected at once.
    assert_eq!(fixture.request("look", "1").status(), 503);
    assert!(fixture.requests().is_empty());
}

// Guards against clients that use up the descriptors and lock operators out.
#[test]
fn operators_are_answered_while_clients_hold_all_sockets() {
    let fixture = NodeFixture::with_limits_and_env(1, json!({"sockets": 103}), &ADMIN_ENV);
    fixture.set_behavior(Behavior::Hold);
    let clients: Vec<TcpStream> = (0..60)
        .map(|n| {
            let mut stream = fixture.connect();
            let _ = stream.write_all(&request("pay", &n.to_string(), 60_000));
            stream
        })
        .collect();
    wait_until("some requests are rejected", || {
        fixture.metric("svc_declined_total{service=\"pay\"}") > 0
    });
    assert_eq!(fixture.admin_call("GET /status").status(), 200);
    assert_eq!(
        fixture
            .admin_call("POST /maintenance/enter?member=s-0")
            .status(),
        200
    );
    drop(clients);
}
