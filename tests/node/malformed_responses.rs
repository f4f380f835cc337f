//! Responses of servers that are malformed, or well-formed in rare ways, each as raw bytes: the client of an accepted request
//! gets a complete response, or the beginning of one that it can tell from a complete one, and never a wrong one.
//!
//! `MALFORMED_RESPONSE_SWEEP=1` plays the whole sweep; a run of all tests plays a part of it.

use super::common::received::{Received, Verdict};
use super::*;

/// Plays at the same time, each at a node of its own.
const PARALLEL_PLAYS: usize = 8;
/// Time of a request, in milliseconds.
const TIMEOUT_MS: u64 = 700;
/// A client waits this long for the end of its connection.
const CLIENT_PATIENCE: Duration = Duration::from_secs(3);
/// Length of a body that the node does not buffer.
const LONG_BODY: usize = 80_000;

/// What a client may be told of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    /// The response is well-formed, with the body `hello`.
    Hello,
    /// The response is no complete one: an answer of the node, or a response that is visibly incomplete.
    Failure,
    /// Either of them, as readers of HTTP differ.
    Either,
}

/// How the server goes on after its last byte.
#[derive(Clone, Copy, Debug, PartialEq)]
enum After {
    Close,
    Reset,
    StayOpen,
}

/// A response as raw bytes.
#[derive(Clone)]
struct RawResponse {
    name: &'static str,
    bytes: Vec<u8>,
    expected: Expected,
}

/// A play of a raw response.
#[derive(Clone)]
struct Play {
    response: RawResponse,
    after: After,
    /// Pause in the middle of the response, in milliseconds.
    pause_ms: u64,
    http_1_0: bool,
}

impl Play {
    fn serve(&self, mut stream: TcpStream) {
        if Message::read(&mut BufReader::new(stream.try_clone().unwrap())).is_none() {
            return;
        }
        let bytes = &self.response.bytes;
        let written = if self.pause_ms == 0 {
            stream.write_all(bytes)
        } else {
            let (first, rest) = bytes.split_at(bytes.len() * 2 / 3);
            let written = stream.write_all(first);
            thread::sleep(Duration::from_millis(self.pause_ms));
            written.and_then(|()| stream.write_all(rest))
        };
        match self.after {
            After::Close => {}
            After::Reset => {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            After::StayOpen if written.is_ok() => {
                let _ = std::io::copy(&mut stream, &mut std::io::sink());
            }
            After::StayOpen => {}
        }
    }

    /// Plays the response. Returns what went wrong.
    fn run(self) -> Option<String> {
        let (addr, connections) = scripted_listener();
        let server = Arc::new(self.clone());
        thread::spawn(move || {
            for stream in connections {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        let fixture = NodeFixture::configured(0, &[], |config| {
            config["known"]["members"] = json!([member_at("s-0", addr)]);
        });
        let text = match self.http_1_0 {
            true => request_http_1_0("pay", &new_id(), TIMEOUT_MS),
            false => request("pay", &new_id(), TIMEOUT_MS),
        };
        let mut client = fixture.send(&text);
        client.set_read_timeout(Some(CLIENT_PATIENCE)).unwrap();
        let received = Received::until_complete(&mut client);
        self.fault_of(&received).map(|fault| {
            let Play {
                response,
                after,
                pause_ms,
                http_1_0,
            } = &self;
            let (name, expected) = (response.name, response.expected);
            format!(
                "{name} ({expected:?}), {after:?}, pause {pause_ms} ms, HTTP/1.0 {http_1_0}: {fault}; {:?}",
                fixture.log.lines()
            )
        })
    }

    fn fault_of(&self, received: &Received) -> Option<String> {
        let expected = self.response.expected;
        let end = received.end;
        match received.verdict() {
            Verdict::NoResponse => Some(format!("no byte of a response, {end:?}")),
            // The server's reset may have come before the node read its response.
            Verdict::Incomplete if expected == Expected::Hello && self.after != After::Reset => {
                Some(format!("cut off, {end:?}"))
            }
            Verdict::Incomplete => None,
            Verdict::Complete { status: 200, body } => {
                let is_wrong = expected == Expected::Failure || body != b"hello";
                is_wrong.then(|| format!("{} bytes as a complete response", body.len()))
            }
            Verdict::Complete { status, .. }
                if expected == Expected::Hello && self.after != After::Reset =>
            {
                Some(format!("answered {status}"))
            }
            Verdict::Complete { .. } => None,
        }
    }
}

/// All raw responses.
fn responses() -> Vec<RawResponse> {
    use Expected::*;
    let long = "x".repeat(LONG_BODY);
    let many_fields =
        |count: usize| -> String { (0..count).map(|n| format!("X-F{n}: v\r\n")).collect() };
    let long_field = |length: usize| format!("X-Long: {}\r\n", "y".repeat(length));
    let ok = "HTTP/1.1 200 OK\r\n";
    let texts: Vec<(&'static str, String, Expected)> = vec![
        ("plain", format!("{ok}Content-Length: 5\r\n\r\nhello"), Hello),
        ("bare line feeds", "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello".to_owned(), Either),
        ("no reason", "HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nhello".to_owned(), Hello),
        ("no space after status", "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nhello".to_owned(), Either),
        ("HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello".to_owned(), Hello),
        ("HTTP/1.0 keep-alive", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nhello".to_owned(), Hello),
        ("connection: close", format!("{ok}Connection: close\r\nContent-Length: 5\r\n\r\nhello"), Hello),
        ("connection names fields", format!("{ok}Connection: x-a, content-length\r\nX-A: 1\r\nContent-Length: 5\r\n\r\nhello"), Hello),
        ("lower case", format!("{ok}content-length: 5\r\n\r\nhello"), Hello),
        ("blanks round the length", format!("{ok}Content-Length:    5   \r\n\r\nhello"), Hello),
        ("chunked", format!("{ok}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"), Hello),
        ("chunked in pieces", format!("{ok}Transfer-Encoding: chunked\r\n\r\n1\r\nh\r\n4;a=\"b\"\r\nello\r\n0\r\nX-T: 1\r\n\r\n"), Hello),
        ("chunked, upper case", format!("{ok}Transfer-Encoding: Chunked\r\n\r\n05\r\nhello\r\n000\r\n\r\n"), Hello),
        ("interim responses", format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n{ok}Content-Length: 5\r\n\r\nhello"), Hello),
        ("equal lengths twice", format!("{ok}Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello"), Either),
        ("64 fields", format!("{ok}{}Content-Length: 5\r\n\r\nhello", many_fields(63)), Hello),
        ("65 fields", format!("{ok}{}Content-Length: 5\r\n\r\nhello", many_fields(64)), Either),
        ("a field of 8 kB", format!("{ok}{}Content-Length: 5\r\n\r\nhello", long_field(8_000)), Hello),
        ("a field of 15 kB", format!("{ok}{}Content-Length: 5\r\n\r\nhello", long_field(15_000)), Either),
        ("a field of 40 kB", format!("{ok}{}Content-Length: 5\r\n\r\nhello", long_field(40_000)), Either),
        ("fields of the hop", format!("{ok}Keep-Alive: timeout=5\r\nTrailer: X-T\r\nUpgrade: h2c\r\nContent-Length: 5\r\n\r\nhello"), Hello),
        ("a date of its own", format!("{ok}Date: Thu, 01 Jan 1970 00:00:00 GMT\r\nServer: a\r\nContent-Length: 5\r\n\r\nhello"), Hello),
        ("more than its length", format!("{ok}Content-Length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"), Hello),
        ("spare bytes", format!("{ok}Content-Length: 5\r\n\r\nhello-spare"), Hello),
        ("chunked with spare bytes", format!("{ok}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n-spare"), Hello),
        // Forms that nobody may take for complete ones.
        ("nothing", String::new(), Failure),
        ("half a status line", "HTTP/1.1 2".to_owned(), Failure),
        ("half a head", format!("{ok}Content-Le"), Failure),
        ("no HTTP", "hello\r\n\r\n".to_owned(), Failure),
        ("bad version", "HTTP/7.1 200 OK\r\nContent-Length: 5\r\n\r\nhello".to_owned(), Failure),
        ("bad status", "HTTP/1.1 2x0 OK\r\nContent-Length: 5\r\n\r\nhello".to_owned(), Failure),
        ("status 204", "HTTP/1.1 204 No Content\r\n\r\n".to_owned(), Failure),
        ("status 304", "HTTP/1.1 304 Not Modified\r\n\r\n".to_owned(), Failure),
        ("status 101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n".to_owned(), Failure),
        ("status 500 with a long body", format!("HTTP/1.1 500 Oops\r\nContent-Length: {LONG_BODY}\r\n\r\n{long}"), Failure),
        ("different lengths", format!("{ok}Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello"), Failure),
        ("length is no number", format!("{ok}Content-Length: five\r\n\r\nhello"), Failure),
        ("negative length", format!("{ok}Content-Length: -5\r\n\r\nhello"), Failure),
        ("length beyond 64 bits", format!("{ok}Content-Length: 99999999999999999999999\r\n\r\nhello"), Failure),
        ("the longest length", format!("{ok}Content-Length: 18446744073709551615\r\n\r\nhello"), Failure),
        ("too long a length", format!("{ok}Content-Length: 70000\r\n\r\nhello"), Failure),
        ("one byte too few", format!("{ok}Content-Length: 6\r\n\r\nhello"), Failure),
        ("long, one byte too few", format!("{ok}Content-Length: {}\r\n\r\n{long}", LONG_BODY + 1), Failure),
        ("two framings", format!("{ok}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"), Either),
        ("unknown coding", format!("{ok}Transfer-Encoding: gzip\r\n\r\nhello"), Failure),
        ("chunked is not last", format!("{ok}Transfer-Encoding: chunked, gzip\r\n\r\n5\r\nhello\r\n0\r\n\r\n"), Failure),
        ("chunk size is no number", format!("{ok}Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n"), Failure),
        ("chunk beyond 64 bits", format!("{ok}Transfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFFF\r\nhello"), Failure),
        ("huge chunk", format!("{ok}Transfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFF0\r\nhello"), Failure),
        ("chunk ends wrongly", format!("{ok}Transfer-Encoding: chunked\r\n\r\n5\r\nhelloXX0\r\n\r\n"), Failure),
        ("no last chunk", format!("{ok}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"), Failure),
        ("last chunk without its end", format!("{ok}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"), Failure),
        ("long, chunk size is no number", format!("{ok}Transfer-Encoding: chunked\r\n\r\n{LONG_BODY:x}\r\n{long}\r\nzz\r\n"), Failure),
        ("long, no last chunk", format!("{ok}Transfer-Encoding: chunked\r\n\r\n{LONG_BODY:x}\r\n{long}\r\n"), Failure),
        ("long in many chunks, none the last", format!("{ok}Transfer-Encoding: chunked\r\n\r\n{}", format!("64\r\n{}\r\n", "z".repeat(100)).repeat(900)), Failure),
        ("long trailers", format!("{ok}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n{}\r\n", long_field(40_000)), Either),
        ("a field name with a blank", format!("{ok}X A: 1\r\nContent-Length: 5\r\n\r\nhello"), Either),
        ("a folded field", format!("{ok}X-A: 1\r\n  2\r\nContent-Length: 5\r\n\r\nhello"), Either),
        ("a control byte in a field", format!("{ok}X-A: a\u{1}b\r\nContent-Length: 5\r\n\r\nhello"), Either),
        ("a letter beyond ASCII in a field", format!("{ok}X-A: ñ\r\nContent-Length: 5\r\n\r\nhello"), Either),
    ];
    let raw = texts.into_iter();
    raw.map(|(name, text, expected)| RawResponse {
        name,
        bytes: text.into_bytes(),
        expected,
    })
    .collect()
}

/// Plays of all responses with each end, pause and version of the client; a run of all tests leaves out most pauses and
/// clients.
fn plays(is_whole: bool) -> Vec<Play> {
    let pauses: &[u64] = if is_whole { &[0, 5, 80] } else { &[0] };
    let versions: &[bool] = if is_whole { &[false, true] } else { &[false] };
    let mut plays = Vec::new();
    for response in responses() {
        for after in [After::Close, After::Reset, After::StayOpen] {
            for &pause_ms in pauses {
                plays.extend(versions.iter().map(|&http_1_0| Play {
                    response: response.clone(),
                    after,
                    pause_ms,
                    http_1_0,
                }));
            }
        }
    }
    plays
}

// Guards against a malformed response that takes the client's answer along or is passed on as a whole one, and against a
// well-formed one that is cut off.
#[test]
fn responses_in_all_forms_are_passed_on_or_visibly_fail() {
    let plays = plays(std::env::var("MALFORMED_RESPONSE_SWEEP").is_ok());
    let faults = faults_of_plays(&plays, PARALLEL_PLAYS, Play::run);
    assert!(faults.is_empty(), "{faults:#?}");
}
