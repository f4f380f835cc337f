//! HTTP messages that the tests write and parse themselves, without an HTTP library.

use std::collections::HashMap;
use std::fmt::Display;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Upper bound of every wait in the tests, far above the expected time.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The readiness check of a node, on a connection that stays open.
pub const READY_REQUEST: &[u8] = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";

/// Response head for a body with chunked transfer encoding.
pub const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or status line, with its line end.
    pub first_line: String,
    /// Header values by lower-case name.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a complete message. Returns `None` if the connection ends or fails before that.
    pub fn read(input: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::default();
        input
            .read_line(&mut message.first_line)
            .ok()
            .filter(|&n| n > 0)?;
        loop {
            let mut line = String::new();
            input.read_line(&mut line).ok().filter(|&n| n > 0)?;
            let Some((name, value)) = line.trim_end().split_once(": ") else {
                break;
            };
            message
                .headers
                .insert(name.to_lowercase(), value.to_owned());
        }
        if message.header("transfer-encoding") == "chunked" {
            message.body = read_chunks(input)?;
        } else {
            let length = message.header("content-length").parse().unwrap_or(0);
            message.body = vec![0; length];
            input.read_exact(&mut message.body).ok()?;
        }
        Some(message)
    }

    /// Returns the value of a header, or an empty string if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the status code of a response, or 0 if the status line has none.
    pub fn status(&self) -> u16 {
        self.first_line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads a chunked body. Returns `None` if the connection ends before the last chunk.
pub fn read_chunks(input: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
        let start = body.len();
        body.resize(start + size, 0);
        input.read_exact(&mut body[start..]).ok()?;
        line.clear();
        if size > 0 {
            input.read_line(&mut line).ok()?;
            continue;
        }
        // Skips the trailers up to the empty line.
        while input.read_line(&mut line).ok()? > 2 {
            line.clear();
        }
        return Some(body);
    }
}

/// Length of a body that the node forwards in pieces.
pub const LONG_BODY_BYTES: usize = 3 << 20;

pub fn long_body() -> Vec<u8> {
    body_of(LONG_BODY_BYTES)
}

/// Returns a body of this length, in which a missing or moved part shows.
pub fn body_of(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n % 251) as u8).collect()
}

/// Writes a body in chunks of an uneven size, with a chunk extension and a trailer.
pub fn write_chunks(output: &mut impl Write, body: &[u8]) -> std::io::Result<()> {
    for part in body.chunks(33_333) {
        write!(output, "{:X};name=value\r\n", part.len())?;
        output.write_all(part)?;
        output.write_all(b"\r\n")?;
    }
    output.write_all(b"0\r\nX-Sum: 7\r\n\r\n")
}

/// Returns a text as one chunk of a chunked body.
pub fn framed(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Writes a text as one chunk of a chunked body.
pub fn write_chunk(stream: &mut TcpStream, text: &str) {
    stream.write_all(framed(text).as_bytes()).unwrap();
}

/// Returns a response with status 200 and this body.
pub fn ok_response(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a request of this class. `look` is a GET without a body, `pay` and `put` are POSTs with the body `hello`,
/// and `put` carries an idempotency key.
pub fn request(class: &str, id: &str, remaining_ms: u64) -> Vec<u8> {
    let method = if class == "look" { "GET" } else { "POST" };
    let keyed = if class == "put" {
        "Idempotency-Key: 77\r\n"
    } else {
        ""
    };
    let body = if class == "look" {
        ""
    } else {
        "Content-Length: 5\r\n\r\nhello"
    };
    let end = if body.is_empty() { "\r\n" } else { body };
    format!(
        "{method} /api?key=7f3a&x=1 HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {id}\r\nX-Lane: {class}\r\n\
        X-Org: acme\r\nX-Remaining-Ms: {remaining_ms}\r\n{keyed}{end}"
    )
    .into_bytes()
}

/// Returns an id that no other request of the test process has: clients give each request, a retry too, a new one.
pub fn new_id() -> String {
    static NEXT_ID: AtomicU64 = AtomicU64::new(0);
    format!("new-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// Returns the same request as [`request`], in HTTP/1.0.
pub fn request_http_1_0(class: &str, id: &str, remaining_ms: u64) -> Vec<u8> {
    String::from_utf8(request(class, id, remaining_ms))
        .unwrap()
        .replace("HTTP/1.1", "HTTP/1.0")
        .into_bytes()
}

/// Returns the same request as [`request`], with this routing key.
pub fn request_with_key(class: &str, id: &str, remaining_ms: u64, key: impl Display) -> Vec<u8> {
    String::from_utf8(request(class, id, remaining_ms))
        .unwrap()
        .replace("key=7f3a", &format!("key={key}"))
        .into_bytes()
}

/// Makes a call, such as `GET /status`, to the admin listener at this address. Returns the response.
pub fn admin_call(admin_addr: &str, call: &str) -> Message {
    let text = format!("{call} HTTP/1.1\r\nHost: operator\r\n\r\n");
    exchange_with(admin_addr.parse().unwrap(), text.as_bytes()).expect("no response")
}

/// Opens a connection whose reads time out after [`TEST_TIMEOUT`].
pub fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

/// Sends a request on a new connection. Returns the response, or `None` if no complete one arrives.
pub fn exchange_with(addr: SocketAddr, text: &[u8]) -> Option<Message> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(text).ok()?;
    Message::read(&mut BufReader::new(stream))
}

/// Returns the head of a POST of this class with additional header lines. The test sends the body itself.
pub fn post(class: &str, id: &str, remaining_ms: u64, lines: &str) -> Vec<u8> {
    format!(
        "POST /api?key=7f3a HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {id}\r\nX-Lane: {class}\r\n\
        X-Remaining-Ms: {remaining_ms}\r\n{lines}\r\n"
    )
    .into_bytes()
}

/// Reads one byte. Returns 0 at the end of the connection, and an error if the connection was reset or the read timed
/// out. An interrupted read (`EINTR`, for example after the whole machine was suspended) is repeated.
pub fn read_one_byte(input: &mut impl Read) -> std::io::Result<usize> {
    loop {
        match input.read(&mut [0; 1]) {
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
            read => return read,
        }
    }
}
