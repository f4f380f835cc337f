//! A client's connection: what it has done, and its socket.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, Instant, Sleep};

use crate::body::STALL_TIMEOUT;

/// A peer must have sent the head of its first request this long after it connected: one that sends
/// nothing whole is owed an error or a close within 3 s.
pub const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Where all places are taken, one that has sent no request for so long makes room, as clients
/// send at once, and then one that has had no request open for as long as the platform asks.
const QUIET: Duration = Duration::from_millis(100);
const IDLE: Duration = Duration::from_secs(2);
/// As much of a line as it takes to know the fields looked for.
const LINE: usize = 24;

/// What a client's connection has done.
pub struct ConnectionState {
    opened: Instant,
    /// A request has come on it.
    asked: Cell<bool>,
    /// One of its requests has had its answer.
    answered: Cell<bool>,
    /// Since when no request has been open on it; `None` while one is.
    idle_since: Cell<Option<Instant>>,
    /// The head that comes.
    head: RefCell<Head>,
    /// An answer broke after it had begun: the client must be able to tell.
    response_broken: Cell<bool>,
    /// Told when its place is wanted.
    pub leave: Notify,
}

impl ConnectionState {
    pub fn new() -> Self {
        let now = Instant::now();
        ConnectionState {
            opened: now,
            asked: Cell::new(false),
            answered: Cell::new(false),
            idle_since: Cell::new(Some(now)),
            head: RefCell::default(),
            response_broken: Cell::new(false),
            leave: Notify::new(),
        }
    }

    /// A request has come, its body perhaps not yet.
    pub fn request_started(&self) {
        self.asked.set(true);
        self.idle_since.set(None);
    }

    pub fn has_sent_request(&self) -> bool {
        self.asked.get()
    }

    /// Ends once the client has left a request of its own. The library sees that only where nothing unread
    /// is left before the end; the system tells it of any connection, whatever was written ahead.
    pub async fn client_closed(&self, socket: &TcpStream) {
        // Never asked for but for the end of the client's sending, which comes with every interest.
        let _ = socket.ready(Interest::PRIORITY).await;
        // The connection's own task asks again whenever something has come. Where no request is open, the
        // library reads what there is, to the end.
        std::future::poll_fn(|_| match self.idle_since.get() {
            None => Poll::Ready(()),
            Some(_) => Poll::Pending,
        })
        .await;
    }

    /// The request has its answer.
    pub fn request_answered(&self) {
        self.answered.set(true);
        self.idle_since.set(Some(Instant::now()));
        self.head.take();
    }

    /// Its answer broke: the connection is to end with a reset.
    pub fn mark_response_broken(&self) {
        self.response_broken.set(true);
    }

    pub fn idle_since(&self) -> Option<Instant> {
        self.idle_since.get()
    }

    /// Part of a head has come.
    pub fn is_sending_head(&self) -> bool {
        self.idle_since.get().is_some() && self.head.borrow().begun
    }

    /// The request says twice, in two ways, where it ends: a server might go by the other one.
    pub fn has_two_framings(&self) -> bool {
        let head = self.head.borrow();
        head.length && head.encoding
    }

    /// Since when the client is waited for: the first request, from the connection on.
    pub fn waiting_since(&self) -> Instant {
        if self.answered.get() {
            Instant::now()
        } else {
            self.opened
        }
    }

    /// Whether its place may be had for another.
    pub fn may_be_closed(&self) -> bool {
        let least = if self.asked.get() { IDLE } else { QUIET };
        let asks_again = self.asked.get() && self.is_sending_head();
        !asks_again
            && self
                .idle_since
                .get()
                .is_some_and(|since| since.elapsed() >= least)
    }

    /// Ends once the first request has been owed for too long.
    pub async fn first_request_timed_out(&self) {
        sleep_until(self.opened + FIRST_REQUEST_TIMEOUT).await;
        if self.asked.get() {
            std::future::pending().await
        }
    }
}

/// What is looked for in a request's head as it comes. The library goes by one framing and hides that
/// there was another.
#[derive(Default)]
struct Head {
    begun: bool,
    /// Its first line has come, and its last.
    started: bool,
    over: bool,
    /// The start of the present line, in small letters.
    line: Vec<u8>,
    /// Both framings.
    length: bool,
    encoding: bool,
}

impl Head {
    fn take(&mut self, bytes: &[u8]) {
        self.begun |= !bytes.is_empty();
        for &byte in bytes {
            match byte {
                _ if self.over => return,
                b'\n' => {
                    self.length |= self.line.starts_with(b"content-length:");
                    self.encoding |= self.line.starts_with(b"transfer-encoding:");
                    // Empty lines before the first are passed over.
                    self.over = self.line.is_empty() && self.started;
                    self.started |= !self.line.is_empty();
                    self.line.clear();
                }
                b'\r' => {}
                _ if self.line.len() < LINE => self.line.push(byte.to_ascii_lowercase()),
                _ => {}
            }
        }
    }
}

/// A client's socket. A client that takes nothing of its answer for too long is gone.
pub struct Socket {
    socket: Rc<TcpStream>,
    client_connection: Rc<ConnectionState>,
    /// Set while the client is waited for to take more.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl Socket {
    pub fn new(socket: Rc<TcpStream>, client_connection: Rc<ConnectionState>) -> Self {
        Socket {
            socket,
            client_connection,
            stalled: None,
        }
    }

    fn write(
        &mut self,
        cx: &mut Context<'_>,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        while self.socket.poll_write_ready(cx)?.is_ready() {
            match write(&self.socket) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => {
                    self.stalled = None;
                    return Poll::Ready(written);
                }
            }
        }
        let timer = self
            .stalled
            .get_or_insert_with(|| Box::pin(sleep(STALL_TIMEOUT)));
        timer
            .as_mut()
            .poll(cx)
            .map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            std::task::ready!(self.socket.poll_read_ready(cx))?;
            match self.socket.try_read(buffer.initialize_unfilled()) {
                Ok(read) => {
                    let before = buffer.filled().len();
                    buffer.advance(read);
                    self.client_connection
                        .head
                        .borrow_mut()
                        .take(&buffer.filled()[before..]);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write(cx, |socket| socket.try_write(data))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(cx, |socket| socket.try_write_vectored(data))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.client_connection.response_broken.get() {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(SockRef::from(&*self.socket).shutdown(Shutdown::Write))
    }
}

impl Drop for Socket {
    /// An answer that ends with its connection is known to be broken by a reset alone.
    fn drop(&mut self) {
        if self.client_connection.response_broken.get() {
            let _ = self.socket.set_zero_linger();
        }
    }
}

#[cfg(test)]
mod tests;
