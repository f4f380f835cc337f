//! Splits the body of a watch into its items: JSON values and the empty lines between them.

use bytes::{Bytes, BytesMut};

use super::endpoint_list::EndpointListError;

/// Values of at least this many bytes are returned in the splitter's own buffer, which is replaced.
const LARGE_VALUE_BYTES: usize = 64 << 10;

/// An item in the body of a watch.
#[derive(Debug, PartialEq)]
pub enum WatchItem {
    /// An empty line, sent as a heartbeat.
    Heartbeat,
    /// The text of a JSON object or array, on one line or several.
    Value(BytesMut),
}

/// Collects the chunks of a body and splits them into items. A value may span any number of chunks and lines.
pub struct JsonSplitter {
    /// The bytes that belong to no returned item yet.
    buffer: BytesMut,
    /// Longest value that is accepted, in bytes.
    max_value_bytes: usize,
    /// The scan position: the number of bytes of the buffer that were scanned.
    scanned: usize,
    /// Open braces and brackets at the scan position.
    depth: usize,
    /// Whether the scan position is inside a string.
    in_string: bool,
    /// Whether the next byte of the string is escaped.
    escaped: bool,
}

impl JsonSplitter {
    /// An empty splitter that accepts values of up to `max_value_bytes`.
    pub fn new(max_value_bytes: usize) -> JsonSplitter {
        JsonSplitter {
            buffer: BytesMut::new(),
            max_value_bytes,
            scanned: 0,
            depth: 0,
            in_string: false,
            escaped: false,
        }
    }

    /// Appends a chunk of the body.
    pub fn push(&mut self, chunk: &Bytes) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Returns the next complete item; `None` if more chunks are needed.
    ///
    /// # Errors
    ///
    /// The text is not a JSON object or array, or is longer than accepted.
    pub fn next_item(&mut self) -> Result<Option<WatchItem>, EndpointListError> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            self.scanned += 1;
            if self.in_string {
                self.scan_string(byte);
                continue;
            }
            match byte {
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' if self.depth > 0 => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        return Ok(Some(WatchItem::Value(self.take_scanned())));
                    }
                }
                b'"' if self.depth > 0 => self.in_string = true,
                b'\n' if self.depth == 0 => {
                    self.take_scanned();
                    return Ok(Some(WatchItem::Heartbeat));
                }
                _ if self.depth > 0 || byte.is_ascii_whitespace() => {}
                _ => return Err(EndpointListError::not_an_object(self.buffer.len())),
            }
        }
        if self.buffer.len() > self.max_value_bytes {
            return Err(EndpointListError::TooLong {
                max_bytes: self.max_value_bytes,
            });
        }
        Ok(None)
    }

    fn scan_string(&mut self, byte: u8) {
        self.in_string = self.escaped || byte != b'"';
        self.escaped = !self.escaped && byte == b'\\';
    }

    fn take_scanned(&mut self) -> BytesMut {
        let end = std::mem::take(&mut self.scanned);
        if end < LARGE_VALUE_BYTES {
            return self.buffer.split_to(end);
        }
        // `split_to` would keep the large allocation in use for as long as the watch is open.
        let rest = BytesMut::from(&self.buffer[end..]);
        let mut value = std::mem::replace(&mut self.buffer, rest);
        value.truncate(end);
        value
    }
}

#[cfg(test)]
mod tests;
