//! Bodies on their way through the node: short ones are buffered, longer ones are streamed. Each
//! piece is asked for when there is room for it, so a slow reader holds its writer back.

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

/// The longest body that is buffered: up to here its last byte is timed, past it its first.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// The longest body of a request.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// A client may take so long before its body comes, and must send it at this pace, in bytes a second:
/// three quarters of what the platform's slowest clients do. One that sends no complete request must get an
/// end within 3 s.
const GRACE: Duration = Duration::from_millis(2_600);
const PACE: u64 = 48_000;
/// A server or a client that takes or gives nothing for so long is gone.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// An answer of unknown length is kept back for so long to see whether it is a short one.
const GATHER_TIMEOUT: Duration = Duration::from_millis(50);
/// The rest of a body that nobody wants is read for so long, so that its client reads the answer.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// The bytes that the node may keep of bodies, all together.
pub struct BodyMemory(Cell<usize>);

impl BodyMemory {
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(BodyMemory(Cell::new(bytes)))
    }
}

/// Bytes taken of the memory; gives them back when dropped.
struct MemoryReservation {
    memory: Rc<BodyMemory>,
    bytes: usize,
}

impl MemoryReservation {
    fn grow(&mut self, bytes: usize) -> bool {
        let left = self.memory.0.get().checked_sub(bytes);
        if let Some(left) = left {
            self.memory.0.set(left);
            self.bytes += bytes;
        }
        left.is_some()
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.memory.0.set(self.memory.0.get() + self.bytes);
    }
}

/// The parts of a body that have come so far.
pub struct Parts {
    parts: VecDeque<Bytes>,
    reservation: MemoryReservation,
}

impl Parts {
    pub fn new(memory: &Rc<BodyMemory>) -> Self {
        Parts {
            parts: VecDeque::new(),
            reservation: MemoryReservation {
                memory: memory.clone(),
                bytes: 0,
            },
        }
    }

    /// Adds a part; `false` if no more should be kept.
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

/// Why a request's body can't be had.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    TooLong,
    TooSlow,
    Broken,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Fault::TooLong => "the body is too long",
            Fault::TooSlow => "the body did not come",
            Fault::Broken => "the body is broken",
        })
    }
}

impl std::error::Error for Fault {}

/// Whether the last byte of a request has come.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Coming,
    Complete,
    Failed(Fault),
}

/// A request's body while it comes from the client.
pub struct Upload {
    source: RefCell<Source>,
    length: Option<u64>,
    /// How long the client waits, from the last byte on, and the process at the most.
    remaining_timeout: Duration,
    shutdown_deadline: Rc<ShutdownDeadline>,
    stage: Cell<Stage>,
    deadline: Cell<Option<Instant>>,
    /// A part has gone to a server: it can't be sent again.
    begun: Cell<bool>,
    /// When a part was last asked for.
    moved: Cell<Instant>,
    changed: Notify,
}

struct Source {
    /// What has come and is not handed on.
    first: VecDeque<Bytes>,
    rest: Incoming,
    came: u64,
    /// How long the client was waited for, and since when it is now.
    waited: Duration,
    since: Option<Instant>,
    timer: Pin<Box<Sleep>>,
}

impl Source {
    /// The next part from the client itself; `None` at the end.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, Fault>> {
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(cx) else {
                return self.wait(cx);
            };
            if let Some(since) = self.since.take() {
                self.waited += since.elapsed();
            }
            match frame {
                None => return Poll::Ready(Ok(None)),
                Some(Err(_)) => return Poll::Ready(Err(Fault::Broken)),
                // Trailers end with the hop.
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(part) if !part.is_empty() => {
                        self.came += part.len() as u64;
                        let fits = self.came <= MAX_BODY_BYTES;
                        return Poll::Ready(if fits {
                            Ok(Some(part))
                        } else {
                            Err(Fault::TooLong)
                        });
                    }
                    _ => continue,
                },
            }
        }
    }

    /// Only the time that the client is waited for counts, not that of a server which is slow to read.
    fn wait(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, Fault>> {
        if self.since.is_none() {
            let now = Instant::now();
            self.since = Some(now);
            let allowed = GRACE + Duration::from_micros(self.came * 1_000_000 / PACE);
            self.timer
                .as_mut()
                .reset(now + allowed.saturating_sub(self.waited).min(STALL_TIMEOUT));
        }
        self.timer.as_mut().poll(cx).map(|()| Err(Fault::TooSlow))
    }
}

impl Upload {
    /// A body whose client has been waited for since `since`.
    pub fn new(
        body: Incoming,
        remaining_timeout: Duration,
        shutdown_deadline: Rc<ShutdownDeadline>,
        since: Instant,
    ) -> Rc<Self> {
        let length = body.size_hint().exact();
        let now = Instant::now();
        let source = Source {
            first: VecDeque::new(),
            rest: body,
            came: 0,
            waited: now - since,
            since: None,
            timer: Box::pin(sleep_until(now)),
        };
        Rc::new(Upload {
            source: RefCell::new(source),
            length,
            remaining_timeout,
            shutdown_deadline,
            stage: Cell::new(Stage::Coming),
            deadline: Cell::new(None),
            begun: Cell::new(false),
            moved: Cell::new(now),
            changed: Notify::new(),
        })
    }

    fn enter(&self, stage: Stage) {
        if self.stage.get() == Stage::Coming {
            self.stage.set(stage);
            self.deadline.set(
                (stage == Stage::Complete)
                    .then(|| self.shutdown_deadline.deadline(self.remaining_timeout)),
            );
            self.changed.notify_waiters();
        }
    }

    /// The next part from the client; `None` at the end.
    fn poll_part(&self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, Fault>> {
        match self.stage.get() {
            Stage::Complete => return Poll::Ready(Ok(None)),
            Stage::Failed(fault) => return Poll::Ready(Err(fault)),
            Stage::Coming => {}
        }
        let mut source = self.source.borrow_mut();
        let part = std::task::ready!(source.poll(cx));
        match &part {
            Err(fault) => self.enter(Stage::Failed(*fault)),
            Ok(None) => self.enter(Stage::Complete),
            // Nobody asks for more once all that was promised has come.
            Ok(Some(_)) if self.length == Some(source.came) => self.enter(Stage::Complete),
            Ok(Some(_)) => {}
        }
        Poll::Ready(part)
    }

    /// Buffers the body if it is short and memory allows; `None` if it has to be streamed.
    pub async fn gather(&self, memory: &Rc<BodyMemory>) -> Result<Option<BufferedBody>, Fault> {
        if self
            .length
            .is_some_and(|length| length > MAX_BUFFERED_BYTES as u64)
        {
            return Ok(None);
        }
        let mut parts = Parts::new(memory);
        while let Some(part) = poll_fn(|cx| self.poll_part(cx)).await? {
            if !parts.add(part) {
                self.source.borrow_mut().first = parts.parts;
                return Ok(None);
            }
        }
        Ok(Some(parts.complete()))
    }

    /// The next part for a server.
    fn poll_outgoing(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Fault>>> {
        self.moved.set(Instant::now());
        let kept = self.source.borrow_mut().first.pop_front();
        let part = match kept {
            Some(part) => Some(Ok(part)),
            None => std::task::ready!(self.poll_part(cx)).transpose(),
        };
        self.begun.set(true);
        Poll::Ready(part)
    }

    /// All that came was handed on, and no more comes.
    fn is_over(&self) -> bool {
        self.is_complete() && self.source.borrow().first.is_empty()
    }

    pub fn is_complete(&self) -> bool {
        self.stage.get() == Stage::Complete
    }

    /// A part has gone to a server.
    pub fn is_partly_sent(&self) -> bool {
        self.begun.get()
    }

    pub fn remaining_timeout(&self) -> Duration {
        self.remaining_timeout
    }

    /// Waits until the last byte has come; by when the client is owed its answer.
    pub async fn complete(&self) -> Result<Instant, Fault> {
        loop {
            let changed = self.changed.notified();
            match (self.stage.get(), self.deadline.get()) {
                (Stage::Complete, Some(deadline)) => return Ok(deadline),
                (Stage::Failed(fault), _) => return Err(fault),
                _ => changed.await,
            }
        }
    }

    /// Ends when a server has had all the time there is: that of the request, once it is complete, or
    /// before that too long without taking a part.
    pub async fn server_timed_out(&self) {
        loop {
            match timeout(STALL_TIMEOUT / 4, self.complete()).await {
                Ok(Ok(deadline)) => return sleep_until(deadline).await,
                Ok(Err(_)) => std::future::pending().await,
                // The client is never waited for that long without a look.
                Err(_) if self.moved.get().elapsed() > STALL_TIMEOUT + STALL_TIMEOUT / 4 => return,
                Err(_) => {}
            }
        }
    }

    /// Reads on for a while after an early answer: closed with bytes unread, the connection would be
    /// reset and the answer lost.
    pub async fn discard(self: Rc<Self>) {
        let rest = async { while let Ok(Some(_)) = poll_fn(|cx| self.poll_part(cx)).await {} };
        let _ = timeout(DISCARD_TIMEOUT, rest).await;
    }
}

/// Reads on for a while what nobody wants: see `Upload::discard`.
pub async fn discard(mut body: Incoming) {
    let rest = async { while let Some(Ok(_)) = body.frame().await {} };
    let _ = timeout(DISCARD_TIMEOUT, rest).await;
}

/// A request's body as the attempts use it.
pub enum Payload {
    Buffered(BufferedBody),
    /// Sent once, as it comes.
    Streaming(Rc<Upload>),
}

impl Payload {
    pub fn outgoing(&self, progress: Rc<RequestProgress>) -> OutgoingBody {
        let source = match self {
            Payload::Buffered(kept) => OutgoingSource::Buffered(kept.bytes.clone()),
            Payload::Streaming(upload) => OutgoingSource::Streaming(upload.clone()),
        };
        OutgoingBody { source, progress }
    }
}

enum OutgoingSource {
    Buffered(Bytes),
    Streaming(Rc<Upload>),
}

/// A request's body on its way to a server; tells when its last part is handed on.
pub struct OutgoingBody {
    source: OutgoingSource,
    progress: Rc<RequestProgress>,
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let part = match &mut self.source {
            OutgoingSource::Buffered(bytes) => {
                let bytes = std::mem::take(bytes);
                (!bytes.is_empty()).then_some(Ok(bytes))
            }
            OutgoingSource::Streaming(upload) => std::task::ready!(upload.poll_outgoing(cx)),
        };
        if part.is_none() {
            self.progress.hand();
        }
        Poll::Ready(part.map(|part| part.map(Frame::data)))
    }

    /// Asked by the connection when it takes the head, and after each part.
    fn is_end_stream(&self) -> bool {
        let over = match &self.source {
            OutgoingSource::Buffered(bytes) => bytes.is_empty(),
            OutgoingSource::Streaming(upload) => upload.is_over(),
        };
        if over {
            self.progress.hand();
        }
        over
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

/// What came of a server's answer before it is passed on.
pub enum ReceivedBody {
    Buffered(BufferedBody),
    /// It is long or slow: what came, and the rest.
    Streamed(Box<Streamed>),
}

/// Buffers an answer if it is short, so that one which breaks was never begun; a longer one is
/// passed on with its first bytes. `None` if it broke.
pub async fn receive_response_body(
    mut body: Incoming,
    memory: &Rc<BodyMemory>,
) -> Option<ReceivedBody> {
    let length = body.size_hint().exact();
    let long = length.is_some_and(|length| length > MAX_BUFFERED_BYTES as u64);
    let mut parts = Parts::new(memory);
    let by = Instant::now() + GATHER_TIMEOUT;
    loop {
        let frame = if length.is_some() || parts.parts.is_empty() {
            body.frame().await
        } else {
            match timeout_at(by, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => break,
            }
        };
        match frame {
            None => return Some(ReceivedBody::Buffered(parts.complete())),
            Some(Err(_)) => return None,
            Some(Ok(frame)) => {
                let part = frame.into_data().unwrap_or_default();
                if !part.is_empty() && (!parts.add(part) || long) {
                    break;
                }
            }
        }
    }
    let timer = Box::pin(sleep(STALL_TIMEOUT));
    let first = parts.parts;
    Some(ReceivedBody::Streamed(Box::new(Streamed {
        first,
        rest: body,
        length,
        timer,
        waits: false,
        on_end: None,
    })))
}

/// Told how a passing body ended; dropped untold if its client left.
type OnEnd = Box<dyn FnOnce(RequestOutcome)>;

/// A server's answer that passes in pieces.
pub struct Streamed {
    first: VecDeque<Bytes>,
    rest: Incoming,
    /// What is still to come, where that is known.
    length: Option<u64>,
    timer: Pin<Box<Sleep>>,
    waits: bool,
    on_end: Option<OnEnd>,
}

impl Streamed {
    /// Adds to what is done at the end.
    pub fn on_end(&mut self, then: impl FnOnce(RequestOutcome) + 'static) {
        let before = self.on_end.take();
        self.on_end = Some(Box::new(move |end| {
            if let Some(before) = before {
                before(end);
            }
            then(end);
        }));
    }

    fn end(&mut self, end: RequestOutcome) {
        if let Some(told) = self.on_end.take() {
            told(end);
        }
    }

    fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Fault>>> {
        if let Some(part) = self.first.pop_front() {
            return Poll::Ready(Some(Ok(part)));
        }
        loop {
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(Fault::Broken))),
                Poll::Ready(Some(Ok(frame))) => {
                    self.waits = false;
                    match frame.into_data() {
                        Ok(part) if !part.is_empty() => return Poll::Ready(Some(Ok(part))),
                        _ => continue,
                    }
                }
                Poll::Pending => {
                    if !std::mem::replace(&mut self.waits, true) {
                        self.timer.as_mut().reset(Instant::now() + STALL_TIMEOUT);
                    }
                    return self
                        .timer
                        .as_mut()
                        .poll(cx)
                        .map(|()| Some(Err(Fault::TooSlow)));
                }
            }
        }
    }
}

/// The body of an answer to a client.
pub enum ResponseBody {
    Buffered(BufferedBody),
    Streamed(Box<Streamed>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        match &mut *self {
            ResponseBody::Buffered(kept) => {
                let bytes = std::mem::take(&mut kept.bytes);
                Poll::Ready((!bytes.is_empty()).then(|| Ok(Frame::data(bytes))))
            }
            ResponseBody::Streamed(passing) => {
                let part = std::task::ready!(passing.poll_part(cx));
                match &part {
                    None => passing.end(RequestOutcome::Served),
                    Some(Err(_)) => passing.end(RequestOutcome::Failed),
                    Some(Ok(part)) => {
                        passing.length = passing
                            .length
                            .map(|left| left.saturating_sub(part.len() as u64));
                        // Nobody asks for more once all that was promised is handed on.
                        if passing.length == Some(0) {
                            passing.end(RequestOutcome::Served);
                        }
                    }
                }
                Poll::Ready(part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(kept) => kept.bytes.is_empty(),
            ResponseBody::Streamed(passing) => passing.length == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(kept) => SizeHint::with_exact(kept.bytes.len() as u64),
            ResponseBody::Streamed(passing) => passing
                .length
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

#[cfg(test)]
mod tests;
