//! The memory of connections and of the requests on them, beside the bodies that are held.
//!
//! Each connection and each request has buffers of its own, which grow with what its peer sends and with what its peer
//! doesn't read. Their number is bounded by descriptors, which says nothing about memory. So each reserves the most that it
//! may take, before it takes it: a connection when it is accepted or opened, a request when its head has been read. What
//! finds no room is rejected.

use std::rc::Rc;

use hyper::header::HeaderMap;
use tokio::sync::Notify;

use crate::memory_budget::{MemoryBudget, MemoryReservation};

/// A client's connection without a request: its task, a read buffer and the buffer of a short head.
const CLIENT_CONNECTION_BYTES: usize = 18 * 1024;
/// What the read buffer of a client's connection grows by once more than [`SHORT_INPUT_BYTES`] are read for a request.
const LONG_INPUT_BYTES: usize = 12 * 1024;
/// Bytes of a request that the read buffer holds without growing.
pub const SHORT_INPUT_BYTES: u64 = 4 * 1024;
/// A connection to a server: its task and its buffers.
const SERVER_CONNECTION_BYTES: usize = 18 * 1024;
/// A request without its header fields: its tasks and its entries in the tables.
const REQUEST_BYTES: usize = 10 * 1024;
/// A header field beside its text, in the client's request and in the one for the server.
const HEADER_FIELD_BYTES: usize = 400;
/// Copies of a field's text: as it was read, and as it is written to a server.
const HEADER_TEXT_COPIES: usize = 2;
/// What is written of a long response to a client and not taken by it, and what has been read for it from a server. Without
/// this memory the response is passed on part by part.
const RESPONSE_BUFFER_BYTES: usize = 24 * 1024;
/// What is written to a server and not taken by it, of a body that is streamed.
const UPLOAD_BUFFER_BYTES: usize = 24 * 1024;
/// The part of the memory that clients' connections leave to requests, one part in this many.
const RESERVED_FOR_REQUESTS_DIVISOR: usize = 4;
/// The part of the memory that long input, uploads and long responses leave to short requests, one part in this many.
const RESERVED_FOR_SHORT_DIVISOR: usize = 8;

/// The memory for connections and requests.
pub struct ConnectionMemory {
    budget: Rc<MemoryBudget>,
    /// Notified when a connection needs more memory and finds none.
    shortage: Notify,
}

impl ConnectionMemory {
    /// Memory of `total` bytes.
    pub fn new(total: usize) -> Rc<Self> {
        Rc::new(ConnectionMemory {
            budget: MemoryBudget::new(total),
            shortage: Notify::new(),
        })
    }

    /// The memory that is reserved now, in bytes.
    pub fn used(&self) -> usize {
        self.budget.used()
    }

    /// Memory for a client's connection.
    pub fn reserve_client_connection(&self) -> Option<MemoryReservation> {
        let keep = self.budget.total() / RESERVED_FOR_REQUESTS_DIVISOR;
        self.budget.reserve(CLIENT_CONNECTION_BYTES, keep)
    }

    /// Memory for a client's connection that has sent more than [`SHORT_INPUT_BYTES`]. Without any, notifies
    /// [`ConnectionMemory::shortage`].
    pub fn reserve_long_input(&self) -> Option<MemoryReservation> {
        let reserved = self.budget.reserve(LONG_INPUT_BYTES, self.kept_for_short());
        if reserved.is_none() {
            self.shortage.notify_one();
        }
        reserved
    }

    /// Memory for a connection to a server.
    pub fn reserve_server_connection(&self) -> Option<MemoryReservation> {
        self.budget.reserve(SERVER_CONNECTION_BYTES, 0)
    }

    /// Memory for a request with these header fields, as long as it may be sent to servers. It leaves enough for a
    /// connection to a server.
    pub fn reserve_request(
        &self,
        headers: &HeaderMap,
        is_upload: bool,
    ) -> Option<MemoryReservation> {
        let texts: usize = headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        let fields = headers.len() * HEADER_FIELD_BYTES + texts * HEADER_TEXT_COPIES;
        let (upload, for_short) = match is_upload {
            true => (UPLOAD_BUFFER_BYTES, self.kept_for_short()),
            false => (0, 0),
        };
        let bytes = REQUEST_BYTES + fields + upload;
        self.budget
            .reserve(bytes, SERVER_CONNECTION_BYTES + for_short)
    }

    /// Memory for a long response, until its client has taken it.
    pub fn reserve_response(&self) -> Option<MemoryReservation> {
        self.budget
            .reserve(RESPONSE_BUFFER_BYTES, self.kept_for_short())
    }

    fn kept_for_short(&self) -> usize {
        self.budget.total() / RESERVED_FOR_SHORT_DIVISOR
    }

    /// Waits until a connection needs more memory and finds none.
    pub async fn shortage(&self) {
        self.shortage.notified().await;
    }
}

#[cfg(test)]
mod tests;
