//! Bodies that the testbed sends, with padding that is not held in memory, and the reading of bodies.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::mpsc;

/// Padding of a long body, sent as often as needed.
static PADDING: [u8; 32 << 10] = [b'.'; 32 << 10];

/// A body that starts with some bytes and is padded to a length.
pub struct Filled {
    head: Option<Bytes>,
    padding_left: usize,
}

impl Filled {
    /// A body of `length` bytes, or of the length of `head` if that is longer.
    pub fn new(head: impl Into<Bytes>, length: usize) -> Filled {
        let head = head.into();
        Filled {
            padding_left: length.saturating_sub(head.len()),
            head: Some(head).filter(|head| !head.is_empty()),
        }
    }
}

impl Body for Filled {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if let Some(head) = self.head.take() {
            return Poll::Ready(Some(Ok(Frame::data(head))));
        }
        let length = self.padding_left.min(PADDING.len());
        self.padding_left -= length;
        Poll::Ready((length > 0).then(|| Ok(Frame::data(Bytes::from_static(&PADDING[..length])))))
    }

    fn is_end_stream(&self) -> bool {
        self.head.is_none() && self.padding_left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact((self.head.as_ref().map_or(0, Bytes::len) + self.padding_left) as u64)
    }
}

/// A body that streams the lines received from a channel until its sender is dropped.
pub struct Lines(pub mpsc::Receiver<Bytes>);

impl Body for Lines {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0
            .poll_recv(cx)
            .map(|line| line.map(|line| Ok(Frame::data(line))))
    }
}

/// A body that was read: its first bytes and its total length.
#[derive(Debug, Default)]
pub struct ReadBody {
    pub head: Vec<u8>,
    pub length: usize,
}

/// Reads a body to its end and keeps at most its first `keep` bytes.
pub async fn read_body(mut body: Incoming, keep: usize) -> Result<ReadBody, hyper::Error> {
    let mut result = ReadBody::default();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            let wanted = keep.saturating_sub(result.head.len()).min(data.len());
            result.head.extend_from_slice(&data[..wanted]);
            result.length += data.len();
        }
    }
    Ok(result)
}
