//! Operators' calls and figures.

use super::*;

/// Waits until the request of this id has reached a server.
fn wait_until_forwarded(site: &Site, id: &str) {
    until("it is with the server", || {
        site.requests().iter().any(|(_, m)| m.header("x-txn") == id)
    });
}

// Guards against an outcome that is counted twice or not at all.
#[test]
fn the_figures_tell_what_became_of_requests() {
    let site = Site::operated(2);
    assert_eq!(site.call("GET /status").status(), 200);
    for (what, status) in [
        ("POST /status", 405),
        ("GET /standby", 405),
        ("GET /other", 404),
    ] {
        assert_eq!(site.call(what).status(), status, "{what}");
    }
    let first = site.call("GET /status/metrics");
    assert!(first.header("content-type").starts_with("text/plain"));
    for class in ["look", "pay", "put"] {
        assert_eq!(
            site.figure(&format!("svc_succeeded_total{{service=\"{class}\"}}")),
            0
        );
    }
    assert_eq!(
        (site.figure("svc_discovered"), site.figure("svc_ejected")),
        (2, 0)
    );
    (0..3).for_each(|n| assert_eq!(site.ask("pay", &n.to_string()).status(), 200));
    site.all_do(Does::Answer("503 Full\r\nX-Turned-Away: 1"));
    assert_eq!(site.ask("look", "3").status(), 503);
    let forwards = site.requests().len() as u64;
    site.all_do(Does::Break);
    assert_eq!(site.ask("pay", "4").status(), 502);
    assert_eq!(site.figure("svc_succeeded_total{service=\"pay\"}"), 3);
    assert_eq!(site.figure("svc_declined_total{service=\"look\"}"), 1);
    assert_eq!(site.figure("svc_aborted_total{service=\"pay\"}"), 1);
    assert_eq!(site.figure("svc_forwards_total"), forwards + 1);
    assert_eq!(site.figure("svc_outstanding"), 0);
    site.all_do(Does::Hold);
    let _held = site.send(&request("pay", "5", 60_000));
    assert!(site.receives_request());
    until("it is outstanding", || site.figure("svc_outstanding") == 1);
}

// A caller waits a second, whoever else is stuck: the waits are longer for the sake of a busy machine.
#[test]
fn stuck_callers_keep_no_operator_out_and_are_closed() {
    let site = Site::operated(1);
    let mut stuck: Vec<TcpStream> = (0..20)
        .map(|_| TcpStream::connect(site.operator.parse::<SocketAddr>().unwrap()).unwrap())
        .collect();
    assert_eq!(site.call("GET /status").status(), 200);
    for stream in &mut stuck {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        assert_eq!(one_byte(stream).expect("closed"), 0);
    }
}

// Guards against a draining node that reports ready: clients were still sent to it 4 s later.
#[test]
fn a_drain_sends_clients_away_and_can_be_undone() {
    let mut site = Site::operated(1);
    let ready = |site: &Site| site.raw(READY_REQUEST).status();
    let idle = site.send(&request("pay", "1", 60_000));
    let mut idle = BufReader::new(idle);
    assert_eq!(Message::read(&mut idle).unwrap().status(), 200);
    site.all_do(Does::Hold);
    let busy = site.send(&request("pay", "2", 60_000));
    wait_until_forwarded(&site, "2");
    assert_eq!(site.call("POST /standby").status(), 200);
    assert_eq!(
        (ready(&site), site.call("GET /status").status()),
        (503, 503)
    );
    assert!(
        Message::read(&mut idle).is_none(),
        "an idle connection closes"
    );
    site.all_do(Does::Serve);
    let answer = Message::read(&mut BufReader::new(busy)).expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
    // What still comes is served.
    let late = site.ask("pay", "3");
    assert_eq!((late.status(), late.header("connection")), (200, "close"));
    assert!(site.node.try_wait().unwrap().is_none());
    assert_eq!(site.call("POST /active").status(), 200);
    assert_eq!(
        (ready(&site), site.call("GET /status").status()),
        (200, 200)
    );
    assert_eq!(site.ask("pay", "4").header("connection"), "");
    // SIGTERM is not undone.
    site.all_do(Does::Hold);
    let _last = site.send(&request("pay", "5", 60_000));
    wait_until_forwarded(&site, "5");
    site.signal("-TERM");
    until("it drains", || ready(&site) == 503);
    assert_eq!(site.call("POST /active").status(), 409);
    site.all_do(Does::Serve);
    assert!(site.node.wait().unwrap().success());
}

// The rule on drains holds from the yes, whatever discovery says, and over a change of process.
#[test]
fn a_server_taken_out_stays_out_over_lists_and_an_upgrade() {
    let scratch = tempfile::tempdir().unwrap();
    let env = [ADMIN_ENV[0], ("TMPDIR", scratch.path().to_str().unwrap())];
    let site = Site::under(2, json!({"sockets": 256}), &env);
    let avoids = |addr: SocketAddr, n: u32| {
        (0..8).for_each(|m| {
            // The one server that is left carries only some keys if it seems slow for a moment.
            let mut tries = 0;
            until("served", || {
                tries += 1;
                let id = format!("{n}-{m}-{tries}");
                let request = request_with_key("pay", &id, 60_000, &id);
                ask_at(addr, &request).expect("an answer").status() == 200
            });
        });
        !site.requests().iter().any(|(server, _)| *server == 0)
    };
    assert!(!avoids(site.addr, 0), "both serve");
    assert_eq!(
        site.call("POST /maintenance/enter?member=s-9").status(),
        404
    );
    assert_eq!(site.call("POST /maintenance/enter").status(), 400);
    assert_eq!(
        site.call("POST /maintenance/enter?member=s-0").status(),
        200
    );
    assert_eq!(
        site.call("POST /maintenance/enter?member=s-0").status(),
        200,
        "repeated"
    );
    assert!(avoids(site.addr, 1));
    assert_eq!(
        (site.figure("svc_discovered"), site.figure("svc_ejected")),
        (2, 1)
    );
    let (_, mut stream) = site.watch();
    let list = json!({"revision": 42, "complete": true, "members": site.members});
    chunk(&mut stream, &format!("{list}\n"));
    let (mut new, addr, operator) = start(site.file.path(), None, &env);
    assert!(avoids(addr, 2) && avoids(site.addr, 3));
    // Put back at one process, it is back at the other.
    assert_eq!(
        call(&operator, "POST /maintenance/exit?member=s-0").status(),
        200
    );
    until("the new process uses it", || !avoids(addr, 4));
    until("the old process uses it", || !avoids(site.addr, 5));
    assert_eq!(
        call(&operator, "POST /maintenance/enter?member=s-0").status(),
        200
    );
    until("the old process follows", || avoids(site.addr, 6));
    new.kill().unwrap();
    new.wait().unwrap();
}

// Guards against cordoning a server by an ambiguous call: of a repeated `member` the first was taken.
#[test]
fn calls_that_name_no_server_have_no_effect() {
    let site = Site::operated(1);
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
        let status = site.call(what).status();
        assert!((400..500).contains(&status), "{status}");
    }
    assert_eq!(site.figure("svc_ejected"), 0);
    assert_eq!(
        site.call("POST /maintenance/enter?member=s-0").status(),
        200
    );
    // All are out: nothing is waited for.
    assert_eq!(site.ask("look", "1").status(), 503);
    assert!(site.requests().is_empty());
}

// Clients that use up their descriptors keep no operator out.
#[test]
fn operators_are_answered_while_clients_hold_all_places() {
    let site = Site::under(1, json!({"sockets": 103}), &ADMIN_ENV);
    site.all_do(Does::Hold);
    let held: Vec<TcpStream> = (0..60)
        .map(|n| {
            let mut stream = site.dial();
            let _ = stream.write_all(&request("pay", &n.to_string(), 60_000));
            stream
        })
        .collect();
    until("some are refused", || {
        site.figure("svc_declined_total{service=\"pay\"}") > 0
    });
    assert_eq!(site.call("GET /status").status(), 200);
    assert_eq!(
        site.call("POST /maintenance/enter?member=s-0").status(),
        200
    );
    drop(held);
}
