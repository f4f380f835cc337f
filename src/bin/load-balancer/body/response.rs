//! A response's body on its way from a server to a client.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{sleep, timeout_at, Instant, Sleep};

use super::memory::{BodyMemory, Purpose};
use super::queue::{BodyQueue, BufferedBody};
use super::{BodyError, MAX_BUFFERED_BYTES};
use crate::connection::ConnectionState;
use crate::memory_budget::MemoryReservation;
use crate::metrics::RequestOutcome;
use crate::write_stall::STALL_TIMEOUT;

/// A response of unknown length is held back for this long, to see whether it is short, and a long one until its first
/// bytes have come. Its head is passed on then, as the first bytes of a long response are the ones that are timed.
const BUFFERING_TIMEOUT: Duration = Duration::from_millis(50);

/// The body of a server's response before any of it is passed on.
pub enum ReceivedBody {
    /// Complete in memory.
    Buffered(BufferedBody),
    /// Long or slow: the first bytes are in memory, the rest is still to be received.
    Streamed(Box<Streamed>),
}

/// Receives a short body of a response whole, so that nothing of a response that breaks reaches the client. Of a
/// longer or slower body, receives only the first bytes, or none where they don't come by `pass_on_by` or within
/// [`BUFFERING_TIMEOUT`]. `None` if the response broke before that.
pub async fn receive_response_body(
    mut body: Incoming,
    memory: &Rc<BodyMemory>,
    pass_on_by: Option<Instant>,
) -> Option<ReceivedBody> {
    let length = body.size_hint().exact();
    let is_long = length.is_some_and(|length| length > MAX_BUFFERED_BYTES as u64);
    let is_short = length.is_some() && !is_long;
    let mut received = match length {
        Some(length) if is_short => BodyQueue::with_length(memory, length as usize),
        _ => BodyQueue::new(memory),
    };
    let buffer_until = Instant::now() + BUFFERING_TIMEOUT;
    let buffer_until = pass_on_by.map_or(buffer_until, |by| by.min(buffer_until));
    loop {
        let frame = if is_short {
            body.frame().await
        } else {
            match timeout_at(buffer_until, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => break,
            }
        };
        match frame {
            None => return Some(ReceivedBody::Buffered(received.take_buffered())),
            Some(Err(_)) => return None,
            Some(Ok(frame)) => {
                let part = frame.into_data().unwrap_or_default();
                received.push(&part, Purpose::ShortBody);
                if !received.may_be_buffered() || (is_long && !received.is_empty()) {
                    break;
                }
            }
        }
    }
    Some(ReceivedBody::Streamed(Box::new(Streamed {
        received,
        incoming: body,
        length,
        timer: Box::pin(sleep(STALL_TIMEOUT)),
        is_waiting: false,
        client_connection: None,
        is_part_by_part: false,
        failure: None,
        on_end: None,
    })))
}

/// A callback for the outcome of a streamed body; dropped without a call if the client disconnects first.
type OnEnd = Box<dyn FnOnce(RequestOutcome)>;

/// The body of a response that is streamed to the client.
pub struct Streamed {
    /// What has been received and not yet passed on.
    received: BodyQueue,
    incoming: Incoming,
    /// Bytes still to be passed on; `None` if the length is unknown.
    length: Option<u64>,
    /// Expires when the server has sent nothing for too long.
    timer: Pin<Box<Sleep>>,
    /// Whether `timer` is set: the node waits for the server.
    is_waiting: bool,
    /// The client's connection, once the body is passed on.
    client_connection: Option<Rc<ConnectionState>>,
    /// Whether each part waits until the connection has taken the last one.
    is_part_by_part: bool,
    /// Why the body broke off, until that may be told to the connection.
    failure: Option<BodyError>,
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

    /// Passes the body on to this connection, together with the head of the response.
    pub fn pass_on_to(&mut self, connection: Rc<ConnectionState>) {
        connection.part_handed_over();
        self.client_connection = Some(connection);
    }

    /// Passes on each part only when the connection has taken the last one, so that the response holds little memory.
    pub fn pass_on_part_by_part(&mut self) {
        self.is_part_by_part = true;
    }

    fn end(&mut self, outcome: RequestOutcome) {
        if let Some(callback) = self.on_end.take() {
            callback(outcome);
        }
    }

    fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if self.is_part_by_part {
            ready!(self.poll_part_taken(cx));
        }
        let part = match self.failure {
            Some(error) => Some(Err(error)),
            None => ready!(self.poll_next(cx)),
        };
        if let Some(Err(error)) = part {
            self.failure = Some(error);
            // At an error the HTTP library ends the connection and drops what it has not written: the client would get
            // nothing of a response whose head was handed over just now.
            ready!(self.poll_part_taken(cx));
        }
        if let Some(connection) = &self.client_connection {
            connection.part_handed_over();
        }
        Poll::Ready(part)
    }

    /// Waits until the socket has taken all that was handed over, the head included.
    fn poll_part_taken(&self, cx: &mut Context<'_>) -> Poll<()> {
        match &self.client_connection {
            Some(connection) => connection.poll_part_taken(cx),
            None => Poll::Ready(()),
        }
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(part) = self.received.pop() {
            return Poll::Ready(Some(Ok(part)));
        }
        loop {
            match Pin::new(&mut self.incoming).poll_frame(cx) {
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(BodyError::Broken))),
                Poll::Ready(Some(Ok(frame))) => {
                    self.is_waiting = false;
                    match frame.into_data() {
                        // A copy, as the part would keep the whole buffer in which it was read.
                        Ok(part) if !part.is_empty() => {
                            return Poll::Ready(Some(Ok(Bytes::copy_from_slice(&part))))
                        }
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

impl ResponseBody {
    /// Takes the reservation of a body that is held whole: its bytes are held until the client has taken them, longer than
    /// the body itself.
    pub fn take_reservations(&mut self) -> Vec<MemoryReservation> {
        match self {
            ResponseBody::Buffered(buffered) => buffered.take_reservations(),
            ResponseBody::Streamed(_) => Vec::new(),
        }
    }
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
                let part = ready!(streamed.poll_part(cx));
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
