//! Each way in which the node ends a client's connection by itself, against what the client is doing at that moment: no
//! request that the node has read ends without a response.
//!
//! `CONNECTION_END_SWEEP=1` plays the whole sweep; a run of all tests plays a part of it.

use super::common::received::{kind_of_close, ConnectionEnd};
use super::*;

/// Plays at the same time, each at a node of its own.
const PARALLEL_PLAYS: usize = 24;
/// Deadline of all classes, in milliseconds.
const DEADLINE_MS: u64 = 1_000;
/// SIGKILL comes at the earliest this long after SIGTERM, beside the longest deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// A client waits this long for a response or for the end of its connection.
const CLIENT_PATIENCE: Duration = Duration::from_millis(2_500);
/// A client sends one request after the other for this long, if its connection stays open.
const SERIES_TIME: Duration = Duration::from_millis(1_800);
/// Requests that a client sends at once.
const PIPELINED_REQUESTS: usize = 3;
/// Descriptors of a node, and the clients that it serves at once with them.
const SOCKETS: u64 = 94;
const CLIENT_SOCKETS: usize = 7;
/// Beginning of the ids of requests that their server holds, and how long it does.
const HELD_ID: &str = "held-";
const HOLD_TIME: Duration = Duration::from_millis(900);
/// Length of a body that the node passes on while it arrives.
const LONG_BODY: usize = 200_000;

/// What makes the node end its connections.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// Nothing but the time that the first request may take.
    None,
    Sigterm,
    /// SIGTERM three times, 0.2 s apart.
    SigtermSeries,
    /// SIGHUP three times, 0.2 s apart, each with other settings and another address of discovery.
    SighupSeries,
    Standby,
    /// A standby that ends after 0.4 s.
    ShortStandby,
    /// The only server is terminated, according to the list.
    ServerGone,
    /// The node has no room for the client's connection and only rejects what comes on it.
    NoRoom,
}

/// What a client does on its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Action {
    /// One request at once.
    Request,
    /// A request whose head comes in two parts, this many milliseconds apart.
    TwoParts(u64),
    /// Several requests at once.
    Pipelined,
    /// A request, and with it the beginning of the next one, whose rest comes 0.1 s later.
    NextBegun,
    /// One request after the other.
    Series,
    /// A request with a long body that takes 0.3 s.
    Upload,
    /// A request that the node answers with status 404, and another one with it.
    UnknownPathAndRequest,
}

/// One client at a node.
#[derive(Clone, Copy, Debug)]
struct Play {
    event: Event,
    action: Action,
    /// When the client begins, in milliseconds after the event.
    begins_ms: i64,
    /// Whether the connection has carried a request before.
    has_served: bool,
    /// Time from a request to its response, in milliseconds.
    response_ms: u64,
}

/// What became of a client's requests.
#[derive(Debug, Default)]
struct Outcome {
    /// Requests whose last byte was written.
    written: usize,
    /// Statuses of the complete responses.
    statuses: Vec<u16>,
    end: Option<ConnectionEnd>,
}

impl Outcome {
    /// What went wrong: a request that was read has no response.
    fn fault(&self) -> Option<String> {
        let is_lost = match self.end {
            Some(ConnectionEnd::ClosedOverUnread) => false,
            _ => self.statuses.len() < self.written,
        };
        is_lost.then(|| format!("{self:?}"))
    }
}

struct Client {
    input: BufReader<TcpStream>,
    output: TcpStream,
    has_failed_to_write: bool,
    outcome: Outcome,
}

impl Client {
    fn connect(addr: SocketAddr) -> Client {
        let output = connect(addr);
        output.set_read_timeout(Some(CLIENT_PATIENCE)).unwrap();
        output.set_nodelay(true).unwrap();
        Client {
            input: BufReader::new(output.try_clone().unwrap()),
            output,
            has_failed_to_write: false,
            outcome: Outcome::default(),
        }
    }

    /// Writes bytes with which this many requests are complete. They count if the connection takes them.
    fn write(&mut self, bytes: &[u8], completes: usize) {
        match self.output.write_all(bytes) {
            Ok(()) => self.outcome.written += completes,
            // The error is told once: by now a reset has come.
            Err(_) => self.has_failed_to_write = true,
        }
    }

    /// Reads the next response. Returns whether it came; otherwise the connection has ended.
    fn read_response(&mut self) -> bool {
        self.read_message().is_some()
    }

    fn read_message(&mut self) -> Option<Message> {
        let has_begun = self.input.fill_buf().map(|bytes| !bytes.is_empty());
        let response = match has_begun {
            Ok(true) => Message::read(&mut self.input),
            _ => None,
        };
        if let Some(response) = response {
            self.outcome.statuses.push(response.status());
            return Some(response);
        }
        self.outcome.end = Some(match has_begun {
            Ok(false) if self.has_failed_to_write => ConnectionEnd::ClosedOverUnread,
            Ok(false) => kind_of_close(&self.output),
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => {
                ConnectionEnd::ClosedOverUnread
            }
            _ => ConnectionEnd::None,
        });
        None
    }

    fn read_responses(&mut self) {
        while self.outcome.end.is_none()
            && self.outcome.statuses.len() < self.outcome.written
            && self.read_response()
        {}
    }

    fn act(&mut self, action: Action) {
        let request = || request("look", &new_id(), DEADLINE_MS);
        match action {
            Action::Request => self.write(&request(), 1),
            Action::TwoParts(pause_ms) => {
                let text = request();
                let (first, rest) = text.split_at(text.len() / 2);
                self.write(first, 0);
                thread::sleep(Duration::from_millis(pause_ms));
                self.write(rest, 1);
            }
            Action::Pipelined => {
                let texts: Vec<u8> = (0..PIPELINED_REQUESTS).flat_map(|_| request()).collect();
                self.write(&texts, PIPELINED_REQUESTS);
            }
            Action::NextBegun => {
                let next = request();
                let (first, rest) = next.split_at(next.len() / 2);
                self.write(&[&request(), first].concat(), 1);
                thread::sleep(Duration::from_millis(100));
                self.write(rest, 1);
            }
            Action::Series => {
                let until = Instant::now() + SERIES_TIME;
                while Instant::now() < until {
                    self.write(&request(), 1);
                    let response = self.read_message();
                    // A connection whose end is announced is not used again.
                    if response.is_none_or(|response| response.header("connection") == "close") {
                        break;
                    }
                    thread::sleep(Duration::from_millis(3));
                }
            }
            Action::Upload => {
                let head = post(
                    "pay",
                    &new_id(),
                    DEADLINE_MS,
                    &format!("Content-Length: {LONG_BODY}\r\n"),
                );
                self.write(&head, 0);
                let body = body_of(LONG_BODY);
                let (last, parts) = body.split_last().unwrap();
                for part in parts.chunks(LONG_BODY / 10) {
                    thread::sleep(Duration::from_millis(30));
                    self.write(part, 0);
                }
                self.write(&[*last], 1);
            }
            Action::UnknownPathAndRequest => {
                let unknown = b"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n";
                self.write(&[&unknown[..], &request()].concat(), 2);
            }
        }
        self.read_responses();
    }
}

impl Play {
    /// Serves requests, each after the time of this play.
    fn start_server(self) -> SocketAddr {
        let (addr, connections) = scripted_listener();
        thread::spawn(move || {
            for stream in connections {
                thread::spawn(move || self.serve(stream));
            }
        });
        addr
    }

    fn serve(self, mut stream: TcpStream) {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = Message::read(&mut input) {
            if request.header("x-txn").starts_with(HELD_ID) {
                thread::sleep(HOLD_TIME);
            }
            thread::sleep(Duration::from_millis(self.response_ms));
            let response = ok_response(request.header("x-txn"));
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Plays the client. Returns what went wrong.
    fn run(self) -> Option<String> {
        let addr = self.start_server();
        let mut fixture = NodeFixture::configured(0, &ADMIN_ENV, |config| {
            config["known"]["members"] = json!([member_at("s-0", addr)]);
            config["settings"]["registry-mode"] = json!("push");
            config["limits"]["sockets"] = json!(SOCKETS);
            for class in config["settings"]["classes"].as_array_mut().unwrap() {
                class["deadline"] = json!(DEADLINE_MS * 1_000);
                class["aim"] = json!(DEADLINE_MS * 500);
            }
        });
        fixture.members = vec![member_at("s-0", addr)];
        let (_, mut watch) = fixture.watch();
        let _others = (self.event == Event::NoRoom).then(|| occupy_all_sockets(&fixture));
        let mut client = Client::connect(fixture.addr);
        if self.has_served {
            client.act(Action::Request);
        }
        let lead = Duration::from_millis(self.begins_ms.min(0).unsigned_abs());
        let delay = Duration::from_millis(self.begins_ms.max(0) as u64);
        let action = self.action;
        let acting = thread::spawn(move || {
            thread::sleep(delay);
            client.act(action);
            client.outcome
        });
        thread::sleep(lead);
        self.cause(&mut fixture, &mut watch);
        let outcome = acting.join().unwrap();
        let fault = outcome.fault();
        fault.map(|fault| format!("{self:?}: {fault}; {:?}", fixture.log.lines()))
    }

    /// Makes the event happen, up to SIGKILL after SIGTERM.
    fn cause(self, fixture: &mut NodeFixture, watch: &mut TcpStream) {
        let pause = || thread::sleep(Duration::from_millis(200));
        match self.event {
            Event::None | Event::NoRoom => {}
            Event::Sigterm | Event::SigtermSeries => {
                let kill_at = Instant::now() + Duration::from_millis(DEADLINE_MS) + KILL_DELAY;
                fixture.signal("-TERM");
                if self.event == Event::SigtermSeries {
                    for _ in 0..2 {
                        pause();
                        // The process may have ended.
                        if fixture.node.try_wait().unwrap().is_none() {
                            fixture.signal("-TERM");
                        }
                    }
                }
                thread::sleep(kill_at - Instant::now());
                fixture.kill();
            }
            Event::SighupSeries => {
                let mut watches = Vec::new();
                for attempts in [1, 2, 3] {
                    fixture.config["settings"]["bounds"]["max-attempts"] = json!(attempts);
                    fixture.config["settings"]["classes"][0]["aim"] = json!(100_000 * attempts);
                    watches.push(fixture.move_discovery());
                    fixture.signal("-HUP");
                    pause();
                }
            }
            Event::Standby => {
                fixture.admin_call("POST /standby");
            }
            Event::ShortStandby => {
                fixture.admin_call("POST /standby");
                pause();
                pause();
                fixture.admin_call("POST /active");
            }
            Event::ServerGone => {
                let change = fixture.change_phase(0, "terminated", 42);
                write_chunk(watch, &change);
            }
        }
    }
}

/// Occupies all client sockets of a node with [`SOCKETS`] descriptors, by requests that their server holds.
fn occupy_all_sockets(fixture: &NodeFixture) -> Vec<TcpStream> {
    let hold = |number| fixture.send(&request("pay", &format!("{HELD_ID}{number}"), 60_000));
    let held: Vec<TcpStream> = (0..CLIENT_SOCKETS).map(hold).collect();
    wait_until("all sockets are occupied", || {
        fixture.exchange(READY_REQUEST).status() == 503
    });
    held
}

// Guards against a request that was read and whose connection is ended by the node without a response.
#[test]
fn no_request_that_was_read_ends_with_its_connection() {
    let is_whole = std::env::var("CONNECTION_END_SWEEP").is_ok();
    let faults = faults_of_plays(&sweep(is_whole), PARALLEL_PLAYS, Play::run);
    assert!(faults.is_empty(), "{faults:#?}");
}

fn sweep(is_whole: bool) -> Vec<Play> {
    let events = [
        Event::Sigterm,
        Event::SigtermSeries,
        Event::Standby,
        Event::ShortStandby,
        Event::SighupSeries,
        Event::ServerGone,
    ];
    let actions = [
        Action::Request,
        Action::TwoParts(30),
        Action::TwoParts(700),
        Action::Pipelined,
        Action::NextBegun,
        Action::Series,
        Action::Upload,
        Action::UnknownPathAndRequest,
    ];
    // Idle connections are closed 600 ms after the beginning of a drain.
    let moments: &[i64] = if is_whole {
        &[-50, 300, 590, 598, 600, 602, 650]
    } else {
        &[-50, 599]
    };
    let response_times: &[u64] = if is_whole { &[40, 400] } else { &[40] };
    let mut plays = Vec::new();
    for event in events {
        for action in actions {
            for &begins_ms in moments {
                for &response_ms in response_times {
                    for has_served in [false, true] {
                        plays.push(Play {
                            event,
                            action,
                            begins_ms,
                            has_served,
                            response_ms,
                        });
                    }
                }
            }
        }
    }
    plays.retain(|play| is_whole || play.has_served);
    plays.extend(first_requests(is_whole));
    // Such a connection ends with its first response.
    plays.extend(actions.map(|action| Play {
        event: Event::NoRoom,
        action,
        begins_ms: 0,
        has_served: false,
        response_ms: 40,
    }));
    plays
}

/// First requests round the moment at which a connection without one is closed.
fn first_requests(is_whole: bool) -> Vec<Play> {
    let moments: &[i64] = if is_whole {
        &[
            2_300, 2_450, 2_490, 2_497, 2_498, 2_499, 2_500, 2_501, 2_503, 2_510,
        ]
    } else {
        &[2_490, 2_500]
    };
    let actions = [
        Action::Request,
        Action::TwoParts(30),
        Action::Pipelined,
        Action::Upload,
    ];
    let play = |action, begins_ms| Play {
        event: Event::None,
        action,
        begins_ms,
        has_served: false,
        response_ms: 40,
    };
    let of_moment = |&begins_ms: &i64| actions.map(|action| play(action, begins_ms));
    moments.iter().flat_map(of_moment).collect()
}

/// How long a connection may rest before the node closes it.
const REST_TIME: Duration = Duration::from_secs(60);

// Guards against a request whose head has begun to come when its connection has rested for as long as it may.
#[test]
fn a_request_that_begins_at_the_end_of_a_rest_is_served() {
    let fixture = NodeFixture::new(1);
    let play = |begins_before_end: Duration| {
        let mut client = Client::connect(fixture.addr);
        thread::spawn(move || {
            client.act(Action::Request);
            thread::sleep(REST_TIME - begins_before_end);
            client.act(Action::TwoParts(300));
            client.outcome
        })
    };
    let clients = [200, 150, 100, 50].map(|ms| play(Duration::from_millis(ms)));
    for client in clients {
        let outcome = client.join().unwrap();
        assert_eq!(outcome.statuses, [200, 200], "{outcome:?}");
    }
}

// Guards against a connection that rests and is never closed.
#[test]
fn a_connection_that_rests_is_closed_in_the_end() {
    let fixture = NodeFixture::new(1);
    let mut client = Client::connect(fixture.addr);
    client.act(Action::Request);
    let rests_since = Instant::now();
    let patience = REST_TIME + CLIENT_PATIENCE;
    client.output.set_read_timeout(Some(patience)).unwrap();
    assert!(!client.read_response());
    assert_eq!(client.outcome.end, Some(ConnectionEnd::Closed));
    assert!(rests_since.elapsed() > REST_TIME - CLIENT_PATIENCE);
}
