//! Limits on when a request may reach a server, where it waits between the decision to send it and its last byte: for its
//! connection, or for a server that takes its bytes late.

use std::time::SystemTime;

use super::common::timed_requests::*;
use super::*;

/// The slack of the platform's time limits on sockets.
pub(super) const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// The system tries a connection again this long after its first try.
const CONNECT_RETRY: Duration = Duration::from_secs(1);
/// Servers on the list, all at one address.
const SERVERS: usize = 4;

/// Starts a node whose servers all have this address; `edit` changes its settings.
pub(super) fn fixture_at(addr: SocketAddr, edit: impl FnOnce(&mut Value)) -> NodeFixture {
    NodeFixture::configured(0, &ADMIN_ENV, |config| {
        let member = |number: usize| member_at(&format!("s-{number}"), addr);
        config["known"]["members"] = (0..SERVERS).map(member).collect();
        edit(&mut config["settings"]);
    })
}

/// The request of a class with an idempotency key, with a body of this length.
pub(super) fn keyed_request(id: &str, remaining_ms: u64, length: usize) -> Vec<u8> {
    let lines = format!("Idempotency-Key: 77\r\nContent-Length: {length}\r\n");
    let mut request = post("put", id, remaining_ms, &lines);
    request.extend(body_of(length));
    request
}

/// Resets a connection.
pub(super) fn reset(stream: TcpStream) {
    socket2::SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}

/// The requests that arrive within this time.
pub(super) fn arrivals_within(
    requests: &Receiver<(TimedRequest, TcpStream)>,
    time: Duration,
) -> Vec<TimedRequest> {
    let (until, mut arrivals, mut open) = (Instant::now() + time, Vec::new(), Vec::new());
    while let Ok((request, stream)) =
        requests.recv_timeout(until.saturating_duration_since(Instant::now()))
    {
        arrivals.push(request);
        open.push(stream);
    }
    arrivals
}

// Guards against a keyed request that runs twice: the connection for its repeat comes up after the window in which servers
// know its key.
#[test]
fn a_repeat_is_not_written_after_its_window_when_its_connection_comes_late() {
    let window = Duration::from_secs(1);
    let (addr, listener) = timed_listener(false);
    let fixture = fixture_at(addr, |settings| {
        settings["classes"][2]["key-ttl"] = json!(window.as_micros() as u64);
        settings["bounds"]["dial-timeout"] = json!(1_500_000);
    });
    let mut client = fixture.send(&keyed_request(&new_id(), 3_000, 0));
    let stream = accept(&listener);
    let first = TimedRequest::read(&stream).expect("no first attempt");
    let backlog = FullBacklog::of(listener, Duration::from_millis(100));
    thread::sleep(window / 2 - time_between(first.last_byte, SystemTime::now()));
    reset(stream);
    wait_until("a repeat waits for its connection", || {
        backlog.pending_connections() > 0
    });
    let requests = timed_requests(backlog.open(), Duration::ZERO);
    for repeat in arrivals_within(&requests, CONNECT_RETRY + window / 2) {
        let after = time_between(first.last_byte, repeat.last_byte);
        assert!(
            after <= window + SOCKET_SLACK,
            "sent again after {after:?}, with a window of {window:?}"
        );
    }
    client.set_read_timeout(Some(CONNECT_RETRY)).unwrap();
    assert!(
        read_one_byte(&mut client).is_ok_and(|read| read > 0),
        "the client has no answer"
    );
}
