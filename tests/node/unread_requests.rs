//! Clients that leave behind more unread bytes than the system keeps for a connection, so that the node can't see their end.

use super::*;

/// Far more than the systems of both sides keep for a connection that nobody reads.
const UNREAD_BYTES: usize = 24 << 20;
/// An attempt that begins later than this after its client has left is a lost request.
const LATEST_ATTEMPT: Duration = Duration::from_millis(100);

/// Sends a request and as much behind it as the connection takes. Returns the client.
fn client_with_unread_requests(fixture: &NodeFixture, class: &str) -> TcpStream {
    let mut client = fixture.send(&request(class, "first", 60_000));
    assert!(fixture.receives_request());
    client.set_nonblocking(true).unwrap();
    let pipelined: Vec<u8> = (0..100)
        .flat_map(|n| request(class, &format!("behind-{n}"), 60_000))
        .collect();
    let mut sent = 0;
    while sent < UNREAD_BYTES {
        match client.write(&pipelined[sent % pipelined.len()..]) {
            Ok(written) => sent += written,
            Err(_) => break,
        }
    }
    client
}

// Guards against requests that are sent on after their client has left, whose end is behind unread bytes.
#[test]
fn nothing_is_sent_for_a_client_whose_end_is_behind_unread_requests() {
    for class in ["look", "pay"] {
        let fixture = NodeFixture::new(3);
        fixture.set_behavior(Behavior::Hold);
        drop(client_with_unread_requests(&fixture, class));
        thread::sleep(LATEST_ATTEMPT);
        // The first request fails in a way that lets an idempotent one be retried, and the next ones follow.
        fixture.set_behavior(Behavior::Respond("500 Internal Server Error"));
        thread::sleep(Duration::from_secs(1));
        let late = fixture.requests().len();
        assert_eq!(late, 0, "{class}: {late} attempts for a client that left");
    }
}

// Guards against a client that sends a few requests at once and is taken for one that may have left.
#[test]
fn a_few_requests_that_are_sent_at_once_are_all_served() {
    let fixture = NodeFixture::new(3);
    let mut client = fixture.connect();
    let pipelined: Vec<u8> = (0..20)
        .flat_map(|n| request("pay", &format!("p-{n}"), 60_000))
        .collect();
    client.write_all(&pipelined).unwrap();
    let mut input = BufReader::new(client);
    for n in 0..20 {
        let response = Message::read(&mut input).expect("no response");
        assert_eq!(response.status(), 200, "request {n}");
    }
}
