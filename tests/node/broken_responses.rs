//! Responses of servers that break off, in all forms: whatever a server does, the client of an accepted request gets a
//! complete response, or the beginning of one that it can tell from a complete one.
//!
//! `BROKEN_RESPONSE_SWEEP=1` plays the whole sweep; a run of all tests plays a part of it.

use super::common::received::{Received, Verdict};
use super::memory_limit::{MEMORY_LIMIT_MB, SOCKETS};
use super::response_sweep::start_crowd;
use super::*;

/// Plays at the same time, each at a node of its own.
const PARALLEL_PLAYS: usize = 8;
/// Time of a request, in milliseconds.
const TIMEOUT_MS: u64 = 1_000;
/// A client waits this long for the end of its connection.
const CLIENT_PATIENCE: Duration = Duration::from_secs(5);

/// Plays of a form whose failure is left to chance.
const PLAYS_OF_ONE_FORM: usize = 20;

/// How a server ends its response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ServerEnd {
    /// With a close.
    Close,
    /// With a reset.
    Reset,
    /// With a line that is no chunk, where the body is chunked.
    InvalidChunk,
}

/// When a server goes on after the head of its response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Moment {
    /// Head, body and end at once.
    AtOnce,
    /// The body and its end some milliseconds after the head.
    AfterHead,
    /// Head and body at once, and the end after the time for which the node holds back a response of unknown length.
    EndLate,
}

/// A response that breaks off, and its client.
#[derive(Clone, Copy, Debug)]
struct BrokenResponse {
    framing: Framing,
    length: usize,
    /// Bytes of the body that are sent; all of them for a chunked body means all but its last chunk.
    sent_bytes: usize,
    end: ServerEnd,
    moment: Moment,
    class: &'static str,
    http_1_0: bool,
    /// Whether a crowd of clients uses the memory and the descriptors.
    has_crowd: bool,
}

impl BrokenResponse {
    /// The bytes of the body as the server sends them.
    fn sent_body(self) -> Vec<u8> {
        let mut sent = Vec::new();
        let body = body_of(self.length);
        let part = &body[..self.sent_bytes];
        match self.framing {
            Framing::Length | Framing::End => sent.extend_from_slice(part),
            Framing::Chunked if part.is_empty() => {}
            Framing::Chunked => {
                write!(sent, "{:X}\r\n", self.length).unwrap();
                sent.extend_from_slice(part);
            }
        }
        if self.end == ServerEnd::InvalidChunk {
            sent.extend_from_slice(b"\r\nno chunk\r\n");
        }
        sent
    }

    /// Whether the response is a complete one: its end is marked by the close alone.
    fn is_complete(self) -> bool {
        self.framing == Framing::End && self.end == ServerEnd::Close
    }

    /// Whether a response of this framing can end so: a complete one by its length is not broken, and only a chunked one has
    /// invalid chunks.
    fn is_possible(self) -> bool {
        let has_invalid_chunk = self.end == ServerEnd::InvalidChunk;
        match self.framing {
            Framing::Length => self.sent_bytes < self.length && !has_invalid_chunk,
            Framing::Chunked => true,
            Framing::End => !has_invalid_chunk,
        }
    }

    fn serve(self, mut stream: TcpStream) {
        if Message::read(&mut BufReader::new(stream.try_clone().unwrap())).is_none() {
            return;
        }
        let mut head = Vec::new();
        write_response_head(&mut head, self.framing, self.length).unwrap();
        let body = self.sent_body();
        let _ = match self.moment {
            Moment::AtOnce | Moment::EndLate => stream.write_all(&[head, body].concat()),
            Moment::AfterHead => {
                let written = stream.write_all(&head);
                thread::sleep(Duration::from_millis(5));
                written.and_then(|()| stream.write_all(&body))
            }
        };
        if self.moment == Moment::EndLate {
            thread::sleep(Duration::from_millis(70));
        }
        if self.end == ServerEnd::Reset {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        if self.end == ServerEnd::InvalidChunk {
            // The node ends the connection.
            let _ = std::io::copy(&mut stream, &mut std::io::sink());
        }
    }

    /// Plays the response. Returns what went wrong.
    fn run(self) -> Option<String> {
        let (addr, connections) = scripted_listener();
        thread::spawn(move || {
            for stream in connections {
                thread::spawn(move || self.serve(stream));
            }
        });
        let fixture = NodeFixture::configured(0, &[], |config| {
            config["limits"] = json!({"sockets": SOCKETS, "memory_mb": MEMORY_LIMIT_MB});
            config["known"]["members"] = json!([member_at("s-0", addr)]);
        });
        let crowd = self.has_crowd.then(|| start_crowd(fixture.addr));
        let text = match self.http_1_0 {
            true => request_http_1_0(self.class, &new_id(), TIMEOUT_MS),
            false => request(self.class, &new_id(), TIMEOUT_MS),
        };
        let mut client = fixture.send(&text);
        client.set_read_timeout(Some(CLIENT_PATIENCE)).unwrap();
        // A client that keeps its connection tells by the framing alone that the response is complete.
        let received = Received::until_complete(&mut client);
        if let Some(crowd) = crowd {
            crowd.join().unwrap();
        }
        self.fault_of(&received)
            .map(|fault| format!("{self:?}: {fault}; {:?}", fixture.log.lines()))
    }

    fn fault_of(self, received: &Received) -> Option<String> {
        let end = received.end;
        match received.verdict() {
            Verdict::NoResponse => Some(format!("no byte of a response, {end:?}")),
            Verdict::Incomplete if self.is_complete() => Some(format!("cut off, {end:?}")),
            Verdict::Incomplete => None,
            Verdict::Complete { status: 200, body } => {
                let is_wrong = !self.is_complete() || body != body_of(self.sent_bytes);
                is_wrong.then(|| format!("{} bytes taken for a complete response", body.len()))
            }
            Verdict::Complete { .. } if self.is_complete() => Some("answered as failed".to_owned()),
            Verdict::Complete { .. } => None,
        }
    }
}

/// Plays responses, each at a node of its own. Returns what went wrong.
fn play(responses: &[BrokenResponse]) -> Vec<String> {
    faults_of_plays(responses, PARALLEL_PLAYS, BrokenResponse::run)
}

// Guards against an accepted request whose connection ends without a byte of a response, as the response breaks off while
// its head is handed to the HTTP library.
#[test]
fn a_long_response_that_breaks_off_at_once_reaches_the_client_as_far_as_it_came() {
    // Whether the node sees all of it in one step is left to chance.
    let sent_bytes = [1, 40_000].repeat(PLAYS_OF_ONE_FORM);
    let of_length = |sent_bytes| BrokenResponse {
        framing: Framing::Length,
        length: 100_000,
        sent_bytes,
        end: ServerEnd::Close,
        moment: Moment::AtOnce,
        class: "pay",
        http_1_0: false,
        has_crowd: false,
    };
    let responses: Vec<_> = sent_bytes.into_iter().map(of_length).collect();
    let faults = play(&responses);
    assert!(faults.is_empty(), "{faults:#?}");
}

// Guards against all other ways in which a broken response takes the client's answer along, or is taken for a complete one.
#[test]
fn responses_that_break_off_in_any_form_are_no_lost_requests() {
    let is_whole = std::env::var("BROKEN_RESPONSE_SWEEP").is_ok();
    let faults = play(&sweep(is_whole));
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Responses of all framings that end after nothing, a byte, a part and all of their bodies.
fn sweep(is_whole: bool) -> Vec<BrokenResponse> {
    let lengths: &[usize] = if is_whole {
        &[300, 60_000, 65_536, 70_000, 1_000_000]
    } else {
        &[300, 70_000]
    };
    let clients: &[(&str, bool)] = if is_whole {
        &[
            ("pay", false),
            ("pay", true),
            ("look", false),
            ("look", true),
        ]
    } else {
        &[("pay", false)]
    };
    let ends = [ServerEnd::Close, ServerEnd::Reset, ServerEnd::InvalidChunk];
    let moments: &[Moment] = if is_whole {
        &[Moment::AtOnce, Moment::AfterHead, Moment::EndLate]
    } else {
        &[Moment::AtOnce, Moment::AfterHead]
    };
    let mut responses = Vec::new();
    for &length in lengths {
        for sent_bytes in [0, 1, length / 2, length - 1, length] {
            for framing in [Framing::Length, Framing::Chunked, Framing::End] {
                for end in ends {
                    for &moment in moments {
                        let of_client = |&(class, http_1_0): &(&'static str, bool)| {
                            let has_crowd = false;
                            BrokenResponse {
                                framing,
                                length,
                                sent_bytes,
                                end,
                                moment,
                                class,
                                http_1_0,
                                has_crowd,
                            }
                        };
                        responses.extend(clients.iter().map(of_client));
                    }
                }
            }
        }
    }
    responses.retain(|response| response.is_possible());
    // The time of the crowd is that of each play.
    let of_interest = |response: &&BrokenResponse| {
        response.sent_bytes <= 1 && response.length == 70_000 && response.class == "pay"
    };
    let beside_crowd: Vec<_> = responses.iter().filter(of_interest).copied().collect();
    let step = if is_whole { 1 } else { 4 };
    let beside_crowd = beside_crowd.into_iter().step_by(step);
    responses.extend(beside_crowd.map(|response| BrokenResponse {
        has_crowd: true,
        ..response
    }));
    responses
}
