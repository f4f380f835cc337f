//! Requests: forwarding, retries and rejection.

use super::*;

// Guards against a changed target, header or body, and against a remaining timeout that is not reduced.
#[test]
fn a_request_is_forwarded_unchanged_and_its_response_returned() {
    let fixture = NodeFixture::new(2);
    assert_eq!(fixture.exchange(READY_REQUEST).status(), 200);
    let response = fixture.request("put", "abc");
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (200, b"abc".as_slice())
    );
    let received = fixture.requests();
    let (_, request) = &received[0];
    assert_eq!(received.len(), 1);
    assert_eq!(request.first_line, "POST /api?key=7f3a&x=1 HTTP/1.1\r\n");
    assert_eq!(
        (request.header("x-txn"), request.header("idempotency-key")),
        ("abc", "77")
    );
    assert_eq!(request.body, b"hello");
    assert!((1..60_000).contains(&request.header("x-remaining-ms").parse::<u64>().unwrap()));
}

// Guards against opening a new connection for each request.
#[test]
fn connections_are_reused_on_both_sides() {
    let fixture = NodeFixture::new(1);
    let mut stream = fixture.connect();
    let mut input = BufReader::new(stream.try_clone().unwrap());
    for id in ["1", "2", "3"] {
        stream.write_all(&request("pay", id, 60_000)).unwrap();
        assert_eq!(Message::read(&mut input).unwrap().body, id.as_bytes());
    }
    assert!(
        fixture
            .reports
            .try_iter()
            .all(|report| matches!(report, ServerReport::Request(..))),
        "a server connection was closed"
    );
}

// Guards against a request that is lost because another one with the same id is in flight.
#[test]
fn of_two_requests_in_flight_with_the_same_id_both_are_answered() {
    for class in ["look", "put"] {
        let fixture = NodeFixture::new(1);
        fixture.set_behavior(Behavior::Hang);
        let mut streams = [fixture.connect(), fixture.connect()];
        streams
            .iter_mut()
            .for_each(|s| s.write_all(&request(class, "same", 60_000)).unwrap());
        for _ in 0..2 {
            assert!(fixture.receives_request(), "{class}");
        }
    }
    // A request that must not run twice is passed on once; the other one has failed.
    let fixture = NodeFixture::new(1);
    fixture.set_behavior(Behavior::Hold);
    let first = fixture.send(&request("pay", "same", 60_000));
    assert!(fixture.receives_request());
    assert_eq!(fixture.request("pay", "same").status(), 409);
    fixture.set_behavior(Behavior::Serve);
    let response = Message::read(&mut BufReader::new(first)).expect("no response");
    assert_eq!(response.status(), 200);
    assert_eq!(fixture.requests().len(), 0);
}

// Guards against running a non-idempotent request twice: by a retry of the node, or by a retry of the client, which a
// rejection would invite.
#[test]
fn a_non_idempotent_request_that_may_have_run_is_neither_retried_nor_rejected() {
    for behavior in [
        Behavior::Close,
        Behavior::TruncateBody,
        Behavior::Respond("500 Oops"),
        Behavior::Respond("503 Busy"),
        Behavior::Respond("504 Late"),
    ] {
        let fixture = NodeFixture::new(3);
        fixture.set_behavior(behavior);
        let status = fixture.request("pay", "1").status();
        assert!(![200, 429, 503].contains(&status), "{status}");
        assert_eq!(fixture.requests().len(), 1);
    }
}

// Guards against forwarding a truncated response if another server can serve the request.
#[test]
fn an_idempotent_request_is_retried_after_a_truncated_response() {
    let fixture = NodeFixture::new(2);
    fixture.set_behavior(Behavior::TruncateBody);
    let mut stream = fixture.connect();
    *fixture.behaviors[0].lock().unwrap() = Behavior::Serve;
    for n in 0..8 {
        let id = format!("{n}");
        stream.write_all(&request("look", &id, 60_000)).unwrap();
        let response = Message::read(&mut BufReader::new(stream.try_clone().unwrap())).unwrap();
        assert_eq!((response.status(), response.body), (200, id.into_bytes()));
    }
}

// Guards against failing, instead of rejecting, a request that no server has run: its client may retry it.
#[test]
fn a_non_idempotent_request_that_servers_reject_unprocessed_is_rejected() {
    let fixture = NodeFixture::new(2);
    fixture.set_behavior(Behavior::Respond("503 Full\r\nX-Turned-Away: 1"));
    let response = fixture.request("pay", "1");
    assert_eq!(response.status(), 503);
    fixture.set_behavior(Behavior::Serve);
    wait_until("requests are served again", || {
        fixture.request("pay", "2").status() == 200
    });
}

// Guards against failing a non-idempotent request that was never sent and can go to another server.
#[test]
fn a_non_idempotent_request_is_retried_after_a_refused_connection() {
    let mut fixture = NodeFixture::new(2);
    // The socket reserves its port and does not listen, so connections are refused.
    let socket = bound_socket();
    let (_, mut stream) = fixture.watch();
    fixture.members[0]["host_port"] = json!(address_of(&socket).to_string());
    let list = json!({"revision": 42, "complete": true, "members": fixture.members});
    write_chunk(&mut stream, &format!("{list}\n"));
    wait_until("the new address is known", || {
        fixture.request("look", "0");
        !fixture.requests().iter().any(|(server, _)| *server == 0)
    });
    for n in 0..8 {
        assert_eq!(fixture.request("pay", &n.to_string()).status(), 200);
    }
    assert!(fixture.requests().iter().all(|(server, _)| *server == 1));
}

// Guards against a request written to a pooled connection that its server has closed.
#[test]
fn an_idle_connection_that_its_server_closed_is_not_reused() {
    let fixture = NodeFixture::new(1);
    fixture.set_behavior(Behavior::ServeAndClose);
    for n in 0..10 {
        assert_eq!(fixture.request("pay", &n.to_string()).status(), 200);
        wait_until("the server closed the connection", || {
            fixture
                .reports
                .try_iter()
                .any(|report| matches!(report, ServerReport::Closed))
        });
        // Longer than the time after a response for which the node does not reuse a connection in any case.
        thread::sleep(Duration::from_millis(50));
    }
}

// Guards against a client that times out without a response because its servers hang.
#[test]
fn a_request_is_answered_before_its_timeout() {
    let fixture = NodeFixture::new(2);
    fixture.set_behavior(Behavior::Hang);
    for class in ["look", "pay", "put"] {
        let status = fixture.exchange(&request(class, "1", 400)).status();
        assert_ne!(status, 200);
        // A non-idempotent request that may have run must not get a status that invites a retry.
        assert!(class != "pay" || ![429, 503].contains(&status), "{status}");
    }
}
