//! The body of an answer, which a fault may cut short.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// The body of an answer, which a fault may cut short.
#[derive(Debug)]
pub struct ReplyBody {
    /// Taken when it has been sent.
    part: Option<Bytes>,
    /// Bytes that are announced but never sent.
    missing: u64,
}

impl ReplyBody {
    /// A complete body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self { part: Some(bytes.into()), missing: 0 }
    }

    /// Announces all of `bytes`, sends the first half and breaks the connection.
    pub fn truncated(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        let kept = bytes.len() / 2;
        Self { missing: (bytes.len() - kept) as u64, part: Some(bytes.slice(..kept)) }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.part.take() {
            Some(part) if !part.is_empty() => Poll::Ready(Some(Ok(Frame::data(part)))),
            _ if self.missing > 0 => {
                self.missing = 0;
                Poll::Ready(Some(Err(io::Error::other("truncated by a fault"))))
            }
            _ => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.missing == 0 && self.part.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.part.as_ref().map_or(0, Bytes::len) as u64 + self.missing)
    }
}
