//! Bodies on their way through the node.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::stream::Progress;

/// A request's body on its way to a server; tells when its last part is handed on.
pub struct Outgoing {
    body: Bytes,
    progress: Rc<Progress>,
}

impl Outgoing {
    pub fn new(body: Bytes, progress: Rc<Progress>) -> Self {
        Outgoing { body, progress }
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let body = std::mem::take(&mut self.body);
        self.progress.hand();
        Poll::Ready((!body.is_empty()).then(|| Ok(Frame::data(body))))
    }

    /// Asked by the connection when it takes the head, and after each part.
    fn is_end_stream(&self) -> bool {
        if self.body.is_empty() {
            self.progress.hand();
        }
        self.body.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.body.len() as u64)
    }
}
