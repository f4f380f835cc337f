//! Request and response bodies that the node forwards in pieces.

use super::*;

// Guards against responses cut at 64 KiB, which the client saw as resets and the node as failed attempts.
#[test]
fn long_bodies_are_forwarded_unchanged_in_every_framing() {
    let fixture = NodeFixture::new(2);
    let body = long_body();
    let mut stream = fixture.connect();
    let mut input = BufReader::new(stream.try_clone().unwrap());
    stream
        .write_all(&post(
            "pay",
            "1",
            60_000,
            &format!("Content-Length: {LONG_BODY_BYTES}\r\n"),
        ))
        .unwrap();
    stream.write_all(&body).unwrap();
    assert_eq!(Message::read(&mut input).unwrap().status(), 200);
    stream
        .write_all(&post("pay", "2", 60_000, "Transfer-Encoding: chunked\r\n"))
        .unwrap();
    write_chunks(&mut stream, &body).unwrap();
    assert_eq!(Message::read(&mut input).unwrap().status(), 200);
    stream
        .write_all(&post(
            "pay",
            "3",
            60_000,
            "Content-Length: 5\r\nExpect: 100-continue\r\n",
        ))
        .unwrap();
    assert_eq!(Message::read(&mut input).unwrap().status(), 100);
    stream.write_all(b"hello").unwrap();
    assert_eq!(Message::read(&mut input).unwrap().status(), 200);
    let bodies: Vec<Vec<u8>> = fixture
        .requests()
        .into_iter()
        .map(|(_, m)| m.body)
        .collect();
    assert!(
        bodies == [body.clone(), body.clone(), b"hello".to_vec()],
        "a request body was changed"
    );
    for framing in [Framing::Length, Framing::Chunked, Framing::End] {
        fixture.set_behavior(Behavior::Long(framing));
        stream.write_all(&request("look", "4", 60_000)).unwrap();
        let response = Message::read(&mut input).unwrap();
        assert!(
            response.status() == 200 && response.body == body,
            "{framing:?}"
        );
    }
    fixture.set_behavior(Behavior::Long(Framing::Chunked));
    let mut http_1_0_client = fixture.send(&request_http_1_0("look", "5", 60_000));
    let mut all = Vec::new();
    http_1_0_client.read_to_end(&mut all).unwrap();
    assert!(
        all.ends_with(&body),
        "the HTTP/1.0 client got {} bytes",
        all.len()
    );
}

// A client may take 2 s for its request head and send its body at 64 kB per second: its timeout counts from the last
// byte. The shorter body is buffered before it is forwarded, the longer one is forwarded as it arrives.
#[test]
fn slow_request_heads_and_bodies_are_accepted() {
    let fixture = NodeFixture::new(2);
    let upload = |id: &'static str, length: usize| {
        let mut stream = fixture.connect();
        thread::spawn(move || {
            let head = post("pay", id, 2_000, &format!("Content-Length: {length}\r\n"));
            let (first, rest) = head.split_at(40);
            stream.write_all(first).unwrap();
            thread::sleep(Duration::from_millis(1_800));
            stream.write_all(rest).unwrap();
            for part in vec![b'x'; length].chunks(6_400) {
                thread::sleep(Duration::from_millis(100));
                stream.write_all(part).unwrap();
            }
            Message::read(&mut BufReader::new(stream))
                .expect("no response")
                .status()
        })
    };
    let uploads = [upload("kept", 60_000), upload("passing", 160_000)];
    for client in uploads {
        assert_eq!(client.join().unwrap(), 200);
    }
    let mut lengths: Vec<usize> = fixture
        .requests()
        .iter()
        .map(|(_, m)| m.body.len())
        .collect();
    lengths.sort_unstable();
    assert_eq!(lengths, [60_000, 160_000]);
}

// The client's deadline limits the time to the first byte of the response, not the time to its last byte.
#[test]
fn a_response_that_has_begun_is_not_cut_at_the_deadline() {
    let fixture = NodeFixture::with_admin_listener(1);
    fixture.set_behavior(Behavior::LongInTwoParts);
    let mut stream = fixture.connect();
    // Long enough for the response to begin even if the server's thread has to wait for a processor.
    let deadline = Duration::from_secs(5);
    stream
        .write_all(&request("look", "1", deadline.as_millis() as u64))
        .unwrap();
    let mut input = BufReader::new(stream);
    let mut first = String::new();
    input.read_line(&mut first).unwrap();
    assert!(first.contains("200"), "{first}");
    thread::sleep(deadline + Duration::from_millis(400));
    assert_eq!(fixture.metric("svc_outstanding"), 1);
    fixture.set_behavior(Behavior::Serve);
    let mut rest = Vec::new();
    while !rest.ends_with(&long_body()[LONG_BODY_BYTES - 1_000..]) {
        let mut part = [0; 65_536];
        let n = input.read(&mut part).unwrap();
        assert!(n > 0, "the response ended after {} bytes", rest.len());
        rest.extend_from_slice(&part[..n]);
    }
    wait_until("the outcome is counted", || {
        fixture.metric("svc_succeeded_total{service=\"look\"}") == 1
    });
    assert_eq!(fixture.metric("svc_outstanding"), 0);
}

// Guards against a truncated response that the client or the metrics take for a complete one.
#[test]
fn a_truncated_response_is_not_taken_for_a_complete_one() {
    let fixture = NodeFixture::with_admin_listener(1);
    fixture.set_behavior(Behavior::TruncateLong);
    let mut stream = fixture.send(&request("pay", "1", 60_000));
    let mut all = Vec::new();
    let _ = stream.read_to_end(&mut all);
    assert!(all.len() < LONG_BODY_BYTES);
    wait_until("the outcome is counted", || {
        fixture.metric("svc_aborted_total{service=\"pay\"}") == 1
    });
    assert_eq!(fixture.metric("svc_succeeded_total{service=\"pay\"}"), 0);
}

// Guards against a node that buffers responses for clients that do not read them: unread bytes stay with the server.
#[test]
fn a_client_that_does_not_read_exerts_back_pressure_on_its_server() {
    let fixture = NodeFixture::new(1);
    fixture.set_behavior(Behavior::Long(Framing::Length));
    let before = memory_kb(&fixture.node);
    let mut clients: Vec<TcpStream> = (0..40)
        .map(|n| fixture.send(&request("look", &n.to_string(), 60_000)))
        .collect();
    wait_until("all responses have begun", || {
        clients
            .iter_mut()
            .all(|stream| stream.peek(&mut [0; 1]).is_ok())
    });
    thread::sleep(Duration::from_millis(300));
    let grown = memory_kb(&fixture.node).saturating_sub(before);
    // The 40 responses of 3 MiB have 120 MiB in total.
    assert!(
        grown < 20_000,
        "memory grew by {grown} kB for 40 long responses"
    );
    let response = Message::read(&mut BufReader::new(clients.remove(0))).unwrap();
    assert!(response.body == long_body());
}

// Guards against request smuggling by a body whose length the node and a server could interpret differently.
#[test]
fn conflicting_or_malformed_framing_is_rejected() {
    let fixture = NodeFixture::new(1);
    for lines in [
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: -5\r\n",
        "Content-Length: 5x\r\n",
        "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: chunked, gzip\r\n",
    ] {
        let mut text = post("pay", "1", 60_000, lines);
        text.extend_from_slice(b"5\r\nhello\r\n0\r\n\r\n");
        let status = fixture.exchange(&text).status();
        assert!((400..600).contains(&status), "{lines}: {status}");
    }
    let mut text = post("pay", "2", 60_000, "Transfer-Encoding: chunked\r\n");
    text.extend_from_slice(b"zz\r\nhello\r\n0\r\n\r\n");
    assert_eq!(fixture.exchange(&text).status(), 400);
    assert!(fixture.requests().is_empty());
}

// Guards against a client that gets no response if its request is rejected while it still uploads the body.
#[test]
fn a_long_upload_without_an_available_server_is_rejected() {
    let fixture = NodeFixture::new(1);
    fixture.set_behavior(Behavior::Close);
    let socket = bound_socket();
    let (_, mut watch) = fixture.watch();
    let mut unreachable = fixture.members[0].clone();
    unreachable["host_port"] = json!(address_of(&socket).to_string());
    let list = json!({"revision": 42, "complete": true, "members": [unreachable]});
    write_chunk(&mut watch, &format!("{list}\n"));
    wait_until("the new address is known", || {
        fixture.request("look", "0").status() == 503
    });
    let mut stream = fixture.send(&post(
        "pay",
        "1",
        60_000,
        &format!("Content-Length: {LONG_BODY_BYTES}\r\n"),
    ));
    stream.write_all(&long_body()).unwrap();
    let response = Message::read(&mut BufReader::new(stream)).expect("no response");
    assert_eq!(response.status(), 503);
}

// Guards against closing the connection of a client that is reading a long response to make room for another client.
#[test]
fn a_connection_with_a_response_in_progress_is_not_evicted() {
    let fixture = NodeFixture::with_limits(1, json!({"sockets": 94}));
    fixture.set_behavior(Behavior::LongInTwoParts);
    let mut reader = fixture.send(&request("look", "1", 60_000));
    assert!(fixture.receives_request());
    let mut input = BufReader::new(reader.try_clone().unwrap());
    input.fill_buf().unwrap();
    fixture.set_behavior(Behavior::Hold);
    // Longer than the time after which an idle connection may be closed.
    thread::sleep(Duration::from_millis(2_200));
    let clients: Vec<TcpStream> = (0..6)
        .map(|n| {
            let stream = fixture.send(&request("pay", &format!("held-{n}"), 60_000));
            assert!(fixture.receives_request());
            stream
        })
        .collect();
    assert_eq!(fixture.request("pay", "2").status(), 503);
    fixture.set_behavior(Behavior::Serve);
    assert!(Message::read(&mut input).unwrap().body == long_body());
    reader.write_all(&request("pay", "3", 60_000)).unwrap();
    assert_eq!(
        Message::read(&mut input)
            .expect("the connection was closed")
            .body,
        b"3"
    );
    drop(clients);
}
