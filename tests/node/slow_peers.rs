//! Long bodies to clients and servers that read slowly, and the end of those that read nothing.

use super::*;

/// Rate at which the slowest clients of the platform move a body, in bytes per second.
const SLOWEST_RATE: usize = 64_000;
/// Interval between two reads of a slow peer.
const PACE: Duration = Duration::from_millis(100);
/// Longer than the node lets a peer take or give nothing.
const SLOW_TIME: Duration = Duration::from_secs(16);
/// Far more than the systems of both sides keep for a peer that reads slowly.
const BODY_BYTES: usize = 16 << 20;

fn body() -> Vec<u8> {
    body_of(BODY_BYTES)
}

/// A connection that is read at the slowest rate at first, and then as fast as it goes.
struct SlowReader {
    stream: TcpStream,
    start: Instant,
    total: usize,
}

impl SlowReader {
    fn new(stream: TcpStream) -> Self {
        SlowReader {
            stream,
            start: Instant::now(),
            total: 0,
        }
    }

    /// Waits for the next turn. Returns how many bytes may be read then.
    fn next_share(&self) -> usize {
        if self.start.elapsed() >= SLOW_TIME {
            return BODY_BYTES;
        }
        let due = Duration::from_micros((self.total * 1_000_000 / SLOWEST_RATE) as u64);
        thread::sleep(due.saturating_sub(self.start.elapsed()));
        SLOWEST_RATE * PACE.as_millis() as usize / 1_000
    }
}

impl Read for SlowReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let share = self.next_share().min(buffer.len());
        let read = self.stream.read(&mut buffer[..share])?;
        self.total += read;
        Ok(read)
    }
}

/// A framing and the id of a request for a response with it.
const FRAMINGS: [(Framing, &str); 3] = [
    (Framing::Length, "length"),
    (Framing::Chunked, "chunked"),
    (Framing::End, "end"),
];

/// Serves each connection with the response for which the request's id asks.
fn serve_long_responses(connections: Receiver<TcpStream>) {
    thread::spawn(move || {
        for mut stream in connections {
            thread::spawn(move || {
                let request = Message::read(&mut BufReader::new(stream.try_clone().unwrap()));
                let id = request.expect("no request").header("x-txn").to_owned();
                let framing = FRAMINGS.iter().find(|(_, name)| *name == id).unwrap().0;
                let _ = write_response(&mut stream, framing, &body());
            });
        }
    });
}

// Guards against a long response that is cut off because its client, which reads all the time, reads slowly: the system
// reports the client's socket as writable only once a third of its send buffer is free.
#[test]
fn a_client_that_reads_a_long_response_slowly_gets_all_of_it() {
    let (fixture, connections) = NodeFixture::with_scripted_server(|_| {});
    serve_long_responses(connections);
    let clients = FRAMINGS.map(|(framing, id)| {
        let stream = fixture.send(&request("look", id, 60_000));
        thread::spawn(move || {
            let response = Message::read(&mut BufReader::new(SlowReader::new(stream)))
                .unwrap_or_else(|| panic!("{framing:?}: the response was cut off"));
            assert!(response.body == body(), "{framing:?}: the body was changed");
        })
    });
    for client in clients {
        client.join().unwrap();
    }
}

// A client that reads nothing must not hold a server's connection for ever.
#[test]
fn a_client_that_reads_nothing_of_a_long_response_is_closed() {
    let (fixture, connections) = NodeFixture::with_scripted_server(|_| {});
    let _client = fixture.send(&request("look", "length", 60_000));
    let (mut server, _) = accept_request(&connections);
    let start = Instant::now();
    write_response(&mut server, Framing::Length, &body())
        .expect_err("the client's response was taken whole");
    assert!(start.elapsed() < TEST_TIMEOUT, "{:?}", start.elapsed());
    fixture.log.wait_for_line(&["stalled-clients 1"]);
}

/// Reads the rest of a request with this framing at the slowest rate. Returns its body.
fn read_body_slowly(stream: TcpStream, framing: Framing) -> Option<Vec<u8>> {
    let mut input = BufReader::new(SlowReader::new(stream));
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        input.read_line(&mut line).ok()?;
    }
    if framing == Framing::Chunked {
        return read_chunks(&mut input);
    }
    let mut body = vec![0; BODY_BYTES];
    input.read_exact(&mut body).ok()?;
    Some(body)
}

/// Sends a request with a long body as fast as the node takes it. Returns the status of the response.
fn upload(mut stream: TcpStream, id: &str, framing: Framing) -> u16 {
    let lines = framing.header_lines(BODY_BYTES);
    stream.write_all(&post("pay", id, 60_000, &lines)).unwrap();
    // The response may come, and the connection end, before the body is sent.
    let _ = framing.write_body(&mut stream, &body());
    Message::read(&mut BufReader::new(stream)).map_or(0, |response| response.status())
}

// Guards against a long request that fails because its server, which reads all the time, reads slowly: the system
// reports the server's socket as writable only once a third of its send buffer is free.
#[test]
fn a_server_that_reads_a_long_request_slowly_gets_all_of_it() {
    let (fixture, connections) = NodeFixture::with_scripted_server(|_| {});
    let uploads = [Framing::Length, Framing::Chunked].map(|framing| {
        let client = fixture.connect();
        let client = thread::spawn(move || upload(client, &new_id(), framing));
        let mut server = connections.recv_timeout(TEST_TIMEOUT).unwrap();
        let server = thread::spawn(move || {
            let body_read = read_body_slowly(server.try_clone().unwrap(), framing);
            let _ = server.write_all(ok_response("1").as_bytes());
            body_read
        });
        (framing, client, server)
    });
    for (framing, client, server) in uploads {
        let received = server.join().unwrap();
        assert!(
            received == Some(body()),
            "{framing:?}: the request was cut off"
        );
        assert_eq!(client.join().unwrap(), 200, "{framing:?}");
    }
}

// A server that reads nothing must not hold a client's connection for ever.
#[test]
fn a_long_request_whose_server_reads_nothing_fails_in_bounded_time() {
    let (fixture, connections) = NodeFixture::with_scripted_server(|_| {});
    let client = fixture.connect();
    let client = thread::spawn(move || upload(client, &new_id(), Framing::Length));
    let server = connections.recv_timeout(TEST_TIMEOUT).unwrap();
    let start = Instant::now();
    let status = client.join().unwrap();
    assert!(status >= 500, "{status}");
    assert!(start.elapsed() < TEST_TIMEOUT, "{:?}", start.elapsed());
    fixture
        .log
        .wait_for_line(&["stalled-servers 1", "timeout 1"]);
    drop(server);
}
