//! The admin listener: operators' calls and metrics.

use super::*;

/// Waits until the request of this id has reached a server.
fn wait_until_forwarded(site: &Site, id: &str) {
    wait_until("it is with the server", || {
        site.requests().iter().any(|(_, m)| m.header("x-txn") == id)
    });
}

// Guards against an outcome that is counted twice or not at all.
#[test]
fn the_figures_tell_what_became_of_requests() {
    let site = Site::with_admin_listener(2);
    assert_eq!(site.admin_call("GET /status").status(), 200);
    for (what, status) in [
        ("POST /status", 405),
        ("GET /standby", 405),
        ("GET /other", 404),
    ] {
        assert_eq!(site.admin_call(what).status(), status, "{what}");
    }
    let first = site.admin_call("GET /status/metrics");
    assert!(first.header("content-type").starts_with("text/plain"));
    for class in ["look", "pay", "put"] {
        assert_eq!(
            site.metric(&format!("svc_succeeded_total{{service=\"{class}\"}}")),
            0
        );
    }
    assert_eq!(
        (site.metric("svc_discovered"), site.metric("svc_ejected")),
        (2, 0)
    );
    (0..3).for_each(|n| assert_eq!(site.request("pay", &n.to_string()).status(), 200));
    site.set_behavior(Behavior::Answer("503 Full\r\nX-Turned-Away: 1"));
    assert_eq!(site.request("look", "3").status(), 503);
    let forwards = site.requests().len() as u64;
    site.set_behavior(Behavior::Break);
    assert_eq!(site.request("pay", "4").status(), 502);
    assert_eq!(site.metric("svc_succeeded_total{service=\"pay\"}"), 3);
    assert_eq!(site.metric("svc_declined_total{service=\"look\"}"), 1);
    assert_eq!(site.metric("svc_aborted_total{service=\"pay\"}"), 1);
    assert_eq!(site.metric("svc_forwards_total"), forwards + 1);
    assert_eq!(site.metric("svc_outstanding"), 0);
    site.set_behavior(Behavior::Hold);
    let _outstanding = site.send(&request("pay", "5", 60_000));
    assert!(site.receives_request());
    wait_until("it is outstanding", || site.metric("svc_outstanding") == 1);
}

// A caller waits a second, whoever else is stuck: the waits are longer for the sake of a busy machine.
#[test]
fn stuck_callers_keep_no_operator_out_and_are_closed() {
    let site = Site::with_admin_listener(1);
    let mut stuck: Vec<TcpStream> = (0..20)
        .map(|_| TcpStream::connect(site.admin_addr.parse::<SocketAddr>().unwrap()).unwrap())
        .collect();
    assert_eq!(site.admin_call("GET /status").status(), 200);
    for stream in &mut stuck {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        assert_eq!(one_byte(stream).expect("closed"), 0);
    }
}

// Guards against a draining node that reports ready: clients were still sent to it 4 s later.
#[test]
fn a_drain_sends_clients_away_and_can_be_undone() {
    let mut site = Site::with_admin_listener(1);
    let ready = |site: &Site| site.exchange(READY_REQUEST).status();
    let idle = site.send(&request("pay", "1", 60_000));
    let mut idle = BufReader::new(idle);
    assert_eq!(Message::read(&mut idle).unwrap().status(), 200);
    site.set_behavior(Behavior::Hold);
    let busy = site.send(&request("pay", "2", 60_000));
    wait_until_forwarded(&site, "2");
    assert_eq!(site.admin_call("POST /standby").status(), 200);
    assert_eq!(
        (ready(&site), site.admin_call("GET /status").status()),
        (503, 503)
    );
    assert!(
        Message::read(&mut idle).is_none(),
        "an idle connection closes"
    );
    site.set_behavior(Behavior::Serve);
    let answer = Message::read(&mut BufReader::new(busy)).expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
    // New requests are still served.
    let late = site.request("pay", "3");
    assert_eq!((late.status(), late.header("connection")), (200, "close"));
    assert!(site.node.try_wait().unwrap().is_none());
    assert_eq!(site.admin_call("POST /active").status(), 200);
    assert_eq!(
        (ready(&site), site.admin_call("GET /status").status()),
        (200, 200)
    );
    assert_eq!(site.request("pay", "4").header("connection"), "");
    // SIGTERM is not undone.
    site.set_behavior(Behavior::Hold);
    let _last = site.send(&request("pay", "5", 60_000));
    wait_until_forwarded(&site, "5");
    site.signal("-TERM");
    wait_until("it drains", || ready(&site) == 503);
    assert_eq!(site.admin_call("POST /active").status(), 409);
    site.set_behavior(Behavior::Serve);
    assert!(site.node.wait().unwrap().success());
}

/// Whether requests of many keys to the process at this address, each until it is served, spare the first server.
fn avoids_first(site: &Site, addr: SocketAddr, n: u32) -> bool {
    (0..8).for_each(|m| {
        // The one server that is left carries only some keys if it seems slow for a moment.
        let mut tries = 0;
        wait_until("served", || {
            tries += 1;
            let id = format!("{n}-{m}-{tries}");
            let request = request_with_key("pay", &id, 60_000, &id);
            exchange_with(addr, &request).expect("an answer").status() == 200
        });
    });
    !site.requests().iter().any(|(server, _)| *server == 0)
}

// A cordoned server gets nothing from the answer on, whatever discovery says, and over a change of process.
#[test]
fn a_server_taken_out_stays_out_over_lists_and_an_upgrade() {
    let scratch = tempfile::tempdir().unwrap();
    let env = [ADMIN_ENV[0], ("TMPDIR", scratch.path().to_str().unwrap())];
    let site = Site::with_limits_and_env(2, json!({"sockets": 256}), &env);
    assert!(!avoids_first(&site, site.addr, 0), "both serve");
    assert_eq!(
        site.admin_call("POST /maintenance/enter?member=s-9")
            .status(),
        404
    );
    assert_eq!(site.admin_call("POST /maintenance/enter").status(), 400);
    assert_eq!(
        site.admin_call("POST /maintenance/enter?member=s-0")
            .status(),
        200
    );
    assert_eq!(
        site.admin_call("POST /maintenance/enter?member=s-0")
            .status(),
        200,
        "repeated"
    );
    assert!(avoids_first(&site, site.addr, 1));
    assert_eq!(
        (site.metric("svc_discovered"), site.metric("svc_ejected")),
        (2, 1)
    );
    let (_, mut stream) = site.watch();
    let list = json!({"revision": 42, "complete": true, "members": site.members});
    chunk(&mut stream, &format!("{list}\n"));
    let (mut new, addr, operator) = start(site.file.path(), None, &env);
    assert!(avoids_first(&site, addr, 2) && avoids_first(&site, site.addr, 3));
    // Uncordoned at one process, it is in use at the other.
    assert_eq!(
        admin_call(&operator, "POST /maintenance/exit?member=s-0").status(),
        200
    );
    wait_until("the new process uses it", || !avoids_first(&site, addr, 4));
    wait_until("the old process uses it", || {
        !avoids_first(&site, site.addr, 5)
    });
    assert_eq!(
        admin_call(&operator, "POST /maintenance/enter?member=s-0").status(),
        200
    );
    wait_until("the old process follows", || {
        avoids_first(&site, site.addr, 6)
    });
    new.kill().unwrap();
    new.wait().unwrap();
}

// Guards against cordoning a server by an ambiguous call: of a repeated `member` the first was taken.
#[test]
fn calls_that_name_no_server_have_no_effect() {
    let site = Site::with_admin_listener(1);
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
        let status = site.admin_call(what).status();
        assert!((400..500).contains(&status), "{status}");
    }
    assert_eq!(site.metric("svc_ejected"), 0);
    assert_eq!(
        site.admin_call("POST /maintenance/enter?member=s-0")
            .status(),
        200
    );
    // All servers are cordoned: the request is rejected at once.
    assert_eq!(site.request("look", "1").status(), 503);
    assert!(site.requests().is_empty());
}

// Clients that use up their descriptors keep no operator out.
#[test]
fn operators_are_answered_while_clients_hold_all_places() {
    let site = Site::with_limits_and_env(1, json!({"sockets": 103}), &ADMIN_ENV);
    site.set_behavior(Behavior::Hold);
    let clients: Vec<TcpStream> = (0..60)
        .map(|n| {
            let mut stream = site.connect();
            let _ = stream.write_all(&request("pay", &n.to_string(), 60_000));
            stream
        })
        .collect();
    wait_until("some are refused", || {
        site.metric("svc_declined_total{service=\"pay\"}") > 0
    });
    assert_eq!(site.admin_call("GET /status").status(), 200);
    assert_eq!(
        site.admin_call("POST /maintenance/enter?member=s-0")
            .status(),
        200
    );
    drop(clients);
}
