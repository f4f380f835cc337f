//! Limits on when a request may reach a server, where it waits between the decision to send it and its last byte: for its
//! connection, or for a server that takes its bytes late.

use std::time::SystemTime;

use super::common::timed_requests::*;
use super::*;

/// The slack of the platform's time limits on sockets.
pub(super) const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// No attempt may begin later than this after its client has gone.
pub(super) const MAX_START_DELAY: Duration = Duration::from_millis(100);
/// A request may tell its server this much more than its client has left.
pub(super) const MAX_EXCESS_REMAINING: Duration = Duration::from_millis(150);
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
    let (addr, listener) = timed_listener(Unread::Server);
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

// Guards against the same where the server of the repeat has a connection and takes its last bytes late: they wait in the
// node's system.
#[test]
fn a_repeat_is_not_delivered_after_its_window_when_its_server_reads_late() {
    for unread in [Unread::Node, Unread::NodeSystem] {
        check_repeat_of_late_reader(unread);
    }
}

fn check_repeat_of_late_reader(unread: Unread) {
    let window = Duration::from_secs(1);
    let (addr, listener) = timed_listener(unread);
    let fixture = fixture_at(addr, |settings| {
        settings["classes"][2]["key-ttl"] = json!(window.as_micros() as u64);
    });
    let _client = fixture.send(&keyed_request(&new_id(), 3_000, 60_000));
    let stream = accept(&listener);
    let first = TimedRequest::read(&stream).expect("no first attempt");
    thread::sleep(window / 2 - time_between(first.last_byte, SystemTime::now()));
    reset(stream);
    let requests = timed_requests(connections(listener.into()), window);
    for repeat in arrivals_within(&requests, 2 * window) {
        let after = time_between(first.last_byte, repeat.last_byte);
        assert!(
            after <= window + SOCKET_SLACK,
            "delivered after {after:?}, with a window of {window:?}, bytes waiting {unread:?}"
        );
    }
}

// Guards against an attempt that begins after its client has gone: its last bytes wait in the node's system for a server
// that reads late, whether or not attempts may be cancelled.
#[test]
fn a_request_is_not_delivered_after_its_client_has_left() {
    let all = [Unread::Node, Unread::NodeSystem];
    for (unread, cancelling) in all
        .into_iter()
        .flat_map(|unread| [(unread, true), (unread, false)])
    {
        let (addr, listener) = timed_listener(unread);
        let fixture = fixture_at(addr, |settings| {
            settings["bounds"]["cancelling"] = json!(cancelling);
        });
        let client = fixture.send(&keyed_request(&new_id(), 3_000, 60_000));
        let requests = timed_requests(connections(listener.into()), Duration::from_millis(600));
        thread::sleep(Duration::from_millis(200));
        drop(client);
        let left_at = SystemTime::now();
        for attempt in arrivals_within(&requests, Duration::from_millis(1_500)) {
            let after = time_between(left_at, attempt.last_byte);
            assert!(
                after <= MAX_START_DELAY,
                "begun {after:?} after its client left, cancelling: {cancelling}, bytes waiting {unread:?}"
            );
        }
    }
}

// Guards against an attempt that begins after its request was answered, as above.
#[test]
fn a_request_is_not_delivered_after_its_final_answer() {
    let (addr, listener) = timed_listener(Unread::NodeSystem);
    let fixture = fixture_at(addr, |_| {});
    let mut client = fixture.send(&keyed_request(&new_id(), 500, 60_000));
    let requests = timed_requests(connections(listener.into()), Duration::from_millis(900));
    assert!(read_one_byte(&mut client).is_ok_and(|read| read > 0));
    let answered_at = SystemTime::now();
    for attempt in arrivals_within(&requests, Duration::from_millis(1_500)) {
        let after = time_between(answered_at, attempt.last_byte);
        assert!(after <= MAX_START_DELAY, "begun {after:?} after its answer");
    }
}

// Guards against a server that starts anew and gets at once all requests that waited for a connection to its last process:
// they were not counted in its slow start.
#[test]
fn requests_that_wait_for_a_connection_do_not_go_to_the_next_process_of_their_server() {
    const WAITING: usize = 60;
    /// Most requests that a cold server may get for which the settings allow none: 3 x root of 0, and 3.
    const COLD_BUDGET: usize = 3;
    let backlog = FullBacklog::new();
    let addr = backlog.addr;
    let mut fixture = NodeFixture::configured(0, &ADMIN_ENV, |config| {
        config["known"]["members"] = json!([member_at("s-0", addr)]);
        let settings = &mut config["settings"];
        settings["bounds"]["dial-timeout"] = json!(1_500_000);
        settings["rules"]["start-capacity"] = json!(0.13);
        settings["rules"]["ramp-time"] = json!(23_000_000);
        settings["rules"]["fall-multiple"] = json!(3.0);
    });
    let (_, mut watch) = fixture.watch();
    fixture.members = vec![member_at("s-0", addr)];
    let _clients: Vec<_> = (0..WAITING)
        .map(|number| fixture.send(&request_with_key("look", &new_id(), 3_000, number)))
        .collect();
    wait_until("all requests wait for a connection", || {
        backlog.pending_connections() == WAITING
    });
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    fixture.members[0]["up_since_ms"] = json!(now.unwrap().as_millis() as u64);
    let line = fixture.change_phase(0, "in_service", 42);
    write_chunk(&mut watch, &line);
    // The change is told, then the new process accepts.
    thread::sleep(Duration::from_millis(100));
    let requests = timed_requests(backlog.open(), Duration::ZERO);
    let arrived = arrivals_within(&requests, Duration::from_secs(2)).len();
    assert!(
        arrived <= COLD_BUDGET,
        "{arrived} of {WAITING} requests reached the new process"
    );
}

// Guards against a server that is told more time than the client has left: the request's time began while it waited for its
// connection.
#[test]
fn a_long_request_that_was_complete_before_its_connection_tells_what_is_left() {
    let timeout = Duration::from_millis(2_500);
    let backlog = FullBacklog::new();
    let fixture = fixture_at(backlog.addr, |settings| {
        settings["bounds"]["dial-timeout"] = json!(1_500_000);
    });
    let length = 200_000;
    let lines = format!("Content-Length: {length}\r\n");
    let mut text = post("pay", &new_id(), timeout.as_millis() as u64, &lines);
    text.extend(body_of(length));
    let _client = fixture.send(&text);
    let complete_at = SystemTime::now();
    wait_until("the request waits for its connection", || {
        backlog.pending_connections() > 0
    });
    let requests = timed_requests(backlog.open(), Duration::ZERO);
    let (attempt, _stream) = requests.recv_timeout(TEST_TIMEOUT).expect("no attempt");
    let waited = time_between(complete_at, attempt.first_byte);
    assert!(waited >= CONNECT_RETRY / 2, "the connection came at once");
    let left = timeout.saturating_sub(waited);
    assert!(
        attempt.remaining() <= left + MAX_EXCESS_REMAINING,
        "told {:?} where {left:?} are left",
        attempt.remaining()
    );
}
