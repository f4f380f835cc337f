//! Long responses of all lengths and framings from servers that write them slowly, late, or with pauses: they are passed on
//! whole.
//!
//! `RESPONSE_SWEEP=1` plays the whole sweep; a run of all tests plays a part of it.

use super::crowd::{Crowd, CrowdClient};
use super::memory_limit::{MEMORY_LIMIT_MB, SOCKETS};
use super::*;

/// The first byte of a long response may come this much later than its time.
const LATEST_FIRST_BYTE: Duration = Duration::from_millis(500);
/// Pieces in which a server writes a response.
const PIECES: usize = 10;
/// Responses at the same time, each at a node of its own.
const PARALLEL_RESPONSES: usize = 8;

/// A response and how its server writes it.
#[derive(Clone, Copy, Debug)]
struct Response {
    length: usize,
    framing: Framing,
    timeout_ms: u64,
    /// Time from the request to the head.
    head_delay: Duration,
    /// Time from the head to the first piece of the body.
    body_delay: Duration,
    /// Time from one piece to the next.
    pause: Duration,
    /// Whether a crowd of clients uses the memory and the descriptors.
    has_crowd: bool,
}

impl Response {
    /// Plays the response. Returns what went wrong.
    fn run(self) -> Option<String> {
        let addr = self.start_server();
        let timeout_us = self.timeout_ms * 1_000;
        let fixture = NodeFixture::configured(0, &[], |config| {
            config["limits"] = json!({"sockets": SOCKETS, "memory_mb": MEMORY_LIMIT_MB});
            config["known"]["members"] = json!([member_at("s-0", addr), member_at("s-1", addr)]);
            for class in config["settings"]["classes"].as_array_mut().unwrap() {
                class["aim"] = json!(timeout_us / 2);
                class["deadline"] = json!(timeout_us);
            }
        });
        let crowd = self.has_crowd.then(|| start_crowd(fixture.addr));
        let fault = self.receive(fixture.addr);
        if let Some(crowd) = crowd {
            crowd.join().unwrap();
        }
        fault.map(|fault| format!("{self:?}: {fault}; {:?}", fixture.log.lines()))
    }

    fn start_server(self) -> SocketAddr {
        let (addr, connections) = scripted_listener();
        // Made before the first request, as its time would run meanwhile.
        let mut body = Vec::new();
        let whole = body_of(self.length);
        self.framing.write_body(&mut body, &whole).unwrap();
        let body = Arc::new(body);
        thread::spawn(move || {
            for stream in connections {
                let body = body.clone();
                thread::spawn(move || self.serve(stream, &body));
            }
        });
        addr
    }

    fn serve(self, mut stream: TcpStream, body: &[u8]) {
        if Message::read(&mut BufReader::new(stream.try_clone().unwrap())).is_none() {
            return;
        }
        thread::sleep(self.head_delay);
        if write_response_head(&mut stream, self.framing, self.length).is_err() {
            return;
        }
        thread::sleep(self.body_delay);
        for piece in body.chunks(body.len().div_ceil(PIECES)) {
            if stream.write_all(piece).is_err() {
                return;
            }
            thread::sleep(self.pause);
        }
    }

    fn receive(self, addr: SocketAddr) -> Option<String> {
        let mut stream = connect(addr);
        stream
            .write_all(&request("look", &new_id(), self.timeout_ms))
            .unwrap();
        let sent_at = Instant::now();
        let mut input = BufReader::new(stream);
        if !input.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
            return Some("no answer".to_owned());
        }
        let first_byte = sent_at.elapsed();
        if first_byte > Duration::from_millis(self.timeout_ms) + LATEST_FIRST_BYTE {
            return Some(format!("first byte after {first_byte:?}"));
        }
        let Some(response) = Message::read(&mut input) else {
            return Some("cut off".to_owned());
        };
        if response.status() != 200 {
            return Some(response.first_line.clone());
        }
        let mut body = response.body.clone();
        let has_framing = !response.header("transfer-encoding").is_empty()
            || !response.header("content-length").is_empty();
        if !has_framing && input.read_to_end(&mut body).is_err() {
            return Some("reset".to_owned());
        }
        (body != body_of(self.length)).then(|| format!("cut off after {} bytes", body.len()))
    }
}

/// Clients that send half of a long body or read slowly use memory and descriptors for a while.
pub(super) fn start_crowd(addr: SocketAddr) -> thread::JoinHandle<()> {
    let crowd = Crowd {
        clients: 100,
        time: Duration::from_secs(3),
        ..Crowd::of(&[CrowdClient::HalfOfLongBody, CrowdClient::SmallPieces])
    };
    let joined = thread::spawn(move || crowd.run(addr));
    thread::sleep(Duration::from_millis(300));
    joined
}

// Guards against a slow response that is cut off by what happens meanwhile: its server leaves the list, the node gets other
// settings, other requests at the same server time out, an operator sends clients away.
#[test]
fn a_slow_long_response_outlives_changes_of_its_server_and_its_node() {
    for framing in [Framing::Length, Framing::Chunked, Framing::End] {
        let response = Response {
            length: 258_331,
            framing,
            timeout_ms: 800,
            head_delay: Duration::ZERO,
            body_delay: Duration::ZERO,
            pause: Duration::from_millis(250),
            has_crowd: false,
        };
        let addr = response.start_server();
        let mut fixture = NodeFixture::configured(1, &ADMIN_ENV, |config| {
            config["known"]["members"] = json!([member_at("s-0", addr)]);
            config["settings"]["registry-mode"] = json!("push");
        });
        fixture.members = vec![member_at("s-0", addr)];
        let (_, mut watch) = fixture.watch();
        let node_addr = fixture.addr;
        let received = thread::spawn(move || response.receive(node_addr));
        thread::sleep(Duration::from_millis(500));
        for (phase, revision) in [("terminating", 42), ("terminated", 43)] {
            let change = fixture.change_phase(0, phase, revision);
            write_chunk(&mut watch, &change);
            // Its answer, if any, comes late.
            let _other = fixture.send(&request("pay", &new_id(), 100));
            thread::sleep(Duration::from_millis(200));
        }
        fixture.signal("-HUP");
        assert_eq!(fixture.admin_call("POST /standby").status(), 200);
        let fault = received.join().unwrap();
        assert_eq!(fault, None, "{framing:?}: {:?}", fixture.log.lines());
    }
}

// Guards against a sound long response that is cut off because its server writes it slowly.
#[test]
fn long_responses_of_all_lengths_and_paces_are_passed_on_whole() {
    let is_whole = std::env::var("RESPONSE_SWEEP").is_ok();
    let faults = faults_of_plays(&sweep(is_whole), PARALLEL_RESPONSES, Response::run);
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Responses up to the longest one, with delays up to their time and pauses up to those that the node allows.
fn sweep(is_whole: bool) -> Vec<Response> {
    let ms = Duration::from_millis;
    let lengths: &[usize] = if is_whole {
        &[66_000, 258_331, 2 << 20, 32 << 20]
    } else {
        &[258_331]
    };
    let timeouts: &[u64] = if is_whole { &[115, 800, 2_000] } else { &[800] };
    let pauses: &[u64] = if is_whole {
        &[0, 40, 400, 2_500]
    } else {
        &[40, 200]
    };
    let mut responses = Vec::new();
    for &length in lengths {
        for &timeout_ms in timeouts {
            for &pause in pauses {
                for framing in [Framing::Length, Framing::Chunked, Framing::End] {
                    let response = Response {
                        length,
                        framing,
                        timeout_ms,
                        head_delay: ms(0),
                        body_delay: ms(0),
                        pause: ms(pause),
                        has_crowd: false,
                    };
                    responses.push(response);
                    let late = Response {
                        body_delay: ms(timeout_ms * 3 / 4),
                        ..response
                    };
                    responses.push(late);
                    if is_whole {
                        responses.push(Response {
                            head_delay: ms(timeout_ms / 3),
                            ..response
                        });
                        responses.push(Response {
                            body_delay: ms(timeout_ms * 3 / 2),
                            ..response
                        });
                        responses.push(Response {
                            has_crowd: true,
                            ..late
                        });
                    }
                }
            }
        }
    }
    responses
}
