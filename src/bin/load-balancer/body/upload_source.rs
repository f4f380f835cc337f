//! The client's side of a request's body: its parts as they come, within the time that the client has for them.

use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use tokio::time::{sleep_until, Instant, Sleep};

use super::{BodyError, MAX_BODY_BYTES};
use crate::write_stall::{time_at_min_rate, STALL_TIMEOUT};

/// Longest total wait for a client's body, in addition to the time that the bytes received so far take at the
/// minimum rate. A client that sends no complete request must get an error or a close within 3 s.
const UPLOAD_GRACE: Duration = Duration::from_millis(2_600);
/// Most parts that are received in one turn, so that a body of many small parts doesn't keep other tasks waiting.
const MAX_PARTS_PER_TURN: u32 = 32;

/// The client's side of an upload.
pub(super) struct UploadSource {
    incoming: Incoming,
    pub(super) received_bytes: u64,
    /// How long the node has waited for the client in total, without the current wait.
    total_wait: Duration,
    /// When the current wait began; `None` while the node does not wait for the client.
    waiting_since: Option<Instant>,
    /// Expires when the current wait has been too long.
    timer: Pin<Box<Sleep>>,
    /// Parts received since the client's task last ran other work.
    parts_in_turn: u32,
}

impl UploadSource {
    pub(super) fn new(incoming: Incoming, waiting_since: Instant) -> Self {
        let now = Instant::now();
        UploadSource {
            incoming,
            received_bytes: 0,
            total_wait: now - waiting_since,
            waiting_since: None,
            timer: Box::pin(sleep_until(now)),
            parts_in_turn: 0,
        }
    }

    /// Polls the client's connection for the next part; `None` at the end of the body.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BodyError>> {
        if self.parts_in_turn >= MAX_PARTS_PER_TURN {
            self.parts_in_turn = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.incoming).poll_frame(cx) else {
                self.parts_in_turn = 0;
                return self.poll_timeout(cx);
            };
            self.parts_in_turn += 1;
            if let Some(since) = self.waiting_since.take() {
                self.total_wait += since.elapsed();
            }
            match frame {
                None => return Poll::Ready(Ok(None)),
                Some(Err(_)) => return Poll::Ready(Err(BodyError::Broken)),
                // Trailers are not forwarded.
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(part) if !part.is_empty() => return Poll::Ready(self.count(part)),
                    _ => continue,
                },
            }
        }
    }

    /// Whether the node waits for the client, as nothing more has arrived.
    pub(super) fn is_waiting(&self) -> bool {
        self.waiting_since.is_some()
    }

    fn count(&mut self, part: Bytes) -> Result<Option<Bytes>, BodyError> {
        self.received_bytes += part.len() as u64;
        if self.received_bytes > MAX_BODY_BYTES {
            return Err(BodyError::TooLong);
        }
        Ok(Some(part))
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
        ready!(self.timer.as_mut().poll(cx));
        Poll::Ready(Err(BodyError::TooSlow))
    }
}
