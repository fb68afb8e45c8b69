//! The body of an answer to send, complete or truncated.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// The body of an answer to send, complete or truncated by an injected fault.
#[derive(Debug)]
pub struct ReplyBody {
    /// The bytes that are not sent yet.
    data: Option<Bytes>,
    /// Number of bytes that count towards `content-length` but are never sent.
    missing_bytes: u64,
}

impl ReplyBody {
    /// Creates a body that is sent completely.
    pub fn complete(bytes: impl Into<Bytes>) -> Self {
        Self { data: Some(bytes.into()), missing_bytes: 0 }
    }

    /// Creates a body that announces the length of `bytes`, sends the first half and
    /// then breaks the connection.
    pub fn truncated(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        let kept = bytes.len() / 2;
        Self { missing_bytes: (bytes.len() - kept) as u64, data: Some(bytes.slice(..kept)) }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.data.take() {
            Some(data) if !data.is_empty() => Poll::Ready(Some(Ok(Frame::data(data)))),
            _ if self.missing_bytes > 0 => {
                self.missing_bytes = 0;
                Poll::Ready(Some(Err(io::Error::other("truncated by a fault"))))
            }
            _ => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.missing_bytes == 0 && self.data.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.as_ref().map_or(0, Bytes::len) as u64 + self.missing_bytes)
    }
}
