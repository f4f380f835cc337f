//! Owns the bodies that the lab sends, long ones without keeping them, and what of a body it reads back.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::mpsc;

/// What a long body is made of.
static BLOCK: [u8; 32 << 10] = [b'.'; 32 << 10];

/// A body that begins with some bytes and is filled up to a length.
pub struct Filled {
    head: Option<Bytes>,
    left: usize,
}

impl Filled {
    /// `length` bytes, or as many as `head` has.
    pub fn new(head: impl Into<Bytes>, length: usize) -> Filled {
        let head = head.into();
        Filled {
            left: length.saturating_sub(head.len()),
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
        let part = self.left.min(BLOCK.len());
        self.left -= part;
        Poll::Ready((part > 0).then(|| Ok(Frame::data(Bytes::from_static(&BLOCK[..part])))))
    }

    fn is_end_stream(&self) -> bool {
        self.head.is_none() && self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact((self.head.as_ref().map_or(0, Bytes::len) + self.left) as u64)
    }
}

/// A body that goes on as long as its sender gives it lines.
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

/// What is left of a body that was read: its first bytes and its length.
#[derive(Debug, Default)]
pub struct Read {
    pub head: Vec<u8>,
    pub length: usize,
}

/// Reads a body to its end and keeps its first `keep` bytes.
pub async fn read(mut body: Incoming, keep: usize) -> Result<Read, hyper::Error> {
    let mut read = Read::default();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            let wanted = keep.saturating_sub(read.head.len()).min(data.len());
            read.head.extend_from_slice(&data[..wanted]);
            read.length += data.len();
        }
    }
    Ok(read)
}
