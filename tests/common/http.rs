//! Messages as the tests write and read them: byte by byte, with no library between.

use std::collections::HashMap;
use std::fmt::Display;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The longest that a test waits for anything; far longer than it takes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Asks a node whether it is ready.
pub const READY_REQUEST: &[u8] = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";

/// The head of an answer whose body follows in chunks.
pub const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A head and a body, read from a connection.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn read(input: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::default();
        input
            .read_line(&mut message.first)
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
            message.body = chunks(input)?;
        } else {
            let length = message.header("content-length").parse().unwrap_or(0);
            message.body = vec![0; length];
            input.read_exact(&mut message.body).ok()?;
        }
        Some(message)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// A chunked body; `None` if it ends before it should.
pub fn chunks(input: &mut impl BufRead) -> Option<Vec<u8>> {
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
        // Trailers, and the end.
        while input.read_line(&mut line).ok()? > 2 {
            line.clear();
        }
        return Some(body);
    }
}

/// The length of a body that the node passes on in pieces.
pub const LONG: usize = 3 << 20;

pub fn long_body() -> Vec<u8> {
    (0..LONG).map(|n| (n % 251) as u8).collect()
}

/// Writes a body in chunks cut at odd places, with an extension and a trailer.
pub fn write_chunks(output: &mut impl Write, body: &[u8]) -> std::io::Result<()> {
    for part in body.chunks(33_333) {
        write!(output, "{:X};name=value\r\n", part.len())?;
        output.write_all(part)?;
        output.write_all(b"\r\n")?;
    }
    output.write_all(b"0\r\nX-Sum: 7\r\n\r\n")
}

/// A text framed as one chunk.
pub fn framed(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub fn chunk(stream: &mut TcpStream, text: &str) {
    stream.write_all(framed(text).as_bytes()).unwrap();
}

/// An answer of status 200 with this body.
pub fn ok_response(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn request(class: &str, id: &str, left_ms: u64) -> Vec<u8> {
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
        X-Org: acme\r\nX-Remaining-Ms: {left_ms}\r\n{keyed}{end}"
    )
    .into_bytes()
}

/// Likewise, of a client that speaks HTTP/1.0.
pub fn request_http_1_0(class: &str, id: &str, left_ms: u64) -> Vec<u8> {
    String::from_utf8(request(class, id, left_ms))
        .unwrap()
        .replace("HTTP/1.1", "HTTP/1.0")
        .into_bytes()
}

/// Likewise, with a routing key of its own.
pub fn request_with_key(class: &str, id: &str, left_ms: u64, key: impl Display) -> Vec<u8> {
    String::from_utf8(request(class, id, left_ms))
        .unwrap()
        .replace("key=7f3a", &format!("key={key}"))
        .into_bytes()
}

/// An operator's call.
pub fn admin_call(operator: &str, what: &str) -> Message {
    let text = format!("{what} HTTP/1.1\r\nHost: operator\r\n\r\n");
    exchange_with(operator.parse().unwrap(), text.as_bytes()).expect("an answer")
}

/// A connection whose reads end after [`PATIENCE`].
pub fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

/// One request on a connection of its own; the answer, if there is a complete one.
pub fn exchange_with(addr: SocketAddr, text: &[u8]) -> Option<Message> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(text).ok()?;
    Message::read(&mut BufReader::new(stream))
}

/// A POST of this class with header lines of its own, its body left to the test.
pub fn post(class: &str, id: &str, left_ms: u64, lines: &str) -> Vec<u8> {
    format!(
        "POST /api?key=7f3a HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {id}\r\nX-Lane: {class}\r\n\
        X-Remaining-Ms: {left_ms}\r\n{lines}\r\n"
    )
    .into_bytes()
}

/// Reads a byte, or learns how the connection stands: 0 at its end. A wait that the system interrupts, as where the
/// whole machine is halted for a moment, goes on.
pub fn one_byte(input: &mut impl Read) -> std::io::Result<usize> {
    loop {
        match input.read(&mut [0; 1]) {
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
            read => return read,
        }
    }
}
