//! Long bodies that are under way when the node is told to end.

use super::*;

/// Deadline of all classes: the drain itself takes 1.2 s longer.
const DEADLINE: Duration = Duration::from_secs(1);
/// Parts of a body that takes far longer than the drain itself.
const PARTS: usize = 60;
const PART_INTERVAL: Duration = Duration::from_millis(100);
const PART_BYTES: usize = 10_000;
const BODY_BYTES: usize = PARTS * PART_BYTES;

fn body() -> Vec<u8> {
    body_of(BODY_BYTES)
}

/// A node with short deadlines and one server, whose connections the test reads and writes itself.
fn node_with_short_deadlines() -> (NodeFixture, Receiver<TcpStream>) {
    NodeFixture::with_scripted_server(|config| {
        for class in config["settings"]["classes"].as_array_mut().unwrap() {
            class["deadline"] = json!(DEADLINE.as_micros() as u64);
            class["aim"] = json!(DEADLINE.as_micros() as u64);
        }
    })
}

/// Begins a long response to a request on a new connection. Returns the client's and the server's connection.
fn begin_long_response(
    fixture: &NodeFixture,
    connections: &Receiver<TcpStream>,
    framing: Framing,
) -> (TcpStream, TcpStream) {
    let client = fixture.send(&request("look", "1", 60_000));
    let (mut server, _) = accept_request(connections);
    write_response_head(&mut server, framing, BODY_BYTES).unwrap();
    (client, server)
}

/// Writes a body in parts, one an interval.
fn write_slowly(stream: &mut TcpStream, framing: Framing) -> std::io::Result<()> {
    for part in body().chunks(PART_BYTES) {
        thread::sleep(PART_INTERVAL);
        if framing == Framing::Chunked {
            write!(stream, "{:x}\r\n", part.len())?;
            stream.write_all(part)?;
            stream.write_all(b"\r\n")?;
        } else {
            stream.write_all(part)?;
        }
    }
    if framing == Framing::Chunked {
        stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

// Guards against a node that ends by itself after SIGTERM and cuts off responses that servers still give.
#[test]
fn sigterm_lets_long_responses_finish() {
    let (mut fixture, connections) = node_with_short_deadlines();
    let clients = [Framing::Length, Framing::Chunked, Framing::End].map(|framing| {
        let (client, mut server) = begin_long_response(&fixture, &connections, framing);
        thread::spawn(move || write_slowly(&mut server, framing));
        // The response has begun.
        client.peek(&mut [0; 1]).unwrap();
        (framing, client)
    });
    fixture.signal("-TERM");
    for (framing, client) in clients {
        let response = Message::read(&mut BufReader::new(client));
        let whole = response.is_some_and(|response| response.body == body());
        assert!(whole, "{framing:?}: the response was cut off");
    }
    assert!(fixture.node.wait().unwrap().success());
}

// Guards against a node that ends by itself after SIGTERM while a client still sends a request, and against a deadline
// that such a request has missed before it was complete.
#[test]
fn sigterm_lets_long_requests_finish() {
    let (mut fixture, connections) = node_with_short_deadlines();
    let clients = [Framing::Length, Framing::Chunked].map(|framing| {
        let mut client = fixture.connect();
        let client = thread::spawn(move || {
            let head = post("pay", &new_id(), 60_000, &framing.header_lines(BODY_BYTES));
            client.write_all(&head).unwrap();
            let _ = write_slowly(&mut client, framing);
            Message::read(&mut BufReader::new(client)).map_or(0, |response| response.status())
        });
        let mut server = connections.recv_timeout(TEST_TIMEOUT).unwrap();
        let server = thread::spawn(move || {
            let request = Message::read(&mut BufReader::new(server.try_clone().unwrap()))?;
            server.write_all(ok_response("1").as_bytes()).ok()?;
            Some(request.body)
        });
        (framing, client, server)
    });
    fixture.signal("-TERM");
    for (framing, client, server) in clients {
        let received = server.join().unwrap();
        assert!(
            received == Some(body()),
            "{framing:?}: the request was cut off"
        );
        assert_eq!(client.join().unwrap(), 200, "{framing:?}");
    }
    assert!(fixture.node.wait().unwrap().success());
}

// Whoever moves nothing must not keep the process from ending: a server in the middle of its response, a client in the
// middle of its body and one in the middle of a head.
#[test]
fn a_shutdown_does_not_wait_for_peers_that_move_nothing() {
    let (mut fixture, connections) = node_with_short_deadlines();
    let (_reader, mut silent_server) = begin_long_response(&fixture, &connections, Framing::Length);
    silent_server.write_all(&body()[..PART_BYTES]).unwrap();
    let lines = Framing::Length.header_lines(BODY_BYTES);
    let mut silent_client = fixture.send(&post("pay", "2", 60_000, &lines));
    silent_client.write_all(&body()[..PART_BYTES]).unwrap();
    let _head = fixture.send(b"GET /api?key=1 HTTP/1.1\r\nHost");
    assert_eq!(fixture.exchange(READY_REQUEST).status(), 200);
    fixture.signal("-TERM");
    let start = Instant::now();
    assert!(fixture.node.wait().unwrap().success());
    assert!(start.elapsed() < TEST_TIMEOUT, "{:?}", start.elapsed());
}

// Guards against a restart that is not ready in its time because the process before it still forwards a long body.
#[test]
fn another_process_starts_on_the_same_addresses_while_a_long_response_is_under_way() {
    let (fixture, connections) = node_with_short_deadlines();
    let (client, mut server) = begin_long_response(&fixture, &connections, Framing::Length);
    server.write_all(&body()[..PART_BYTES]).unwrap();
    client.peek(&mut [0; 1]).unwrap();
    fixture.signal("-TERM");
    let (addr, admin_addr) = (fixture.addr.to_string(), fixture.admin_addr.clone());
    wait_until("the node closes its listeners", || {
        TcpStream::connect(&addr).is_err() && TcpStream::connect(&admin_addr).is_err()
    });
    let env = [
        ("BALANCER_LISTEN", addr.as_str()),
        ("BALANCER_OPERATOR", admin_addr.as_str()),
    ];
    let (mut successor, _, _) = start(fixture.file.path(), None, &env);
    assert_eq!(fixture.exchange(READY_REQUEST).status(), 200);
    server.write_all(&body()[PART_BYTES..]).unwrap();
    let response = Message::read(&mut BufReader::new(client)).expect("the response was cut off");
    assert!(response.body == body());
    successor.kill().unwrap();
    successor.wait().unwrap();
}
