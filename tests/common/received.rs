//! What a client has received when its connection ends, judged as the client can judge it.

use std::io::{BufReader, ErrorKind, Read};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use super::http::Message;

/// How long a reset may come behind the close of a connection.
const RESET_DELAY: Duration = Duration::from_millis(40);

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionEnd {
    /// By a close, after all that was written to the connection had been read.
    Closed,
    /// By a close over unread bytes, or one that crossed them: a reset came behind it.
    ClosedOverUnread,
    /// By a reset.
    Reset,
    /// Not within the time of the test.
    None,
}

/// All that came on a connection.
#[derive(Debug)]
pub struct Received {
    pub bytes: Vec<u8>,
    pub end: ConnectionEnd,
}

/// What a client can tell of the response to its request.
#[derive(Debug, PartialEq)]
pub enum Verdict {
    /// Nothing of a response has come.
    NoResponse,
    /// The response is not complete, and the client can tell.
    Incomplete,
    /// The response is complete by its framing.
    Complete { status: u16, body: Vec<u8> },
}

/// What a close was, by whether a reset comes behind it.
pub fn kind_of_close(stream: &TcpStream) -> ConnectionEnd {
    thread::sleep(RESET_DELAY);
    match stream.take_error() {
        Ok(None) => ConnectionEnd::Closed,
        _ => ConnectionEnd::ClosedOverUnread,
    }
}

impl Received {
    /// Reads until the connection ends, or until its read timeout.
    pub fn until_end(stream: &mut TcpStream) -> Received {
        Received::until(stream, |_| false)
    }

    /// Reads one response: until it is complete by its framing, or until the connection ends.
    pub fn until_complete(stream: &mut TcpStream) -> Received {
        Received::until(stream, |received| {
            matches!(received.verdict(), Verdict::Complete { .. })
        })
    }

    fn until(stream: &mut TcpStream, is_enough: impl Fn(&Received) -> bool) -> Received {
        let mut received = Received {
            bytes: Vec::new(),
            end: ConnectionEnd::None,
        };
        let mut part = vec![0; 65_536];
        loop {
            match stream.read(&mut part) {
                Ok(0) => received.end = kind_of_close(stream),
                Ok(length) => {
                    received.bytes.extend_from_slice(&part[..length]);
                    if is_enough(&received) {
                        return received;
                    }
                    continue;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => received.end = ConnectionEnd::Reset,
            }
            return received;
        }
    }

    fn has_closed(&self) -> bool {
        matches!(
            self.end,
            ConnectionEnd::Closed | ConnectionEnd::ClosedOverUnread
        )
    }

    /// Judges the bytes as the response to one request.
    pub fn verdict(&self) -> Verdict {
        if self.bytes.is_empty() {
            return Verdict::NoResponse;
        }
        let head_end = self.bytes.windows(4).position(|part| part == b"\r\n\r\n");
        let Some(head_end) = head_end else {
            return Verdict::Incomplete;
        };
        let head = String::from_utf8_lossy(&self.bytes[..head_end]).to_lowercase();
        let has_framing =
            head.contains("\r\ncontent-length:") || head.contains("\r\ntransfer-encoding:");
        let message = Message::read(&mut BufReader::new(&self.bytes[..]));
        match message {
            // Only the end of the connection ends such a body, and a reset is no end.
            Some(_) if !has_framing && !self.has_closed() => Verdict::Incomplete,
            Some(message) if !has_framing => Verdict::Complete {
                status: message.status(),
                body: self.bytes[head_end + 4..].to_vec(),
            },
            Some(message) => Verdict::Complete {
                status: message.status(),
                body: message.body,
            },
            None => Verdict::Incomplete,
        }
    }
}
