//! Long bodies to clients and servers that read slowly, and the end of those that read nothing.

use super::*;

/// Rate at which the slowest clients of the platform move a body, in bytes per second.
const SLOWEST_RATE: usize = 64_000;
/// Interval between two reads or writes of a slow peer.
const PACE: Duration = Duration::from_millis(100);
/// Longer than the node lets a peer take or give nothing.
const SLOW_TIME: Duration = Duration::from_secs(16);
/// Far more than the systems of both sides keep for a peer that reads slowly.
const BODY_BYTES: usize = 16 << 20;

fn body() -> Vec<u8> {
    (0..BODY_BYTES).map(|n| (n % 251) as u8).collect()
}

/// A stream of which at most the slowest rate is read or written at first, and then all as fast as it goes.
struct Throttled<S> {
    stream: S,
    start: Instant,
    moved: usize,
}

impl<S> Throttled<S> {
    fn new(stream: S) -> Self {
        Throttled {
            stream,
            start: Instant::now(),
            moved: 0,
        }
    }

    /// Waits for the next turn. Returns how many bytes may be moved then.
    fn next_share(&self) -> usize {
        if self.start.elapsed() >= SLOW_TIME {
            return BODY_BYTES;
        }
        let due = Duration::from_micros((self.moved * 1_000_000 / SLOWEST_RATE) as u64);
        thread::sleep(due.saturating_sub(self.start.elapsed()));
        SLOWEST_RATE * PACE.as_millis() as usize / 1_000
    }
}

impl<S: Read> Read for Throttled<S> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let share = self.next_share().min(buffer.len());
        let read = self.stream.read(&mut buffer[..share])?;
        self.moved += read;
        Ok(read)
    }
}

impl<S: Write> Write for Throttled<S> {
    fn write(&mut self, data: &[u8]) -> std::io::Result<usize> {
        let share = self.next_share().min(data.len());
        let written = self.stream.write(&data[..share])?;
        self.moved += written;
        Ok(written)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.stream.flush()
    }
}

/// Writes a response with this framing as fast as the node takes it.
fn write_response(output: &mut impl Write, framing: Framing, body: &[u8]) -> std::io::Result<()> {
    match framing {
        Framing::Length => write!(
            output,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )?,
        Framing::Chunked => return write_chunked_response(output, body),
        Framing::End => output.write_all(b"HTTP/1.1 200 OK\r\n\r\n")?,
    }
    output.write_all(body)
}

fn write_chunked_response(output: &mut impl Write, body: &[u8]) -> std::io::Result<()> {
    output.write_all(CHUNKED_HEAD)?;
    write_chunks(output, body)
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
            let response = Message::read(&mut BufReader::new(Throttled::new(stream)))
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
    let mut input = BufReader::new(Throttled::new(stream));
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
    let body = body();
    let sent = if framing == Framing::Chunked {
        let head = post("pay", id, 60_000, "Transfer-Encoding: chunked\r\n");
        stream.write_all(&head).unwrap();
        write_chunks(&mut stream, &body)
    } else {
        let length = format!("Content-Length: {BODY_BYTES}\r\n");
        stream.write_all(&post("pay", id, 60_000, &length)).unwrap();
        stream.write_all(&body)
    };
    // The response may come, and the connection end, before the body is sent.
    drop(sent);
    Message::read(&mut BufReader::new(stream)).map_or(0, |response| response.status())
}

// Guards against a long request that fails because its server, which reads all the time, reads slowly: the system
// reports the server's socket as writable only once a third of its send buffer is free.
#[test]
fn a_server_that_reads_a_long_request_slowly_gets_all_of_it() {
    let (fixture, connections) = NodeFixture::with_scripted_server(|_| {});
    let uploads = [Framing::Length, Framing::Chunked].map(|framing| {
        let client = fixture.connect();
        let client = thread::spawn(move || upload(client, "1", framing));
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
    let client = thread::spawn(move || upload(client, "1", Framing::Length));
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
