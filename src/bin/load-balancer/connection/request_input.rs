//! What has been read of a client's requests, as far as the node has to know it: the HTTP library reads ahead and hides it.

use std::collections::VecDeque;

/// Bytes kept of each line of a head: enough for the names of the framing headers and for a length.
const MAX_LINE_PREFIX_BYTES: usize = 64;

/// Follows the requests on a connection, by their framing, while they are read.
///
/// Where a chunked body ends is not known here: what is read behind it counts as part of it until its request is answered.
#[derive(Default)]
pub struct RequestInput {
    /// The head that is being received.
    head: Head,
    body: Body,
    /// Of each request that has a complete head and no response, the oldest first: whether it has two framings.
    unanswered: VecDeque<bool>,
}

/// The body that is being received.
#[derive(Default)]
enum Body {
    /// None: a head comes next.
    #[default]
    None,
    /// This many bytes are still to come.
    Length(u64),
    /// One whose end is not known here.
    Unknown,
}

impl RequestInput {
    /// Records what has been read from the socket.
    pub fn record(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let taken = match self.body {
                Body::None => self.record_head(bytes),
                Body::Length(left) => self.record_body(left, bytes),
                Body::Unknown => return,
            };
            bytes = &bytes[taken..];
        }
    }

    /// Returns how many bytes belong to the head.
    fn record_head(&mut self, bytes: &[u8]) -> usize {
        let taken = self.head.scan(bytes);
        if self.head.complete {
            let head = std::mem::take(&mut self.head);
            self.unanswered.push_back(head.has_two_framings());
            self.body = head.body();
        }
        taken
    }

    /// Returns how many bytes belong to the body.
    fn record_body(&mut self, left: u64, bytes: &[u8]) -> usize {
        let taken = left.min(bytes.len() as u64);
        self.body = match left - taken {
            0 => Body::None,
            left => Body::Length(left),
        };
        taken as usize
    }

    /// The oldest request has been answered.
    pub fn answered(&mut self) {
        let was_recorded = self.unanswered.pop_front().is_some();
        // What is left of the body of the last request belongs to no later one.
        let is_in_its_body = self.unanswered.is_empty() && !matches!(self.body, Body::None);
        if !was_recorded || is_in_its_body {
            *self = RequestInput::default();
        }
    }

    /// Whether a part of a request has been read that no request before it accounts for; `pending` requests are being
    /// served.
    pub fn has_beyond(&self, pending: usize) -> bool {
        self.head.has_begun || self.unanswered.len() > pending
    }

    /// Whether the oldest request has both a `Content-Length` and a `Transfer-Encoding`.
    pub fn has_two_framings(&self) -> bool {
        self.unanswered.front() == Some(&true)
    }
}

/// Searches a request's head for its framing headers while it is being received: the HTTP library follows one
/// of them and hides the other.
#[derive(Default)]
struct Head {
    /// Whether any byte has been received, beside empty lines.
    has_begun: bool,
    request_line_received: bool,
    /// Whether the whole head has been received.
    complete: bool,
    /// The start of the current line, in lower case.
    line_prefix: Vec<u8>,
    has_content_length: bool,
    has_transfer_encoding: bool,
    /// The value of `Content-Length`, if it is a number.
    content_length: Option<u64>,
}

impl Head {
    /// Returns how many of the bytes belong to the head.
    fn scan(&mut self, bytes: &[u8]) -> usize {
        for (index, &byte) in bytes.iter().enumerate() {
            self.has_begun |= !matches!(byte, b'\r' | b'\n');
            match byte {
                b'\n' => self.line_ended(),
                b'\r' => {}
                _ if self.line_prefix.len() < MAX_LINE_PREFIX_BYTES => {
                    self.line_prefix.push(byte.to_ascii_lowercase())
                }
                _ => {}
            }
            if self.complete {
                return index + 1;
            }
        }
        bytes.len()
    }

    fn line_ended(&mut self) {
        if let Some(value) = self.line_prefix.strip_prefix(b"content-length:") {
            self.has_content_length = true;
            let value = std::str::from_utf8(value).unwrap_or_default();
            self.content_length = value.trim().parse().ok();
        }
        self.has_transfer_encoding |= self.line_prefix.starts_with(b"transfer-encoding:");
        // Empty lines before the request line are skipped.
        self.complete = self.line_prefix.is_empty() && self.request_line_received;
        self.request_line_received |= !self.line_prefix.is_empty();
        self.line_prefix.clear();
    }

    fn has_two_framings(&self) -> bool {
        self.has_content_length && self.has_transfer_encoding
    }

    /// The body that comes behind this head.
    fn body(&self) -> Body {
        match (self.has_content_length, self.content_length) {
            _ if self.has_transfer_encoding => Body::Unknown,
            (false, _) | (true, Some(0)) => Body::None,
            (true, Some(length)) => Body::Length(length),
            (true, None) => Body::Unknown,
        }
    }
}
