//! A client's connection: its state and its socket.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};

use self::request_input::RequestInput;
use crate::connection_memory::{ConnectionMemory, SHORT_INPUT_BYTES};
use crate::memory_budget::MemoryReservation;
use crate::metrics::{CloseReason, Metrics};
use crate::socket_read;
use crate::write_stall::{is_stalled, StallGuard};

mod request_input;

/// A client must have sent the head of its first request within this time of connecting: one that sends no
/// complete request must get an error or a close within 3 s.
pub const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// When all permits are taken, a connection without any request may be closed after this time: clients send
/// their first request at once.
const MIN_SILENT_TIME: Duration = Duration::from_millis(100);
/// When all permits are taken, a connection that has sent requests may be closed once it has been idle for
/// this long. The platform requires that much.
const MIN_IDLE_TIME: Duration = Duration::from_secs(2);

/// The state of a client's connection.
pub struct ConnectionState {
    opened: Instant,
    request_received: Cell<bool>,
    response_sent: Cell<bool>,
    /// Since when no request has been pending; `None` while one is.
    idle_since: Cell<Option<Instant>>,
    /// Number of bytes read from the socket.
    read_bytes: Cell<u64>,
    /// Whether anything was read from the socket since the last request.
    has_read: Cell<bool>,
    /// The requests that are being received.
    input: RefCell<RequestInput>,
    /// Whether a response broke after its first bytes were sent: the connection is reset, so that the client
    /// can tell.
    response_broken: Cell<bool>,
    /// Bytes read since the last response.
    input_bytes: Cell<u64>,
    /// The memory of connections and requests.
    memory: Rc<ConnectionMemory>,
    /// What the read buffer takes beyond a short request, once it has grown.
    long_input: RefCell<Option<MemoryReservation>>,
    /// What responses take until the client has taken them.
    unflushed: RefCell<Vec<MemoryReservation>>,
    /// Whether a part of a response was handed over and has not been taken by the socket.
    has_unflushed_part: Cell<bool>,
    /// Wakes the response that waits until its last part was taken.
    flush_waker: RefCell<Option<Waker>>,
    /// Bytes of the current response that the socket has taken.
    response_bytes: Cell<u64>,
    /// Why the connection has ended; `None` while it is open.
    close_reason: Cell<Option<CloseReason>>,
    /// Notified when the connection is to close because its room is needed.
    pub close_requested: Notify,
}

impl ConnectionState {
    pub fn new(memory: Rc<ConnectionMemory>) -> Self {
        let now = Instant::now();
        ConnectionState {
            opened: now,
            request_received: Cell::new(false),
            response_sent: Cell::new(false),
            idle_since: Cell::new(Some(now)),
            read_bytes: Cell::new(0),
            has_read: Cell::new(false),
            input: RefCell::default(),
            response_broken: Cell::new(false),
            input_bytes: Cell::new(0),
            memory,
            long_input: RefCell::default(),
            unflushed: RefCell::default(),
            has_unflushed_part: Cell::new(false),
            flush_waker: RefCell::default(),
            response_bytes: Cell::new(0),
            close_reason: Cell::new(None),
            close_requested: Notify::new(),
        }
    }

    /// The head of a request has been received; its body may still be arriving.
    pub fn request_started(&self) {
        self.request_received.set(true);
        self.idle_since.set(None);
        self.response_bytes.set(0);
    }

    /// Bytes of the current response that the socket has taken.
    pub fn response_bytes(&self) -> u64 {
        self.response_bytes.get()
    }

    /// The connection has ended.
    pub fn closed(&self, reason: CloseReason) {
        self.close_reason.set(Some(reason));
    }

    /// Why the connection has ended; `None` while it is open.
    pub fn close_reason(&self) -> Option<CloseReason> {
        self.close_reason.get()
    }

    pub fn has_sent_request(&self) -> bool {
        self.request_received.get()
    }

    /// Waits until the client closes the connection while a request is pending. The HTTP library notices that
    /// only after it has read everything before the close; the operating system reports it even if
    /// pipelined bytes are still unread.
    pub async fn client_closed(&self, socket: &TcpStream) {
        // No urgent data is expected: each interest also reports that the client has closed its side.
        let _ = socket.ready(Interest::PRIORITY).await;
        // Needs no waker: the connection's task polls this again whenever something has arrived. Without a
        // pending request, the HTTP library reads up to the close itself.
        std::future::poll_fn(|_| match self.idle_since.get() {
            None => Poll::Ready(()),
            Some(_) => Poll::Pending,
        })
        .await;
    }

    /// Lets other tasks run before a request that was read together with an earlier one. A client that sends many at
    /// once would keep others waiting: the HTTP library goes from one to the next.
    pub async fn take_turn(&self) {
        if !self.has_read.replace(false) {
            yield_now().await;
        }
    }

    /// Records what has been read from the socket.
    fn record_read(&self, received: &[u8]) {
        self.has_read.set(true);
        self.read_bytes
            .set(self.read_bytes.get() + received.len() as u64);
        self.input_bytes
            .set(self.input_bytes.get() + received.len() as u64);
        self.input.borrow_mut().record(received);
        self.reserve_input();
    }

    /// Reserves memory for a read buffer that has grown. It never shrinks, so the memory is kept. Without any, the buffer
    /// still grows, and other connections are closed.
    fn reserve_input(&self) {
        let mut long_input = self.long_input.borrow_mut();
        if self.input_bytes.get() > SHORT_INPUT_BYTES && long_input.is_none() {
            *long_input = self.memory.reserve_long_input();
        }
    }

    /// Holds the memory of a response until the client has taken all of it.
    pub fn hold_until_flushed(&self, memory: MemoryReservation) {
        self.unflushed.borrow_mut().push(memory);
    }

    /// Waits until the socket has taken the part that was handed over last.
    pub fn poll_part_taken(&self, cx: &mut Context<'_>) -> Poll<()> {
        if !self.has_unflushed_part.get() {
            return Poll::Ready(());
        }
        self.flush_waker.replace(Some(cx.waker().clone()));
        Poll::Pending
    }

    /// A part of a response is handed over.
    pub fn part_handed_over(&self) {
        self.has_unflushed_part.set(true);
    }

    /// All that was written has been taken by the socket.
    fn flushed(&self) {
        self.has_unflushed_part.set(false);
        if let Some(waker) = self.flush_waker.take() {
            waker.wake();
        }
        if self.idle_since.get().is_some() {
            self.unflushed.take();
        }
    }

    /// The pending request has been answered.
    pub fn request_answered(&self) {
        self.response_sent.set(true);
        self.idle_since.set(Some(Instant::now()));
        self.input.borrow_mut().answered();
        self.input_bytes.set(0);
    }

    /// A response broke after its first bytes were sent: the connection will be reset.
    pub fn mark_response_broken(&self) {
        self.response_broken.set(true);
    }

    /// Since when no request has been pending; `None` while one is.
    pub fn idle_since(&self) -> Option<Instant> {
        self.idle_since.get()
    }

    /// Number of bytes read from the socket.
    pub fn read_bytes(&self) -> u64 {
        self.read_bytes.get()
    }

    /// Whether a part of the next request has been received, and none is pending.
    pub fn is_sending_head(&self) -> bool {
        self.idle_since.get().is_some() && self.input.borrow().has_beyond(0)
    }

    /// Whether no request is pending and nothing of a next one has been received.
    pub fn is_at_rest(&self) -> bool {
        self.idle_since.get().is_some() && !self.input.borrow().has_beyond(0)
    }

    /// Whether the connection may end with the response to the pending request: a request that was read behind it would
    /// get none. Where the request has two framings, nobody knows what comes behind it.
    pub fn may_end_now(&self) -> bool {
        let input = self.input.borrow();
        input.has_two_framings() || !input.has_beyond(1)
    }

    /// Whether the request has both a `Content-Length` and a `Transfer-Encoding`: a server might go by the header
    /// that this node ignores (request smuggling).
    pub fn has_conflicting_framing(&self) -> bool {
        self.input.borrow().has_two_framings()
    }

    /// Since when the node waits for the body of the current request: for the first request since the connection
    /// was opened, for a later one from now on.
    pub fn waiting_since(&self) -> Instant {
        if self.response_sent.get() {
            Instant::now()
        } else {
            self.opened
        }
    }

    /// Whether the connection may be closed to free its permit.
    pub fn may_be_closed(&self) -> bool {
        let min_idle_time = if self.request_received.get() {
            MIN_IDLE_TIME
        } else {
            MIN_SILENT_TIME
        };
        let is_sending_next_request = self.request_received.get() && self.is_sending_head();
        !is_sending_next_request
            && self
                .idle_since
                .get()
                .is_some_and(|since| since.elapsed() >= min_idle_time)
    }

    /// Waits until no request has been pending for this long.
    pub async fn idle_for(&self, limit: Duration) {
        loop {
            // While a request is pending, the time begins with its end at the earliest.
            let since = self.idle_since.get().unwrap_or_else(Instant::now);
            if since.elapsed() >= limit {
                return;
            }
            sleep_until(since + limit).await;
        }
    }

    /// Waits until the time for the first request is over; never returns if a request has been received.
    pub async fn first_request_timed_out(&self) {
        sleep_until(self.opened + FIRST_REQUEST_TIMEOUT).await;
        if self.request_received.get() {
            std::future::pending().await
        }
    }
}

/// A client's socket. Writing fails if the client has stopped reading its response (see [`StallGuard`]).
pub struct ClientSocket {
    socket: Rc<TcpStream>,
    client_connection: Rc<ConnectionState>,
    stall_guard: StallGuard,
    metrics: Rc<Metrics>,
}

impl ClientSocket {
    pub fn new(
        socket: Rc<TcpStream>,
        client_connection: Rc<ConnectionState>,
        metrics: Rc<Metrics>,
    ) -> Self {
        ClientSocket {
            socket,
            client_connection,
            stall_guard: StallGuard::new(),
            metrics,
        }
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(socket_read::poll_read(&self.socket, cx, buffer))?;
        let received = &buffer.filled()[before..];
        self.client_connection.record_read(received);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(data)])
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let ClientSocket {
            socket,
            stall_guard,
            metrics,
            ..
        } = &mut *self;
        let written = ready!(stall_guard.poll_write(cx, socket, data));
        if is_stalled(&written) {
            metrics.clients_stalled.increment();
        }
        if let Ok(bytes) = written {
            let response_bytes = &self.client_connection.response_bytes;
            response_bytes.set(response_bytes.get() + bytes as u64);
        }
        Poll::Ready(written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// The HTTP library flushes once it has written all that it holds.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.client_connection.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.client_connection.response_broken.get() {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(SockRef::from(&*self.socket).shutdown(Shutdown::Write))
    }
}

impl Drop for ClientSocket {
    /// Resets the connection after a broken response: where the end of the connection marks the end of the
    /// response, a client recognizes a broken one by the reset only.
    fn drop(&mut self) {
        if self.client_connection.response_broken.get() {
            let _ = self.socket.set_zero_linger();
        }
    }
}

#[cfg(test)]
mod tests;
