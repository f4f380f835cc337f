//! Long responses whose body begins late or comes slowly, from servers that are only slow.

use super::*;

/// Length of a response that is longer than the node buffers.
const LONG_BODY: usize = 250_000;
/// Time from the head of a response to its body: far more than the timeout of an attempt that a retry can follow.
const BODY_DELAY: Duration = Duration::from_millis(900);
/// Time that the client waits for its response.
const CLIENT_TIMEOUT_MS: u64 = 2_000;
/// Servers that may be tried.
const SERVERS: usize = 4;

/// Starts a node whose classes have the latency objective and the deadline of the platform's idempotent class, with
/// servers that each send the head of a response at once and the body [`BODY_DELAY`] later.
fn fixture_with_late_bodies(framing: Framing) -> (NodeFixture, Receiver<()>) {
    let (requests, received) = channel();
    let members: Vec<_> = (0..SERVERS)
        .map(|number| {
            let (addr, connections) = scripted_listener();
            serve_late_bodies(connections, framing, requests.clone());
            member_at(&format!("s-late-{number}"), addr)
        })
        .collect();
    (fixture_with_members(&members), received)
}

/// Starts a node with these servers, whose classes have the latency objective and the deadline of the platform's idempotent
/// class.
fn fixture_with_members(members: &[serde_json::Value]) -> NodeFixture {
    NodeFixture::configured(0, &[], |config| {
        config["known"]["members"] = json!(members);
        for class in config["settings"]["classes"].as_array_mut().unwrap() {
            class["aim"] = json!(500_000);
            class["deadline"] = json!(2_000_000);
        }
    })
}

fn serve_late_bodies(
    connections: Receiver<TcpStream>,
    framing: Framing,
    requests: std::sync::mpsc::Sender<()>,
) {
    thread::spawn(move || {
        for mut stream in connections {
            let requests = requests.clone();
            thread::spawn(move || {
                let request = Message::read(&mut BufReader::new(stream.try_clone().unwrap()));
                if request.is_none() || requests.send(()).is_err() {
                    return;
                }
                let _ = write_response_head(&mut stream, framing, LONG_BODY);
                thread::sleep(BODY_DELAY);
                let _ = framing.write_body(&mut stream, &body_of(LONG_BODY));
            });
        }
    });
}

/// Reads a whole response whose body ends as `framing` says.
fn read_response(stream: TcpStream, framing: Framing) -> (u16, Vec<u8>) {
    let mut input = BufReader::new(stream);
    let response = Message::read(&mut input).expect("no response");
    let status = response.status();
    let mut body = response.body;
    if framing == Framing::End && response.headers.contains_key("transfer-encoding") {
        return (status, body);
    }
    if framing == Framing::End && !response.headers.contains_key("content-length") {
        input.read_to_end(&mut body).expect("the response broke");
    }
    (status, body)
}

// Guards against the timeout of an attempt ending a response whose head has arrived: the node cut off one sound server
// after the other and then refused the request.
#[test]
fn a_long_response_whose_body_begins_late_is_passed_on() {
    for framing in [Framing::Length, Framing::Chunked, Framing::End] {
        let (fixture, requests) = fixture_with_late_bodies(framing);
        let client = fixture.send(&request("look", "late", CLIENT_TIMEOUT_MS));
        let (status, body) = read_response(client, framing);
        assert_eq!(status, 200, "{framing:?}: {:?}", fixture.log.lines());
        assert!(body == body_of(LONG_BODY), "{framing:?}: {}", body.len());
        assert_eq!(requests.try_iter().count(), 1, "{framing:?}");
    }
}

// Guards against a client that waits for the first bytes of a long response for as long as its server holds back the body.
#[test]
fn the_head_of_a_long_response_does_not_wait_for_its_body() {
    for framing in [Framing::Length, Framing::Chunked, Framing::End] {
        let (fixture, _requests) = fixture_with_late_bodies(framing);
        let mut client = fixture.send(&request("look", "late", CLIENT_TIMEOUT_MS));
        let start = Instant::now();
        assert_eq!(read_one_byte(&mut client).unwrap(), 1, "{framing:?}");
        let first_byte = start.elapsed();
        assert!(first_byte < BODY_DELAY / 2, "{framing:?}: {first_byte:?}");
    }
}

/// Time that a server takes for the head of a response: far more than the timeout of an attempt that a retry can follow, once
/// other requests of the class were fast.
const HEAD_TIME: Duration = Duration::from_millis(600);
/// Fast requests from which the node learns the latency of the class.
const FAST_REQUESTS: usize = 60;

/// Starts a server that answers fast, and requests whose id begins with `slow` with a long response that it writes slowly from
/// its first byte on. Reports each slow request.
fn serve_slow_heads(framing: Framing, requests: std::sync::mpsc::Sender<()>) -> SocketAddr {
    let (addr, connections) = scripted_listener();
    thread::spawn(move || {
        for mut stream in connections {
            let requests = requests.clone();
            thread::spawn(move || {
                let mut input = BufReader::new(stream.try_clone().unwrap());
                while let Some(request) = Message::read(&mut input) {
                    if !request.header("x-txn").starts_with("slow") {
                        let _ = stream.write_all(ok_response("").as_bytes());
                        continue;
                    }
                    let _ = requests.send(());
                    let mut head = Vec::new();
                    write_response_head(&mut head, framing, LONG_BODY).unwrap();
                    for byte in &head {
                        if stream.write_all(&[*byte]).is_err() {
                            return;
                        }
                        thread::sleep(HEAD_TIME / head.len() as u32);
                    }
                    let _ = framing.write_body(&mut stream, &body_of(LONG_BODY));
                    return;
                }
            });
        }
    });
    addr
}

// Guards against the timeout of an attempt ending a response whose head is still arriving: the node cut off one sound server
// after the other and then refused the request.
#[test]
fn a_long_response_whose_head_comes_in_small_pieces_is_passed_on() {
    for framing in [Framing::Length, Framing::Chunked, Framing::End] {
        let (sender, requests) = channel();
        let members: Vec<_> = (0..SERVERS)
            .map(|number| {
                let addr = serve_slow_heads(framing, sender.clone());
                member_at(&format!("s-{number}"), addr)
            })
            .collect();
        let fixture = fixture_with_members(&members);
        for _ in 0..FAST_REQUESTS {
            let response = fixture.exchange(&request("look", &new_id(), CLIENT_TIMEOUT_MS));
            assert_eq!(response.status(), 200);
        }
        let id = format!("slow-{}", new_id());
        let client = fixture.send(&request("look", &id, CLIENT_TIMEOUT_MS));
        let (status, body) = read_response(client, framing);
        assert_eq!(status, 200, "{framing:?}: {:?}", fixture.log.lines());
        assert!(body == body_of(LONG_BODY), "{framing:?}: {}", body.len());
        assert_eq!(requests.try_iter().count(), 1, "{framing:?}");
    }
}
