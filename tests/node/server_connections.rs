//! Connections to servers: when they may be reused, and when an attempt is closed before the next one.

use super::*;

/// Starts a node whose servers all have this address, with this latency objective.
fn fixture_at(addr: SocketAddr, servers: usize, latency_objective: Duration) -> NodeFixture {
    NodeFixture::configured(0, &[], |config| {
        let member = |n: usize| member_at(&format!("s-{n}"), addr);
        config["known"]["members"] = (0..servers).map(member).collect();
        for class in config["settings"]["classes"].as_array_mut().unwrap() {
            class["aim"] = json!(latency_objective.as_micros() as u64);
        }
    })
}

/// Takes the next connection and reads the request on it.
fn accept_request(connections: &Receiver<TcpStream>) -> (TcpStream, Message) {
    let server = connections.recv_timeout(TEST_TIMEOUT).unwrap();
    let request =
        Message::read(&mut BufReader::new(server.try_clone().unwrap())).expect("no request");
    (server, request)
}

/// Checks that the next request is sent on a new connection and gets its own response.
fn check_next_request_is_served(fixture: &NodeFixture, connections: &Receiver<TcpStream>) {
    let next = fixture.send(&request("pay", "2", 60_000));
    let (mut server, received) = accept_request(connections);
    assert_eq!(received.header("x-txn"), "2");
    server
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo")
        .unwrap();
    assert_eq!(
        Message::read(&mut BufReader::new(next)).unwrap().body,
        b"two"
    );
}

// Guards against a request that gets the leftover bytes of an earlier response.
#[test]
fn a_connection_with_a_malformed_response_is_not_reused() {
    let complete = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
    for (bytes, served) in [
        (format!("{complete}{complete}"), true),
        (format!("{complete}spare"), true),
        (format!("{complete}\r\n\r\n"), true),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\none!".to_owned(),
            false,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\none".to_owned(),
            false,
        ),
        ("nonsense\r\n\r\n".to_owned(), false),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\none\r\n0\r\n\r\n"
                .to_owned(),
            false,
        ),
    ] {
        let (addr, connections) = scripted_listener();
        let fixture = fixture_at(addr, 1, TEST_TIMEOUT);
        let client = fixture.send(&request("pay", "1", 60_000));
        let (mut server, _) = accept_request(&connections);
        server.write_all(bytes.as_bytes()).unwrap();
        let response = Message::read(&mut BufReader::new(client)).unwrap();
        assert_eq!(response.status() == 200, served, "{bytes}");
        assert!(!served || response.body == b"one", "{bytes}");
        // The node closes the connection, with a reset if it left bytes unread.
        assert!(
            matches!(read_one_byte(&mut server), Ok(0) | Err(_)),
            "the connection stays open after {bytes}"
        );
        check_next_request_is_served(&fixture, &connections);
    }
}

// Guards against reusing a connection whose response arrived before its request was complete: the rest of the request
// body may still follow on it.
#[test]
fn a_connection_with_an_early_response_is_not_reused() {
    let (addr, connections) = scripted_listener();
    let fixture = fixture_at(addr, 1, TEST_TIMEOUT);
    let mut client = fixture.send(&post("pay", "1", 60_000, "Content-Length: 200000\r\n"));
    client.write_all(&[b'x'; 100_000]).unwrap();
    let server = connections.recv_timeout(TEST_TIMEOUT).unwrap();
    let mut input = BufReader::new(server.try_clone().unwrap());
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        assert!(input.read_line(&mut line).unwrap() > 0);
    }
    (&server)
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none")
        .unwrap();
    assert_eq!(
        Message::read(&mut BufReader::new(client.try_clone().unwrap()))
            .unwrap()
            .body,
        b"one"
    );
    // Reads the body bytes that were already on the way, up to the end of the connection.
    while input.read(&mut [0; 4096]).is_ok_and(|read| read > 0) {}
    check_next_request_is_served(&fixture, &connections);
}

// Guards against two concurrent attempts of a request that must not be hedged: the server of an attempt sees it closed
// before the next one begins.
#[test]
fn an_attempt_is_closed_before_the_next_one_is_written() {
    for _ in 0..10 {
        let (addr, connections) = scripted_listener();
        let fixture = fixture_at(addr, 3, Duration::from_millis(300));
        let client = fixture.send(&request("look", "1", 60_000));
        let (tx, answered) = channel();
        thread::spawn(move || tx.send(Message::read(&mut BufReader::new(client))));
        let (mut previous, mut retries): (Option<TcpStream>, usize) = (None, 0);
        let response = loop {
            if let Ok(response) = answered.try_recv() {
                break response;
            }
            let Ok(mut next) = connections.recv_timeout(Duration::from_millis(5)) else {
                continue;
            };
            // An attempt that timed out before it was written sends nothing on its connection.
            let Some(received) = Message::read(&mut BufReader::new(next.try_clone().unwrap()))
            else {
                continue;
            };
            assert_eq!(received.header("x-txn"), "1");
            if let Some(mut previous) = previous.replace(next.try_clone().unwrap()) {
                previous.set_nonblocking(true).unwrap();
                assert_eq!(
                    read_one_byte(&mut previous).expect("the previous attempt is still open"),
                    0
                );
                retries += 1;
                // If this response is too late, the second attempt is cancelled like the first. The last attempt has
                // all the remaining time.
                let _ = next.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
            }
        };
        assert_eq!(response.expect("no response").status(), 200);
        assert!(retries > 0, "the first attempt was served");
    }
}

// A non-idempotent request that is reset after its last byte may have run: it must be neither retried nor rejected as
// safe to retry. The reset before the last byte is tested in `servers.rs`, where the write can be made to fail.
#[test]
fn a_non_idempotent_request_reset_after_its_last_byte_is_not_retried() {
    let (addr, connections) = scripted_listener();
    let fixture = fixture_at(addr, 3, TEST_TIMEOUT);
    let client = fixture.send(&request("pay", "1", 60_000));
    let (server, _) = accept_request(&connections);
    socket2::SockRef::from(&server)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(server);
    let status = Message::read(&mut BufReader::new(client)).unwrap().status();
    assert!(![200, 429, 503].contains(&status), "{status}");
    assert!(connections.try_recv().is_err(), "the request was retried");
}
