//! Bodies of requests and responses: short ones are buffered, longer ones are streamed. A part is read from
//! one side only when the other side can take it (backpressure).

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant, Sleep};

use crate::metrics::RequestOutcome;
use crate::shutdown_deadline::ShutdownDeadline;
use crate::stream::RequestProgress;
use crate::write_stall::{time_at_min_rate, STALL_TIMEOUT};

/// Longest body that is buffered. The latency of a buffered response counts up to its last byte, that of a
/// streamed one up to its first bytes.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Longest body of a request; a longer one is rejected.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// Longest total wait for a client's body, in addition to the time that the bytes received so far take at the
/// minimum rate. A client that sends no complete request must get an error or a close within 3 s.
const UPLOAD_GRACE: Duration = Duration::from_millis(2_600);
/// A response of unknown length is held back for this long, to see whether it is short.
const BUFFERING_TIMEOUT: Duration = Duration::from_millis(50);
/// After an early response, the rest of the request's body is read and discarded for up to this long, so that
/// the client reads the response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// The memory that is left for buffered bodies of all requests and responses, in bytes.
pub struct BodyMemory {
    total: usize,
    left: Cell<usize>,
}

impl BodyMemory {
    pub fn new(total: usize) -> Rc<Self> {
        let left = Cell::new(total);
        Rc::new(BodyMemory { total, left })
    }

    /// The memory that is reserved now, in bytes.
    pub fn used(&self) -> usize {
        self.total - self.left.get()
    }
}

/// A reservation of the body memory, released when dropped.
struct MemoryReservation {
    memory: Rc<BodyMemory>,
    bytes: usize,
}

impl MemoryReservation {
    /// Reserves `bytes` more; returns `false`, and reserves nothing, if fewer are left.
    fn grow(&mut self, bytes: usize) -> bool {
        let left = self.memory.left.get().checked_sub(bytes);
        if let Some(left) = left {
            self.memory.left.set(left);
            self.bytes += bytes;
        }
        left.is_some()
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.memory.left.set(self.memory.left.get() + self.bytes);
    }
}

/// The parts of a body that have been received so far.
pub struct PartialBody {
    parts: VecDeque<Bytes>,
    reservation: MemoryReservation,
}

impl PartialBody {
    pub fn new(memory: &Rc<BodyMemory>) -> Self {
        PartialBody {
            parts: VecDeque::new(),
            reservation: MemoryReservation {
                memory: memory.clone(),
                bytes: 0,
            },
        }
    }

    /// Adds a part; returns `false` if the body is now too long to be buffered, or the memory is used up.
    fn add(&mut self, part: Bytes) -> bool {
        let fits = self.reservation.bytes + part.len() <= MAX_BUFFERED_BYTES
            && self.reservation.grow(part.len());
        self.parts.push_back(part);
        fits
    }

    fn complete(mut self) -> BufferedBody {
        let bytes = match self.parts.len() {
            0 => Bytes::new(),
            1 => self.parts.remove(0).unwrap_or_default(),
            _ => {
                let mut all = BytesMut::with_capacity(self.reservation.bytes);
                self.parts
                    .iter()
                    .for_each(|part| all.extend_from_slice(part));
                all.freeze()
            }
        };
        BufferedBody {
            bytes,
            _reservation: Some(self.reservation),
        }
    }
}

/// A complete body in memory.
pub struct BufferedBody {
    pub bytes: Bytes,
    _reservation: Option<MemoryReservation>,
}

impl From<&'static str> for BufferedBody {
    fn from(text: &'static str) -> Self {
        BufferedBody {
            bytes: Bytes::from_static(text.as_bytes()),
            _reservation: None,
        }
    }
}

/// Why a body could not be received completely.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyError {
    TooLong,
    TooSlow,
    Broken,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BodyError::TooLong => "the body is longer than allowed",
            BodyError::TooSlow => "the body did not arrive in time",
            BodyError::Broken => "the body is malformed, or its connection broke",
        })
    }
}

impl std::error::Error for BodyError {}

/// How far a request's body has been received.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Receiving,
    Complete,
    Failed(BodyError),
}

/// A request's body that is being received from its client.
pub struct Upload {
    source: RefCell<UploadSource>,
    /// The declared length in bytes; `None` for a chunked body.
    length: Option<u64>,
    /// How long the client waits for its response, counted from the last byte of the request.
    remaining_timeout: Duration,
    /// When the head of the request was received.
    head_received_at: Instant,
    /// Bounds `deadline` while the process shuts down.
    shutdown_deadline: Rc<ShutdownDeadline>,
    stage: Cell<Stage>,
    /// When the request must be answered; `None` until the body is complete.
    deadline: Cell<Option<Instant>>,
    /// Whether a part has been passed to a server, so that the request can't be sent again.
    partly_sent: Cell<bool>,
    /// Notified when the reception ends: `stage` changes from `Receiving`.
    ended: Notify,
}

/// The client's side of an upload.
struct UploadSource {
    /// Parts received before the body was found to be too long to buffer, and not yet passed on.
    buffered: VecDeque<Bytes>,
    incoming: Incoming,
    received_bytes: u64,
    /// How long the node has waited for the client in total, without the current wait.
    total_wait: Duration,
    /// When the current wait began; `None` while the node does not wait for the client.
    waiting_since: Option<Instant>,
    /// Expires when the current wait has been too long.
    timer: Pin<Box<Sleep>>,
}

impl UploadSource {
    /// Polls the client's connection for the next part; `None` at the end of the body.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BodyError>> {
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.incoming).poll_frame(cx) else {
                return self.poll_timeout(cx);
            };
            if let Some(since) = self.waiting_since.take() {
                self.total_wait += since.elapsed();
            }
            match frame {
                None => return Poll::Ready(Ok(None)),
                Some(Err(_)) => return Poll::Ready(Err(BodyError::Broken)),
                // Trailers are not forwarded.
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(part) if !part.is_empty() => {
                        self.received_bytes += part.len() as u64;
                        let fits = self.received_bytes <= MAX_BODY_BYTES;
                        return Poll::Ready(if fits {
                            Ok(Some(part))
                        } else {
                            Err(BodyError::TooLong)
                        });
                    }
                    _ => continue,
                },
            }
        }
    }

    /// Waits for the client within its time limit. Only time in which the node waits for the client counts,
    /// not the time in which a slow server reads nothing.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BodyError>> {
        if self.waiting_since.is_none() {
            let now = Instant::now();
            self.waiting_since = Some(now);
            let allowed = UPLOAD_GRACE + time_at_min_rate(self.received_bytes);
            self.timer
                .as_mut()
                .reset(now + allowed.saturating_sub(self.total_wait).min(STALL_TIMEOUT));
        }
        self.timer
            .as_mut()
            .poll(cx)
            .map(|()| Err(BodyError::TooSlow))
    }
}

impl Upload {
    /// A body for which the node has waited since `waiting_since`.
    pub fn new(
        body: Incoming,
        remaining_timeout: Duration,
        shutdown_deadline: Rc<ShutdownDeadline>,
        waiting_since: Instant,
    ) -> Rc<Self> {
        let length = body.size_hint().exact();
        let now = Instant::now();
        let source = UploadSource {
            buffered: VecDeque::new(),
            incoming: body,
            received_bytes: 0,
            total_wait: now - waiting_since,
            waiting_since: None,
            timer: Box::pin(sleep_until(now)),
        };
        Rc::new(Upload {
            source: RefCell::new(source),
            length,
            remaining_timeout,
            head_received_at: now,
            shutdown_deadline,
            stage: Cell::new(Stage::Receiving),
            deadline: Cell::new(None),
            partly_sent: Cell::new(false),
            ended: Notify::new(),
        })
    }

    /// Ends the reception, unless it has ended: sets the deadline if the body is complete, and wakes
    /// [`Upload::complete`].
    fn end_reception(&self, stage: Stage) {
        if self.stage.get() == Stage::Receiving {
            self.stage.set(stage);
            let deadline = || {
                self.shutdown_deadline
                    .deadline(self.remaining_timeout, self.head_received_at)
            };
            self.deadline.set((stage == Stage::Complete).then(deadline));
            self.ended.notify_waiters();
        }
    }

    /// The next part from the client, `None` at the end; updates the stage.
    fn poll_part(&self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BodyError>> {
        match self.stage.get() {
            Stage::Complete => return Poll::Ready(Ok(None)),
            Stage::Failed(error) => return Poll::Ready(Err(error)),
            Stage::Receiving => {}
        }
        let mut source = self.source.borrow_mut();
        let part = std::task::ready!(source.poll(cx));
        match &part {
            Err(error) => self.end_reception(Stage::Failed(*error)),
            Ok(None) => self.end_reception(Stage::Complete),
            // Nothing polls again after the declared length has been received.
            Ok(Some(_)) if self.length == Some(source.received_bytes) => {
                self.end_reception(Stage::Complete)
            }
            Ok(Some(_)) => {}
        }
        Poll::Ready(part)
    }

    /// Receives the whole body if it is short and memory allows; `None` if it has to be streamed.
    pub async fn try_buffer(
        &self,
        memory: &Rc<BodyMemory>,
    ) -> Result<Option<BufferedBody>, BodyError> {
        if self
            .length
            .is_some_and(|length| length > MAX_BUFFERED_BYTES as u64)
        {
            return Ok(None);
        }
        let mut parts = PartialBody::new(memory);
        while let Some(part) = poll_fn(|cx| self.poll_part(cx)).await? {
            if !parts.add(part) {
                self.source.borrow_mut().buffered = parts.parts;
                return Ok(None);
            }
        }
        Ok(Some(parts.complete()))
    }

    /// Polls for the next part to pass to a server.
    fn poll_outgoing(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let buffered = self.source.borrow_mut().buffered.pop_front();
        let part = match buffered {
            Some(part) => Some(Ok(part)),
            None => std::task::ready!(self.poll_part(cx)).transpose(),
        };
        self.partly_sent.set(true);
        Poll::Ready(part)
    }

    /// Whether the whole body has been received and passed to a server.
    fn is_fully_taken(&self) -> bool {
        self.is_complete() && self.source.borrow().buffered.is_empty()
    }

    /// Whether the whole body has been received.
    pub fn is_complete(&self) -> bool {
        self.stage.get() == Stage::Complete
    }

    /// Whether a part has been passed to a server.
    pub fn is_partly_sent(&self) -> bool {
        self.partly_sent.get()
    }

    /// How long the client waits for its response, counted from the last byte of the request.
    pub fn remaining_timeout(&self) -> Duration {
        self.remaining_timeout
    }

    /// Waits for the last byte of the body; returns when the request must be answered.
    pub async fn complete(&self) -> Result<Instant, BodyError> {
        loop {
            let ended = self.ended.notified();
            match (self.stage.get(), self.deadline.get()) {
                (Stage::Complete, Some(deadline)) => return Ok(deadline),
                (Stage::Failed(error), _) => return Err(error),
                _ => ended.await,
            }
        }
    }

    /// Waits until the server has run out of time for its response: at the request's deadline once the body is
    /// complete. While it is not, the connection to the server finds out whether the server still reads it.
    pub async fn response_timed_out(&self) {
        match self.complete().await {
            Ok(deadline) => sleep_until(deadline).await,
            Err(_) => std::future::pending().await,
        }
    }

    /// Reads and discards the rest of the body for a while after an early response: if the connection were
    /// closed with unread bytes, it would be reset and the response lost.
    pub async fn discard(self: Rc<Self>) {
        let rest = async { while let Ok(Some(_)) = poll_fn(|cx| self.poll_part(cx)).await {} };
        let _ = timeout(DISCARD_TIMEOUT, rest).await;
    }
}

/// Reads and discards a body that is too long, for the same reason as [`Upload::discard`].
pub async fn discard(mut body: Incoming) {
    let rest = async { while let Some(Ok(_)) = body.frame().await {} };
    let _ = timeout(DISCARD_TIMEOUT, rest).await;
}

/// A request's body as its attempts use it.
pub enum Payload {
    /// Complete in memory; each attempt can send it.
    Buffered(BufferedBody),
    /// Still being received; only one attempt can send it.
    Streaming(Rc<Upload>),
}

impl Payload {
    /// The body for one attempt, whose progress is recorded in `progress`.
    pub fn outgoing(&self, progress: Rc<RequestProgress>) -> OutgoingBody {
        let source = match self {
            Payload::Buffered(buffered) => OutgoingSource::Buffered(buffered.bytes.clone()),
            Payload::Streaming(upload) => OutgoingSource::Streaming(upload.clone()),
        };
        OutgoingBody { source, progress }
    }
}

enum OutgoingSource {
    Buffered(Bytes),
    Streaming(Rc<Upload>),
}

/// The request body of one attempt. Records in `progress` when the connection has taken its last part.
pub struct OutgoingBody {
    source: OutgoingSource,
    progress: Rc<RequestProgress>,
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let part = match &mut self.source {
            OutgoingSource::Buffered(bytes) => {
                let bytes = std::mem::take(bytes);
                (!bytes.is_empty()).then_some(Ok(bytes))
            }
            OutgoingSource::Streaming(upload) => std::task::ready!(upload.poll_outgoing(cx)),
        };
        if part.is_none() {
            self.progress.mark_body_taken();
        }
        Poll::Ready(part.map(|part| part.map(Frame::data)))
    }

    /// The connection calls this when it takes the head, and after each part.
    fn is_end_stream(&self) -> bool {
        let fully_taken = match &self.source {
            OutgoingSource::Buffered(bytes) => bytes.is_empty(),
            OutgoingSource::Streaming(upload) => upload.is_fully_taken(),
        };
        if fully_taken {
            self.progress.mark_body_taken();
        }
        fully_taken
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            OutgoingSource::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            OutgoingSource::Streaming(upload) => upload
                .length
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

/// The body of a server's response before any of it is passed on.
pub enum ReceivedBody {
    /// Complete in memory.
    Buffered(BufferedBody),
    /// Long or slow: the first bytes are in memory, the rest is still to be received.
    Streamed(Box<Streamed>),
}

/// Receives a short body of a response whole, so that nothing of a response that breaks reaches the client. Of a
/// longer or slower body, receives only the first bytes. `None` if the response broke before that.
pub async fn receive_response_body(
    mut body: Incoming,
    memory: &Rc<BodyMemory>,
) -> Option<ReceivedBody> {
    let length = body.size_hint().exact();
    let is_long = length.is_some_and(|length| length > MAX_BUFFERED_BYTES as u64);
    let mut parts = PartialBody::new(memory);
    let buffer_until = Instant::now() + BUFFERING_TIMEOUT;
    loop {
        let frame = if length.is_some() || parts.parts.is_empty() {
            body.frame().await
        } else {
            match timeout_at(buffer_until, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => break,
            }
        };
        match frame {
            None => return Some(ReceivedBody::Buffered(parts.complete())),
            Some(Err(_)) => return None,
            Some(Ok(frame)) => {
                let part = frame.into_data().unwrap_or_default();
                if !part.is_empty() && (!parts.add(part) || is_long) {
                    break;
                }
            }
        }
    }
    let timer = Box::pin(sleep(STALL_TIMEOUT));
    let buffered = parts.parts;
    Some(ReceivedBody::Streamed(Box::new(Streamed {
        buffered,
        incoming: body,
        length,
        timer,
        is_waiting: false,
        on_end: None,
    })))
}

/// A callback for the outcome of a streamed body; dropped without a call if the client disconnects first.
type OnEnd = Box<dyn FnOnce(RequestOutcome)>;

/// The body of a response that is streamed to the client.
pub struct Streamed {
    /// Parts that have been received and not yet passed on.
    buffered: VecDeque<Bytes>,
    incoming: Incoming,
    /// Bytes still to be passed on; `None` if the length is unknown.
    length: Option<u64>,
    /// Expires when the server has sent nothing for too long.
    timer: Pin<Box<Sleep>>,
    /// Whether `timer` is set: the node waits for the server.
    is_waiting: bool,
    on_end: Option<OnEnd>,
}

impl Streamed {
    /// Adds a callback for the end of the body; callbacks run in the order in which they are added.
    pub fn on_end(&mut self, callback: impl FnOnce(RequestOutcome) + 'static) {
        let earlier = self.on_end.take();
        self.on_end = Some(Box::new(move |outcome| {
            if let Some(earlier) = earlier {
                earlier(outcome);
            }
            callback(outcome);
        }));
    }

    fn end(&mut self, outcome: RequestOutcome) {
        if let Some(callback) = self.on_end.take() {
            callback(outcome);
        }
    }

    fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(part) = self.buffered.pop_front() {
            return Poll::Ready(Some(Ok(part)));
        }
        loop {
            match Pin::new(&mut self.incoming).poll_frame(cx) {
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(BodyError::Broken))),
                Poll::Ready(Some(Ok(frame))) => {
                    self.is_waiting = false;
                    match frame.into_data() {
                        Ok(part) if !part.is_empty() => return Poll::Ready(Some(Ok(part))),
                        _ => continue,
                    }
                }
                Poll::Pending => {
                    if !std::mem::replace(&mut self.is_waiting, true) {
                        self.timer.as_mut().reset(Instant::now() + STALL_TIMEOUT);
                    }
                    return self
                        .timer
                        .as_mut()
                        .poll(cx)
                        .map(|()| Some(Err(BodyError::TooSlow)));
                }
            }
        }
    }
}

/// The body of a response on its way to the client: held in memory, or forwarded as it arrives from the server.
pub enum ResponseBody {
    Buffered(BufferedBody),
    Streamed(Box<Streamed>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            ResponseBody::Buffered(buffered) => {
                let bytes = std::mem::take(&mut buffered.bytes);
                Poll::Ready((!bytes.is_empty()).then(|| Ok(Frame::data(bytes))))
            }
            ResponseBody::Streamed(streamed) => {
                let part = std::task::ready!(streamed.poll_part(cx));
                match &part {
                    None => streamed.end(RequestOutcome::Served),
                    Some(Err(_)) => streamed.end(RequestOutcome::Failed),
                    Some(Ok(part)) => {
                        streamed.length = streamed
                            .length
                            .map(|left| left.saturating_sub(part.len() as u64));
                        // The connection does not poll again after the declared length.
                        if streamed.length == Some(0) {
                            streamed.end(RequestOutcome::Served);
                        }
                    }
                }
                Poll::Ready(part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(buffered) => buffered.bytes.is_empty(),
            ResponseBody::Streamed(streamed) => streamed.length == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(buffered) => SizeHint::with_exact(buffered.bytes.len() as u64),
            ResponseBody::Streamed(streamed) => streamed
                .length
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

#[cfg(test)]
mod tests;
