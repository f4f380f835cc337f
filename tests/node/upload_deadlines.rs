//! The final answer to a long request whose server reads it slowly, or not at all.

use super::*;

/// A final answer later than this after the request's time is a lost request.
const LATEST_ANSWER: Duration = Duration::from_millis(500);
/// The longest timeout among the requests of the incident, in milliseconds.
const CLIENT_TIMEOUT_MS: u64 = 800;
/// Body of the incident whose servers stop reading.
const STUCK_BODY: usize = 186_290;
/// Body of the incident that its server reads slowly.
const SLOWLY_READ_BODY: usize = 948_890;
/// Bytes after which a server stops reading.
const STOPS_AFTER: usize = 8_249;
/// Rate at which a server reads slowly, in bytes per second.
const SLOW_RATE: usize = 111_866;

/// Sends a request, and returns the status of its answer with the time from its last byte to the answer.
fn upload(fixture: &NodeFixture, id: &str, framing: Framing, length: usize) -> (u16, Duration) {
    let mut client = fixture.connect();
    let lines = framing.header_lines(length);
    client
        .write_all(&post("pay", id, CLIENT_TIMEOUT_MS, &lines))
        .unwrap();
    framing.write_body(&mut client, &body_of(length)).unwrap();
    let complete = Instant::now();
    let response = Message::read(&mut BufReader::new(client)).expect("no answer");
    (response.status(), complete.elapsed())
}

/// Reads from each connection, by turns of 50 ms, what `share` gives for it, until the connection ends.
fn read_in_shares(
    connections: Receiver<TcpStream>,
    mut share: impl FnMut(usize) -> usize + Send + Copy + 'static,
) {
    thread::spawn(move || {
        for mut stream in connections {
            thread::spawn(move || {
                let (mut total, mut buffer) = (0, vec![0; 1 << 16]);
                loop {
                    let length = share(total).min(buffer.len());
                    match stream.read(&mut buffer[..length]) {
                        Ok(0) if length > 0 => return,
                        Ok(read) => total += read,
                        Err(_) => return,
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            });
        }
    });
}

fn assert_answered_in_time(
    share: impl FnMut(usize) -> usize + Send + Copy + 'static,
    length: usize,
) {
    for framing in [Framing::Length, Framing::Chunked] {
        let (addr, connections) = listener_with_small_buffers();
        let fixture = NodeFixture::configured(0, &[], |config| {
            config["known"]["members"] = json!([member_at("s-slow", addr)]);
        });
        read_in_shares(connections, share);
        let (status, elapsed) = upload(&fixture, "slow", framing, length);
        assert!(status >= 500, "{framing:?}: {status}");
        let latest = Duration::from_millis(CLIENT_TIMEOUT_MS) + LATEST_ANSWER;
        assert!(elapsed <= latest, "{framing:?}: {status} after {elapsed:?}");
    }
}

// Guards against a node that reads no further while it waits for a server: it doesn't learn that the request is complete
// and that its time is running.
#[test]
fn a_request_whose_server_stops_reading_is_answered_in_its_time() {
    assert_answered_in_time(|total| STOPS_AFTER.saturating_sub(total), STUCK_BODY);
}

// Guards against the same with a server that goes on reading, too slowly for the request's time.
#[test]
fn a_request_that_its_server_reads_too_slowly_is_answered_in_its_time() {
    assert_answered_in_time(|_| SLOW_RATE / 20, SLOWLY_READ_BODY);
}

// Guards against a request that is cut off and ends as a whole one: its client left after the node had received all of it.
#[test]
fn a_request_whose_client_leaves_while_its_server_reads_is_whole_or_broken() {
    for cancelling in [false, true] {
        let (addr, connections) = listener_with_small_buffers();
        let fixture = NodeFixture::configured(0, &[], |config| {
            config["settings"]["bounds"]["cancelling"] = json!(cancelling);
            config["known"]["members"] = json!([member_at("s-slow", addr)]);
        });
        let mut client = fixture.connect();
        let lines = Framing::Chunked.header_lines(STUCK_BODY);
        client
            .write_all(&post("pay", "left", 60_000, &lines))
            .unwrap();
        Framing::Chunked
            .write_body(&mut client, &body_of(STUCK_BODY))
            .unwrap();
        let server = connections.recv_timeout(TEST_TIMEOUT).unwrap();
        thread::sleep(Duration::from_millis(300));
        drop(client);
        thread::sleep(Duration::from_millis(300));
        let received = Message::read(&mut BufReader::new(server));
        let is_whole = |request: Message| request.body == body_of(STUCK_BODY);
        assert!(received.is_none_or(is_whole), "cut off, {cancelling}");
    }
}
