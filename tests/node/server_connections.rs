//! Connections to servers at the wrong instant: odd answers, closes, and copies that must not be out together.

use super::*;

/// A fixture whose servers are all at one address of the test's own, with this latency objective.
fn fixture_at(addr: SocketAddr, servers: usize, latency_objective: Duration) -> NodeFixture {
    NodeFixture::configured(0, &[], |config| {
        let member = |n: usize| member_at(&format!("s-{n}"), addr);
        config["known"]["members"] = (0..servers).map(member).collect();
        for class in config["settings"]["classes"].as_array_mut().unwrap() {
            class["aim"] = json!(latency_objective.as_micros() as u64);
        }
    })
}

/// Takes a connection and reads the request on it.
fn accept_request(connections: &Receiver<TcpStream>) -> (TcpStream, Message) {
    let server = connections.recv_timeout(TEST_TIMEOUT).unwrap();
    let request =
        Message::read(&mut BufReader::new(server.try_clone().unwrap())).expect("a request");
    (server, request)
}

/// The next request comes on a connection of its own and has its own answer.
fn next_is_served(fixture: &NodeFixture, connections: &Receiver<TcpStream>) {
    let next = fixture.send(&request("pay", "2", 60_000));
    let (mut server, came) = accept_request(connections);
    assert_eq!(came.header("x-txn"), "2");
    server
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo")
        .unwrap();
    assert_eq!(
        Message::read(&mut BufReader::new(next)).unwrap().body,
        b"two"
    );
}

// Whatever else comes with an answer, the next request must not meet it.
#[test]
fn a_connection_with_a_malformed_response_is_not_reused() {
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
    for (odd, served) in [
        (format!("{response}{response}"), true),
        (format!("{response}spare"), true),
        (format!("{response}\r\n\r\n"), true),
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
        let (addr, connections) = scripted();
        let fixture = fixture_at(addr, 1, TEST_TIMEOUT);
        let client = fixture.send(&request("pay", "1", 60_000));
        let (mut server, _) = accept_request(&connections);
        server.write_all(odd.as_bytes()).unwrap();
        let answer = Message::read(&mut BufReader::new(client)).unwrap();
        assert_eq!(answer.status() == 200, served, "{odd}");
        assert!(!served || answer.body == b"one", "{odd}");
        // A reset, if bytes were left unread.
        assert!(
            matches!(one_byte(&mut server), Ok(0) | Err(_)),
            "the connection stays open after {odd}"
        );
        next_is_served(&fixture, &connections);
    }
}

// An answer that comes before its request is complete says nothing of the bytes that follow on it.
#[test]
fn a_connection_with_an_early_response_is_not_reused() {
    let (addr, connections) = scripted();
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
    // It ends, with whatever was on its way.
    while input.read(&mut [0; 4096]).is_ok_and(|read| read > 0) {}
    next_is_served(&fixture, &connections);
}

// Where two copies may not be out together, each is over for its server before the next begins.
#[test]
fn an_attempt_is_closed_before_the_next_one_is_written() {
    for _ in 0..10 {
        let (addr, connections) = scripted();
        let fixture = fixture_at(addr, 3, Duration::from_millis(300));
        let client = fixture.send(&request("look", "1", 60_000));
        let (tx, answered) = channel();
        thread::spawn(move || tx.send(Message::read(&mut BufReader::new(client))));
        let (mut last, mut retries): (Option<TcpStream>, usize) = (None, 0);
        let answer = loop {
            if let Ok(answer) = answered.try_recv() {
                break answer;
            }
            let Ok(mut next) = connections.recv_timeout(Duration::from_millis(5)) else {
                continue;
            };
            // One whose time was up before it was written carries nothing.
            let Some(came) = Message::read(&mut BufReader::new(next.try_clone().unwrap())) else {
                continue;
            };
            assert_eq!(came.header("x-txn"), "1");
            if let Some(mut last) = last.replace(next.try_clone().unwrap()) {
                last.set_nonblocking(true).unwrap();
                assert_eq!(one_byte(&mut last).expect("over before the next came"), 0);
                retries += 1;
                // Too late, the second is cancelled like the first; the last one has all the time that is left.
                let _ = next.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
            }
        };
        assert_eq!(answer.expect("an answer").status(), 200);
        assert!(retries > 0, "served at once");
    }
}

// Reset after its last byte, an unsafe request may have run: it is neither retried nor reported as safe to retry. That
// one reset before it has not run is a test of `servers.rs`, where the write can be made to fail.
#[test]
fn a_non_idempotent_request_reset_after_its_last_byte_is_not_retried() {
    let (addr, connections) = scripted();
    let fixture = fixture_at(addr, 3, TEST_TIMEOUT);
    let client = fixture.send(&request("pay", "1", 60_000));
    let (server, _) = accept_request(&connections);
    socket2::SockRef::from(&server)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(server);
    let status = Message::read(&mut BufReader::new(client)).unwrap().status();
    assert!(![200, 429, 503].contains(&status), "{status}");
    assert!(connections.try_recv().is_err(), "sent twice");
}
