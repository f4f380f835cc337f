//! A request's body on its way to a server.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::{BodyError, BufferedBody, Upload};
use crate::stream::RequestProgress;

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
            OutgoingSource::Streaming(upload) => ready!(upload.poll_outgoing(cx)),
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
            OutgoingSource::Streaming(upload) => upload.size_hint(),
        }
    }
}
