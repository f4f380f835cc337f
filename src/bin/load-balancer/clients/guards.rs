//! What a connection and a request hold until they end, however they end.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use super::Clients;
use crate::body::Upload;
use crate::client_liveness::ClientLiveness;
use crate::connection::ConnectionState;
use crate::event_loop::{ClientDisconnected, Message, RequestNumber};
use crate::memory_budget::MemoryReservation;
use crate::metrics::{CloseReason, RequestOutcome};
use crate::task::Permit;

/// What a client's connection takes of the process.
pub(super) struct ConnectionRoom {
    _permit: Permit,
    /// Its part of the sockets shared with servers; `None` for a connection that is only rejected.
    _socket: Option<Permit>,
    /// `None` for a connection that is only rejected.
    _memory: Option<MemoryReservation>,
}

impl ConnectionRoom {
    /// The room of a connection that is served.
    pub(super) fn served(permit: Permit, socket: Permit, memory: MemoryReservation) -> Self {
        ConnectionRoom {
            _permit: permit,
            _socket: Some(socket),
            _memory: Some(memory),
        }
    }

    /// The room of a connection that is only rejected.
    pub(super) fn rejected(permit: Permit) -> Self {
        ConnectionRoom {
            _permit: permit,
            _socket: None,
            _memory: None,
        }
    }
}

/// Counts an accepted connection and holds its room until it is dropped.
pub(super) struct ConnectionGuard {
    clients: Rc<Clients>,
    room: Option<ConnectionRoom>,
}

impl ConnectionGuard {
    pub(super) fn new(clients: &Rc<Clients>, room: ConnectionRoom) -> Self {
        clients
            .connection_count
            .set(clients.connection_count.get() + 1);
        ConnectionGuard {
            clients: clients.clone(),
            room: Some(room),
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.room = None;
        self.clients
            .connection_count
            .set(self.clients.connection_count.get() - 1);
        self.clients.connection_ended.notify_waiters();
    }
}

/// Which request it is.
pub(super) struct RequestIdentity {
    pub(super) number: RequestNumber,
    /// The id that the client gave the request, for the log.
    pub(super) client_id: Box<str>,
    /// The index of its class.
    pub(super) class: usize,
}

/// Counts a request until its response has been passed on to the client, and reports its end to the event
/// loop when dropped. The connection's future drops it if the client disconnects.
pub(super) struct RequestGuard {
    clients: Rc<Clients>,
    pub(super) request: RequestIdentity,
    /// The permit of a streamed request while its body is still being received.
    upload_permit: RefCell<Option<Permit>>,
    /// The body, if it is streamed; its rest is not passed on once the request has ended.
    upload: Option<Rc<Upload>>,
    /// Whether the request's end has been counted; otherwise its client disconnected.
    pub(super) ended: Cell<bool>,
    client_connection: Rc<ConnectionState>,
    /// Whether a response is being streamed to the client.
    is_streaming: Cell<bool>,
    /// Attempts of the request may be written to servers while this is held.
    _client_liveness: ClientLiveness,
}

impl RequestGuard {
    pub(super) fn new(
        clients: &Rc<Clients>,
        request: RequestIdentity,
        upload_permit: Option<Permit>,
        client_connection: &Rc<ConnectionState>,
        client_liveness: ClientLiveness,
        upload: Option<Rc<Upload>>,
    ) -> Self {
        clients
            .pending_requests
            .set(clients.pending_requests.get() + 1);
        clients
            .uploading_requests
            .set(clients.uploading_requests.get() + usize::from(upload_permit.is_some()));
        let clients = clients.clone();
        let (upload_permit, ended) = (RefCell::new(upload_permit), Cell::new(false));
        RequestGuard {
            clients,
            request,
            upload_permit,
            upload,
            ended,
            client_connection: client_connection.clone(),
            is_streaming: Cell::new(false),
            _client_liveness: client_liveness,
        }
    }

    /// A response is streamed to the client from now on.
    pub(super) fn streaming_begins(&self) {
        self.is_streaming.set(true);
    }

    /// A streamed response has ended. Logs one that broke off at its server.
    pub(super) fn streaming_ended(&self, outcome: RequestOutcome) {
        if outcome != RequestOutcome::Served {
            self.log_incomplete_response("broke off at its server");
        }
        self.end(outcome);
    }

    fn log_incomplete_response(&self, what: &str) {
        crate::log::request_line(format_args!(
            "request {} ({}): its response {what} when {} bytes of it were written",
            self.request.number.0,
            self.request.client_id,
            self.client_connection.response_bytes(),
        ));
    }

    pub(super) fn upload_ended(&self) {
        if self.upload_permit.take().is_some() {
            self.clients
                .uploading_requests
                .set(self.clients.uploading_requests.get() - 1);
        }
    }

    pub(super) fn end(&self, outcome: RequestOutcome) {
        self.ended.set(true);
        self.clients
            .metrics
            .request_ended(self.request.class, outcome);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let reason = self.client_connection.close_reason();
        if !self.ended.get() {
            self.clients.metrics.clients_disconnected.increment();
            if self.is_streaming.get() {
                let name = reason.map_or("process ends", CloseReason::name);
                let what = format!("was cut off by the end of its connection ({name})");
                self.log_incomplete_response(&what);
            }
        }
        self.upload_ended();
        if let Some(upload) = &self.upload {
            upload.abandon();
        }
        self.clients
            .pending_requests
            .set(self.clients.pending_requests.get() - 1);
        // The event loop ignores this message for a request that it has answered.
        let message = ClientDisconnected {
            number: self.request.number,
            reason,
        };
        let _ = self
            .clients
            .messages
            .send(Message::ClientDisconnected(message));
    }
}
