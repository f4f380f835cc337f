//! A request's body on its way from its client.
//!
//! The client counts its time from the last byte that it writes. So the node reads on while the server doesn't take the body,
//! as far as memory allows, and follows what has arrived beyond that: the last byte may be there unread, or wait in the
//! client's system. Where it may have been written so early that the request's time is over, the request is given up.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming, SizeHint};
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout, Instant};

use super::arrival::{ArrivalClock, MAX_UNSENT_BYTES};
use super::memory::{BodyMemory, Purpose};
use super::queue::{BodyQueue, BufferedBody};
use super::upload_source::UploadSource;
use super::{BodyError, MAX_BUFFERED_BYTES};
use crate::shutdown_deadline::ShutdownDeadline;

/// After an early response, the rest of the request's body is read and discarded for up to this long, so that
/// the client reads the response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Most bytes of a body that are received ahead of its server.
const MAX_AHEAD_BYTES: usize = 2 << 20;
/// Interval at which the bytes that have arrived are counted while a server doesn't take the body.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// A request whose end may lie unread is given up this long after its time may have been over: its client may have written
/// the end later. An answer up to half a second late is none that is lost.
const GIVE_UP_DELAY: Duration = Duration::from_millis(100);
/// Least time without a new byte before an unread body is given up.
const MIN_QUIET_TIME: Duration = Duration::from_millis(250);

/// How far a request's body has been received.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Receiving,
    Complete,
    /// The request's time is over and the rest is unread, as the server doesn't take the body.
    TimedOut,
    Failed(BodyError),
}

/// A request's body that is being received from its client.
pub struct Upload {
    source: RefCell<UploadSource>,
    /// What has been received and not passed to a server.
    received: RefCell<BodyQueue>,
    /// Wakes the connection to the server, which waits for the next part.
    server: RefCell<Option<Waker>>,
    /// Notified when a part has been passed to the server, which makes room for another.
    part_taken: Notify,
    /// The declared length in bytes; `None` for a chunked body.
    length: Option<u64>,
    /// How long the client waits for its response, counted from the last byte of the request.
    remaining_timeout: Duration,
    /// When the head of the request was received.
    head_received_at: Instant,
    /// Bounds `deadline` while the process shuts down.
    shutdown_deadline: Rc<ShutdownDeadline>,
    stage: Cell<Stage>,
    /// When the last byte may have been written.
    arrival: ArrivalClock,
    /// When the request must be answered; `None` until the body is complete or has timed out.
    deadline: Cell<Option<Instant>>,
    /// Whether a part has been passed to a server, so that the request can't be sent again.
    partly_sent: Cell<bool>,
    /// Notified when the reception ends: `stage` changes from `Receiving`.
    ended: Notify,
}

impl Upload {
    /// A body for which the node has waited since `waiting_since`.
    pub fn new(
        body: Incoming,
        memory: &Rc<BodyMemory>,
        remaining_timeout: Duration,
        shutdown_deadline: Rc<ShutdownDeadline>,
        arrival: ArrivalClock,
        waiting_since: Instant,
    ) -> Rc<Self> {
        let length = body.size_hint().exact();
        Rc::new(Upload {
            source: RefCell::new(UploadSource::new(body, waiting_since)),
            received: RefCell::new(BodyQueue::new(memory)),
            server: RefCell::default(),
            part_taken: Notify::new(),
            length,
            remaining_timeout,
            head_received_at: Instant::now(),
            shutdown_deadline,
            stage: Cell::new(Stage::Receiving),
            arrival,
            deadline: Cell::new(None),
            partly_sent: Cell::new(false),
            ended: Notify::new(),
        })
    }

    // The client's side.

    /// Receives the whole body if it is short and memory allows; `None` if it has to be streamed.
    pub async fn try_buffer(&self) -> Result<Option<BufferedBody>, BodyError> {
        let is_long = |length| length > MAX_BUFFERED_BYTES as u64;
        if self.length.is_some_and(is_long) {
            return Ok(None);
        }
        loop {
            match self.stage.get() {
                Stage::Complete => return Ok(Some(self.received.borrow_mut().take_buffered())),
                Stage::Failed(error) => return Err(error),
                Stage::TimedOut => return Ok(None),
                Stage::Receiving if !self.received.borrow().may_be_buffered() => return Ok(None),
                Stage::Receiving => poll_fn(|cx| self.poll_client(cx, Purpose::ShortBody)).await,
            }
        }
    }

    /// Receives the body, ahead of the server as far as memory allows, until its end or until its time is over; returns
    /// when the request must be answered.
    pub async fn receive(&self) -> Result<Instant, BodyError> {
        loop {
            match (self.stage.get(), self.deadline.get()) {
                (Stage::Failed(error), _) => return Err(error),
                (_, Some(deadline)) => return Ok(deadline),
                _ if !self.may_receive_more() => self.wait_for_server().await,
                _ => poll_fn(|cx| self.poll_client(cx, Purpose::ReceivedAhead)).await,
            }
        }
    }

    /// Waits until the server takes a part, or until the request's time is over if all that is unread is its end.
    async fn wait_for_server(&self) {
        let taken = timeout(ARRIVAL_CHECK_INTERVAL, self.part_taken.notified());
        self.arrival.held_back();
        // Looked at before each wait too, as a server that reads slowly ends each of them early.
        if self.may_be_written() && Instant::now() >= self.gives_up_at() {
            return self.end_reception(Stage::TimedOut);
        }
        let _ = taken.await;
    }

    /// Whether the client may have written the whole body, although its end has not been received. It need not be unread in the
    /// socket: the HTTP library may hold it.
    fn may_be_written(&self) -> bool {
        let seen_bytes = self.received_bytes() + self.arrival.unread_bytes() + MAX_UNSENT_BYTES;
        self.length.is_none_or(|length| length <= seen_bytes)
    }

    /// When a request whose end may lie unread is given up.
    fn gives_up_at(&self) -> Instant {
        let deadline = self.deadline_from(self.arrival.earliest_end()) + GIVE_UP_DELAY;
        // During a shutdown the deadline may be earlier, and the client still be writing.
        deadline.max(self.arrival.last_arrival() + self.remaining_timeout.min(MIN_QUIET_TIME))
    }

    /// The deadline of a request whose last byte came at `complete_at`.
    fn deadline_from(&self, complete_at: Instant) -> Instant {
        self.shutdown_deadline.deadline_from(
            complete_at,
            self.remaining_timeout,
            self.head_received_at,
        )
    }

    /// Whether another part may be received. One that finds no memory is received all the same when all others have been
    /// passed on, as the body would not move otherwise.
    fn may_receive_more(&self) -> bool {
        let received = self.received.borrow();
        received.is_empty() || (received.is_reserved() && received.len() < MAX_AHEAD_BYTES)
    }

    /// Receives the next part from the client and updates the stage.
    fn poll_client(&self, cx: &mut Context<'_>, purpose: Purpose) -> Poll<()> {
        let mut source = self.source.borrow_mut();
        let polled = source.poll(cx);
        if polled.is_pending() && source.is_waiting() {
            self.arrival.waiting();
        }
        let polled = ready!(polled);
        self.arrival.part_read();
        match polled {
            Err(error) => self.end_reception(Stage::Failed(error)),
            Ok(None) => self.end_reception(Stage::Complete),
            Ok(Some(part)) => {
                self.received.borrow_mut().push(&part, purpose);
                // Nothing polls again after the declared length has been received.
                if self.length == Some(source.received_bytes) {
                    self.end_reception(Stage::Complete);
                }
            }
        }
        self.wake_server();
        Poll::Ready(())
    }

    /// Ends the reception, unless it has ended: sets the deadline if the last byte has come, and wakes whoever waits for
    /// the end.
    fn end_reception(&self, stage: Stage) {
        if self.stage.get() == Stage::Receiving {
            self.stage.set(stage);
            let has_deadline = matches!(stage, Stage::Complete | Stage::TimedOut);
            let deadline = || self.deadline_from(self.arrival.earliest_end());
            self.deadline.set(has_deadline.then(deadline));
            self.ended.notify_waiters();
        }
    }

    /// The client has left, or the request has its response: the rest of the body is not passed on. A body that was
    /// received whole stays as it is: without its rest it would end at the server as a shorter one.
    pub fn abandon(&self) {
        if self.is_complete() {
            return;
        }
        self.end_reception(Stage::Failed(BodyError::Broken));
        self.received.borrow_mut().clear();
        self.wake_server();
    }

    /// Reads and discards the rest of the body for a while after an early response: if the connection were
    /// closed with unread bytes, it would be reset and the response lost.
    pub async fn discard(self: Rc<Self>) {
        self.received.borrow_mut().clear();
        let next = |cx: &mut Context<'_>| self.source.borrow_mut().poll(cx);
        let rest = async { while let Ok(Some(_)) = poll_fn(next).await {} };
        let _ = timeout(DISCARD_TIMEOUT, rest).await;
    }

    // The server's side.

    /// Polls for the next part to pass to a server.
    pub(super) fn poll_outgoing(
        &self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        let received = self.received.borrow_mut().pop();
        let part = match (received, self.stage.get()) {
            (Some(part), _) => Some(Ok(part)),
            (None, Stage::Complete) => None,
            (None, Stage::Failed(error)) => Some(Err(error)),
            (None, Stage::Receiving | Stage::TimedOut) => {
                self.server.replace(Some(cx.waker().clone()));
                return Poll::Pending;
            }
        };
        self.part_taken.notify_one();
        self.partly_sent.set(true);
        Poll::Ready(part)
    }

    fn wake_server(&self) {
        if let Some(server) = self.server.take() {
            server.wake();
        }
    }

    /// Whether the whole body has been received and passed to a server.
    pub(super) fn is_fully_taken(&self) -> bool {
        self.is_complete() && self.received.borrow().is_empty()
    }

    /// The length that the client has declared.
    pub(super) fn size_hint(&self) -> SizeHint {
        self.length
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }

    /// Whether the whole body has been received.
    pub fn is_complete(&self) -> bool {
        self.stage.get() == Stage::Complete
    }

    /// Number of bytes received from the client; 0 while the client's task is receiving some.
    pub fn received_bytes(&self) -> u64 {
        self.source
            .try_borrow()
            .map_or(0, |source| source.received_bytes)
    }

    /// Number of bytes received and not passed to a server.
    pub fn held_bytes(&self) -> usize {
        self.received.borrow().len()
    }

    /// Whether a part has been passed to a server.
    pub fn is_partly_sent(&self) -> bool {
        self.partly_sent.get()
    }

    /// How long the client still waits for its response: its whole time while the end of the body is not known to have come,
    /// as it is counted from the last byte.
    pub fn remaining_timeout(&self) -> Duration {
        match self.deadline.get() {
            Some(deadline) => deadline.saturating_duration_since(Instant::now()),
            None => self.remaining_timeout,
        }
    }

    /// Waits until the server has run out of time for its response: at the request's deadline once the body is
    /// complete. While it is not, the connection to the server finds out whether the server still reads it.
    pub async fn response_timed_out(&self) {
        loop {
            let ended = self.ended.notified();
            match (self.stage.get(), self.deadline.get()) {
                (_, Some(deadline)) => return sleep_until(deadline).await,
                (Stage::Failed(_), _) => return std::future::pending().await,
                _ => ended.await,
            }
        }
    }
}

/// Reads and discards a body that is too long, for the same reason as [`Upload::discard`].
pub async fn discard(mut body: Incoming) {
    let rest = async { while let Some(Ok(_)) = body.frame().await {} };
    let _ = timeout(DISCARD_TIMEOUT, rest).await;
}
