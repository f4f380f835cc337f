//! Each limit on when a request may reach a server, beside each wait between the decision to send it and its last byte, up to
//! the longest waits of the platform: a connection that comes up late, and a server that reads late.
//!
//! `SEND_SWEEP=1` plays the whole sweep; a run of all tests plays a part of it.

use std::time::SystemTime;

use super::common::timed_requests::*;
use super::disconnects::{Disconnect, DISCONNECTS};
use super::send_limits::*;
use super::*;

/// Plays at the same time, each at a node of its own.
const PARALLEL_PLAYS: usize = 8;
/// In a run of all tests one play in this many is played.
const PART: usize = 12;
/// The longest time in which a connection may come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a play goes on after its last event: longer than a connection that comes up late.
const QUIET_TIME: Duration = Duration::from_millis(1_300);
/// The longest time that a client gives its request.
const MAX_TIMEOUT_MS: u64 = 3_000;
/// Two bodies that the node holds whole, and two that it passes on while they arrive.
const BODY_LENGTHS: [usize; 4] = [20_000, 60_000, 200_000, 1_000_000];

/// What an attempt waits for after it was decided.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Wait {
    None,
    /// Its connection comes up when the system tries it again, after 1 s.
    Connection,
    /// Its server reads this much later than it accepts, and the bytes wait there meanwhile.
    Reader(Unread, Duration),
}

impl Wait {
    fn listener(self) -> (SocketAddr, socket2::Socket) {
        timed_listener(match self {
            Wait::Reader(unread, _) => unread,
            _ => Unread::Server,
        })
    }

    /// Serves the connections that come from now on.
    fn serve(self, listener: socket2::Socket) -> Receiver<(TimedRequest, TcpStream)> {
        match self {
            Wait::None => timed_requests(connections(listener.into()), Duration::ZERO),
            Wait::Reader(_, delay) => timed_requests(connections(listener.into()), delay),
            Wait::Connection => panic!("served by its backlog"),
        }
    }

    /// Time until the last attempt has arrived.
    fn longest(self) -> Duration {
        match self {
            Wait::Reader(_, delay) => delay + QUIET_TIME,
            _ => QUIET_TIME,
        }
    }
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn bound_connect_time(settings: &mut Value) {
    settings["bounds"]["dial-timeout"] = json!(CONNECT_TIMEOUT.as_micros() as u64);
}

/// The first attempt of a keyed request is reset in its window; its repeat waits.
#[derive(Clone, Copy, Debug)]
struct WindowPlay {
    window: Duration,
    /// When the first attempt is reset, in hundredths of the window.
    reset_at: u32,
    wait: Wait,
    length: usize,
}

impl WindowPlay {
    fn all() -> Vec<WindowPlay> {
        let mut plays = Vec::new();
        for window in [ms(500), ms(1_000), ms(2_000), ms(3_000)] {
            for reset_at in [20, 50, 80, 95] {
                for (wait, length) in [
                    (Wait::None, 0),
                    (Wait::Connection, 0),
                    (Wait::Connection, 60_000),
                    (Wait::Reader(Unread::Node, ms(100)), 60_000),
                    (Wait::Reader(Unread::Node, ms(400)), 60_000),
                    (Wait::Reader(Unread::Node, ms(1_000)), 60_000),
                    (Wait::Reader(Unread::Node, ms(2_000)), 60_000),
                    (Wait::Reader(Unread::NodeSystem, ms(400)), 60_000),
                    (Wait::Reader(Unread::NodeSystem, ms(1_000)), 60_000),
                ] {
                    plays.push(WindowPlay {
                        window,
                        reset_at,
                        wait,
                        length,
                    });
                }
            }
        }
        plays
    }

    fn run(self) -> Option<String> {
        let (addr, listener) = self.wait.listener();
        let fixture = fixture_at(addr, |settings| {
            bound_connect_time(settings);
            settings["classes"][2]["key-ttl"] = json!(self.window.as_micros() as u64);
        });
        let _client = fixture.send(&keyed_request(&new_id(), MAX_TIMEOUT_MS, self.length));
        let stream = accept(&listener);
        let first = TimedRequest::read(&stream).expect("no first attempt");
        let reset_after = self.window * self.reset_at / 100;
        let reset_first = || {
            let elapsed = time_between(first.last_byte, SystemTime::now());
            thread::sleep(reset_after.saturating_sub(elapsed));
            reset(stream);
        };
        let requests = if self.wait == Wait::Connection {
            let backlog = FullBacklog::of(listener, ms(50));
            reset_first();
            thread::sleep(ms(200));
            timed_requests(backlog.open(), Duration::ZERO)
        } else {
            reset_first();
            self.wait.serve(listener)
        };
        let repeats = arrivals_within(&requests, self.wait.longest());
        let late = repeats.iter().find_map(|repeat| {
            let after = time_between(first.last_byte, repeat.last_byte);
            let is_late = after > self.window + SOCKET_SLACK;
            is_late.then(|| format!("sent again {after:?} after the first time"))
        });
        let must_repeat = self.wait == Wait::None && self.reset_at <= 50;
        let missing = || {
            let is_missing = must_repeat && repeats.is_empty();
            is_missing.then(|| "not sent again within its window".to_owned())
        };
        late.or_else(missing)
            .map(|fault| format!("{self:?}: {fault}"))
    }
}

/// A client leaves while its request waits.
#[derive(Clone, Copy, Debug)]
struct LeavingPlay {
    disconnect: Disconnect,
    cancelling: bool,
    /// Time from the request to the end of its client.
    leaves_after: Duration,
    wait: Wait,
    length: usize,
}

impl LeavingPlay {
    fn all() -> Vec<LeavingPlay> {
        let mut plays = Vec::new();
        for disconnect in DISCONNECTS {
            for cancelling in [true, false] {
                for leaves_after in [ms(50), ms(250)] {
                    for length in BODY_LENGTHS {
                        for wait in [
                            Wait::Connection,
                            Wait::Reader(Unread::Node, ms(500)),
                            Wait::Reader(Unread::Node, ms(1_500)),
                            Wait::Reader(Unread::NodeSystem, ms(500)),
                        ] {
                            plays.push(LeavingPlay {
                                disconnect,
                                cancelling,
                                leaves_after,
                                wait,
                                length,
                            });
                        }
                    }
                }
            }
        }
        plays
    }

    fn run(self) -> Option<String> {
        let (addr, listener) = self.wait.listener();
        let fixture = fixture_at(addr, |settings| {
            bound_connect_time(settings);
            settings["bounds"]["cancelling"] = json!(self.cancelling);
        });
        let text = keyed_request(&new_id(), MAX_TIMEOUT_MS, self.length);
        let (left_at, requests) = if self.wait == Wait::Connection {
            let backlog = FullBacklog::of(listener, ms(50));
            let left_at = self.send_and_leave(&fixture, &text);
            (left_at, timed_requests(backlog.open(), Duration::ZERO))
        } else {
            let requests = self.wait.serve(listener);
            (self.send_and_leave(&fixture, &text), requests)
        };
        let attempts = arrivals_within(&requests, self.wait.longest());
        let late = attempts.iter().find_map(|attempt| {
            let after = time_between(left_at, attempt.last_byte);
            (after > MAX_START_DELAY).then(|| format!("begun {after:?} after its client left"))
        });
        late.map(|fault| format!("{self:?}: {fault}"))
    }

    /// Sends the request and returns when its client left.
    fn send_and_leave(self, fixture: &NodeFixture, text: &[u8]) -> SystemTime {
        let client = fixture.send(text);
        thread::sleep(self.leaves_after);
        let half_closed = self.disconnect.apply(client);
        let left_at = SystemTime::now();
        // Stays open for as long as the play lasts.
        thread::spawn(move || {
            thread::sleep(ms(MAX_TIMEOUT_MS));
            drop(half_closed);
        });
        left_at
    }
}

/// A server reads a request only after its final answer.
#[derive(Clone, Copy, Debug)]
struct AnsweredPlay {
    timeout_ms: u64,
    /// Time from the request's end to the server's first read.
    reads_later: Duration,
    unread: Unread,
    length: usize,
}

impl AnsweredPlay {
    fn all() -> Vec<AnsweredPlay> {
        let mut plays = Vec::new();
        for timeout_ms in [300, 800, 1_500] {
            for reads_later in [ms(700), ms(1_500)] {
                for unread in [Unread::Node, Unread::NodeSystem] {
                    for length in BODY_LENGTHS {
                        plays.push(AnsweredPlay {
                            timeout_ms,
                            reads_later,
                            unread,
                            length,
                        });
                    }
                }
            }
        }
        plays
    }

    fn run(self) -> Option<String> {
        let (addr, listener) = timed_listener(self.unread);
        let fixture = fixture_at(addr, |_| {});
        let mut client = fixture.send(&keyed_request(&new_id(), self.timeout_ms, self.length));
        let reads_after = ms(self.timeout_ms) + self.reads_later;
        let requests = timed_requests(connections(listener.into()), reads_after);
        if !read_one_byte(&mut client).is_ok_and(|read| read > 0) {
            return Some(format!("{self:?}: no answer"));
        }
        let answered_at = SystemTime::now();
        let attempts = arrivals_within(&requests, self.reads_later + QUIET_TIME);
        let late = attempts.iter().find_map(|attempt| {
            let after = time_between(answered_at, attempt.last_byte);
            (after > MAX_START_DELAY).then(|| format!("begun {after:?} after its answer"))
        });
        late.map(|fault| format!("{self:?}: {fault}"))
    }
}

/// A request tells its server what is left of its time.
#[derive(Clone, Copy, Debug)]
struct RemainingPlay {
    timeout_ms: u64,
    wait: Wait,
    length: usize,
}

impl RemainingPlay {
    fn all() -> Vec<RemainingPlay> {
        let mut plays = Vec::new();
        for timeout_ms in [1_300, 2_000, MAX_TIMEOUT_MS] {
            for wait in [Wait::None, Wait::Connection] {
                for length in [0, 60_000, 200_000, 1_000_000] {
                    plays.push(RemainingPlay {
                        timeout_ms,
                        wait,
                        length,
                    });
                }
            }
        }
        plays
    }

    fn run(self) -> Option<String> {
        let (addr, listener) = self.wait.listener();
        let fixture = fixture_at(addr, bound_connect_time);
        let text = keyed_request(&new_id(), self.timeout_ms, self.length);
        let (_client, complete_at, requests) = if self.wait == Wait::Connection {
            let backlog = FullBacklog::of(listener, ms(50));
            let (client, complete_at) = (fixture.send(&text), SystemTime::now());
            thread::sleep(ms(200));
            let requests = timed_requests(backlog.open(), Duration::ZERO);
            (client, complete_at, requests)
        } else {
            let requests = self.wait.serve(listener);
            (fixture.send(&text), SystemTime::now(), requests)
        };
        let attempts = arrivals_within(&requests, self.wait.longest());
        if attempts.is_empty() {
            return Some(format!("{self:?}: not sent"));
        }
        let excess = attempts.iter().find_map(|attempt| {
            let waited = time_between(complete_at, attempt.first_byte);
            let left = ms(self.timeout_ms).saturating_sub(waited);
            let told = attempt.remaining();
            (told > left + MAX_EXCESS_REMAINING)
                .then(|| format!("told {told:?} where {left:?} are left"))
        });
        excess.map(|fault| format!("{self:?}: {fault}"))
    }
}

/// A server begins to drain while a request waits for a connection to it.
#[derive(Clone, Copy, Debug)]
struct DrainPlay {
    grace: Duration,
    /// Time from the request to the news of the drain.
    told_after: Duration,
}

impl DrainPlay {
    fn all() -> Vec<DrainPlay> {
        let mut plays = Vec::new();
        for grace in [ms(200), ms(500), ms(750)] {
            for told_after in [ms(50), ms(300), ms(600), ms(900)] {
                plays.push(DrainPlay { grace, told_after });
            }
        }
        plays
    }

    fn run(self) -> Option<String> {
        let backlog = FullBacklog::new();
        let mut fixture = fixture_at(backlog.addr, |settings| {
            bound_connect_time(settings);
            settings["rules"]["stop-sending-within"] = json!(self.grace.as_micros() as u64);
        });
        let (_, mut watch) = fixture.watch();
        let _client = fixture.send(&request("look", &new_id(), MAX_TIMEOUT_MS));
        thread::sleep(self.told_after);
        fixture.members = fixture.config["known"]["members"]
            .as_array()
            .unwrap()
            .clone();
        for server in 0..fixture.members.len() {
            let line = fixture.change_phase(server, "terminating", 42 + server as u64);
            write_chunk(&mut watch, &line);
        }
        let told_at = SystemTime::now();
        let requests = timed_requests(backlog.open(), Duration::ZERO);
        let attempts = arrivals_within(&requests, QUIET_TIME);
        let late = attempts.iter().find_map(|attempt| {
            let after = time_between(told_at, attempt.first_byte);
            let is_late = after > self.grace + SOCKET_SLACK;
            is_late.then(|| format!("sent {after:?} after the news"))
        });
        late.map(|fault| format!("{self:?}: {fault}"))
    }
}

/// Plays all, or a part of them in a run of all tests, and checks that none went wrong.
fn check<P: Copy + Send + 'static>(plays: &[P], run: fn(P) -> Option<String>) {
    let part = match std::env::var_os("SEND_SWEEP") {
        Some(_) => 1,
        None => PART,
    };
    let chosen: Vec<P> = plays.iter().copied().step_by(part).collect();
    let mut faults = Vec::new();
    for group in chosen.chunks(PARALLEL_PLAYS) {
        let start = |&play: &P| thread::spawn(move || run(play));
        let running: Vec<_> = group.iter().map(start).collect();
        let ended = running.into_iter().map(|play| play.join().unwrap());
        faults.extend(ended.flatten());
    }
    println!("{} of {} plays failed", faults.len(), chosen.len());
    assert!(faults.is_empty(), "{faults:#?}");
}

// Guards against a keyed request that runs twice, as its repeat reaches a server after its window.
#[test]
fn repeats_arrive_within_their_window() {
    check(&WindowPlay::all(), WindowPlay::run);
}

// Guards against attempts that begin after their client has gone.
#[test]
fn no_attempt_begins_after_its_client_has_left() {
    check(&LeavingPlay::all(), LeavingPlay::run);
}

// Guards against attempts that begin after their request was answered.
#[test]
fn no_attempt_begins_after_the_final_answer() {
    check(&AnsweredPlay::all(), AnsweredPlay::run);
}

// Guards against a server that works on after its client has given up.
#[test]
fn no_server_is_told_more_time_than_is_left() {
    check(&RemainingPlay::all(), RemainingPlay::run);
}

// Guards against requests that are new to a draining server.
#[test]
fn nothing_is_sent_to_a_server_long_after_its_drain_was_told() {
    check(&DrainPlay::all(), DrainPlay::run);
}
