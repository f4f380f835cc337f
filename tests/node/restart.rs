//! Starts, drains and ends of the process.

use super::*;

#[test]
fn sigterm_lets_requests_finish_and_ends_cleanly() {
    let mut site = Site::new(1);
    let mut idle = site.dial();
    idle.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    let mut idle = BufReader::new(idle);
    assert_eq!(Message::read(&mut idle).unwrap().status(), 200);
    site.all_do(Does::Hold);
    let mut busy = site.dial();
    busy.write_all(&request("pay", "9", 60_000)).unwrap();
    assert!(matches!(site.seen.recv_timeout(PATIENCE), Ok(Seen::Request(..))));
    site.signal("-TERM");
    // New connections are taken for as long as the node lives.
    until("not ready", || {
        let answer = site.raw(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        answer.status() == 503 && answer.header("connection") == "close"
    });
    // An idle connection is closed, a held request is still answered, and new ones are too.
    assert!(Message::read(&mut idle).is_none());
    let mut new = site.dial();
    new.write_all(&request("pay", "10", 60_000)).unwrap();
    assert!(matches!(site.seen.recv_timeout(PATIENCE), Ok(Seen::Request(..))));
    assert!(site.node.try_wait().unwrap().is_none());
    site.all_do(Does::Serve);
    for (stream, id) in [(busy, "9"), (new, "10")] {
        let answer = Message::read(&mut BufReader::new(stream)).expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
        assert_eq!(answer.body, id.as_bytes());
    }
    assert!(site.node.wait().unwrap().success());
}

// The platform holds the listener: no request may meet a refused, reset or unread connection.
#[test]
fn a_process_is_replaced_without_a_lost_connection() {
    let site = Site::new(2);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut old, addr, _) = start(site.file.path(), Some(&listener), &[]);
    assert_eq!(addr, listener.local_addr().unwrap());
    let asked = |n: u32| ask_at(addr, &request("pay", &n.to_string(), 60_000)).map(|m| m.status());
    assert_eq!(asked(0), Some(200));
    assert_eq!(site.requests().len(), 1);
    let (mut new, _, _) = start(site.file.path(), Some(&listener), &[]);
    site.all_do(Does::Hold);
    // Taken by either process, as both accept.
    let held: Vec<_> = (1..9)
        .map(|n| {
            thread::spawn(move || {
                let answer = ask_at(addr, &request("pay", &n.to_string(), 60_000)).expect("an answer");
                assert_eq!((answer.status(), answer.body), (200, n.to_string().into_bytes()));
            })
        })
        .collect();
    let mut taken = 0;
    until("all are with a server", || {
        taken += site.requests().len();
        taken >= 8
    });
    signal(&old, "-TERM");
    thread::sleep(Duration::from_millis(200));
    site.all_do(Does::Serve);
    for asker in held {
        asker.join().unwrap();
    }
    (9..60).for_each(|n| assert_eq!(asked(n), Some(200)));
    assert!(old.wait().unwrap().success());
    (60..70).for_each(|n| assert_eq!(asked(n), Some(200)));
    assert!(new.try_wait().unwrap().is_none());
    new.kill().unwrap();
    new.wait().unwrap();
}

#[test]
fn a_start_that_cannot_be_ends_with_a_clear_message() {
    let site = Site::new(1);
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let taken = taken.local_addr().unwrap().to_string();
    for (name, value, told) in [
        ("BALANCER_OPERATOR", taken.as_str(), taken.as_str()),
        ("BALANCER_OPERATOR", "nowhere", "nowhere"),
        ("BALANCER_FD", "", "BALANCER_FD"),
        ("BALANCER_FD", "four", "BALANCER_FD"),
        ("BALANCER_FD", "77", "BALANCER_FD"),
        ("BALANCER_FD", "0", "BALANCER_FD"),
    ] {
        let output = Command::new(env!("CARGO_BIN_EXE_woodgap"))
            .env_clear()
            .env("BALANCER_CONFIG", site.file.path())
            .env(name, value)
            .stdin(Stdio::null())
            .output()
            .unwrap();
        let message = String::from_utf8(output.stderr).unwrap();
        let last = message.lines().last().unwrap_or("");
        assert!(!output.status.success() && last.contains(told), "{name}={value}: {message}");
    }
}

#[test]
fn a_drain_can_be_called_again_and_ended_by_sigterm() {
    let mut site = Site::operated(1);
    for what in ["POST /standby", "POST /standby", "POST /active", "POST /active", "POST /standby"] {
        assert_eq!(site.call(what).status(), 200, "{what}");
    }
    assert_eq!(site.call("GET /status").status(), 503);
    assert_eq!(site.ask("pay", "1").status(), 200);
    site.signal("-TERM");
    assert!(site.node.wait().unwrap().success());
}
