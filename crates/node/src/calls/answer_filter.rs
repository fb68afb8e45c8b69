//! Removes answers to earlier requests from the bytes that a next hop writes.

use std::collections::VecDeque;

use bytes::{Buf as _, BytesMut};
use http::header::{HeaderName, HeaderValue};
use tokio::io::ReadBuf;

use crate::calls::answer_head::AnswerHead;

/// Passes on the bytes that a next hop writes, without whole answers to earlier requests.
///
/// A server may write an earlier answer once more when the next request is already under way. An
/// HTTP client would take it for the answer to that request and fail it, though the server runs it.
/// Only an answer of known length that names an earlier request of the connection is removed.
/// Whatever else precedes the awaited answer is passed on, as the awaited one may never come.
#[derive(Debug, Default)]
pub(crate) struct AnswerFilter {
    state: State,
    /// Bytes that are passed on next.
    checked: BytesMut,
    /// The last requests of the connection, at most `MAX_REQUESTS`; the newest one is awaited.
    requests: VecDeque<HeaderValue>,
    has_removed: bool,
}

#[derive(Debug, Default)]
enum State {
    /// No answer is awaited, or its head was found: all bytes are passed on.
    #[default]
    Passing,
    /// The head of an answer is read; holds the header with the id, and what arrived of the head.
    Head(HeaderName, BytesMut),
    /// The body of an earlier answer is removed; holds the number of bytes that are left of it.
    EarlierBody(HeaderName, u64),
}

impl AnswerFilter {
    /// The longest head that is checked, in bytes; a longer one is passed on.
    const MAX_HEAD: usize = 64 * 1024;
    /// The number of requests whose answers are recognised.
    const MAX_REQUESTS: usize = 8;

    /// Begins to remove answers to earlier requests, until the answer to the request `id` arrives.
    /// `header` has the id of the request in an answer.
    pub(crate) fn expect(&mut self, header: HeaderName, id: HeaderValue) {
        if self.requests.len() == Self::MAX_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back(id);
        self.state = State::Head(header, BytesMut::new());
    }

    /// Returns whether all bytes that arrive are passed on unchecked.
    pub(crate) const fn is_passing(&self) -> bool {
        matches!(self.state, State::Passing)
    }

    /// Returns whether an answer to an earlier request was removed.
    pub(crate) const fn has_removed(&self) -> bool {
        self.has_removed
    }

    /// Returns whether bytes are ready to be passed on.
    pub(crate) fn has_checked(&self) -> bool {
        !self.checked.is_empty()
    }

    /// Moves the bytes that are ready to `buf`, as far as it has room.
    pub(crate) fn take_checked(&mut self, buf: &mut ReadBuf<'_>) {
        let length = self.checked.len().min(buf.remaining());
        buf.put_slice(&self.checked.split_to(length));
    }

    /// Passes on the incomplete head, because the connection has ended.
    pub(crate) fn end(&mut self) {
        if let State::Head(_, received) = std::mem::take(&mut self.state) {
            self.checked.unsplit(received);
        }
    }

    /// Checks `bytes` that arrived.
    pub(crate) fn receive(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            self.state = match std::mem::take(&mut self.state) {
                State::Passing => {
                    self.checked.extend_from_slice(bytes);
                    return;
                }
                State::EarlierBody(header, left) => {
                    let removed = bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    bytes.advance(removed);
                    match left - removed as u64 {
                        0 => State::Head(header, BytesMut::new()),
                        left => State::EarlierBody(header, left),
                    }
                }
                State::Head(header, received) => {
                    let (state, rest) = self.receive_head(header, received, bytes);
                    bytes = rest;
                    state
                }
            };
        }
    }

    /// Adds the part of `bytes` that belongs to the head. Returns the next state and the rest.
    fn receive_head<'a>(
        &mut self,
        header: HeaderName,
        mut received: BytesMut,
        bytes: &'a [u8],
    ) -> (State, &'a [u8]) {
        let before = received.len();
        received.extend_from_slice(bytes);
        let Some(length) = head_length(&received, before) else {
            if received.len() <= Self::MAX_HEAD {
                return (State::Head(header, received), &[]);
            }
            self.checked.unsplit(received);
            return (State::Passing, &[]);
        };
        received.truncate(length);
        let rest = &bytes[length - before..];
        let state = match AnswerHead::parse(&received, &header, self.earlier_requests()) {
            AnswerHead::Earlier { body_length } => {
                self.has_removed = true;
                return (State::EarlierBody(header, body_length).skip_empty(), rest);
            }
            AnswerHead::Informational => State::Head(header, BytesMut::new()),
            AnswerHead::Other => State::Passing,
        };
        self.checked.unsplit(received);
        (state, rest)
    }

    /// Returns the requests before the awaited one that had other ids.
    fn earlier_requests(&self) -> impl Iterator<Item = &HeaderValue> {
        let awaited = self.requests.back();
        self.requests.iter().filter(move |id| Some(*id) != awaited)
    }
}

impl State {
    /// Returns the state after an earlier body that has no bytes left.
    fn skip_empty(self) -> Self {
        match self {
            Self::EarlierBody(header, 0) => Self::Head(header, BytesMut::new()),
            state => state,
        }
    }
}

/// Returns the length of the head at the start of `received`, with the empty line at its end; `None`
/// if it is incomplete. No head ends within the first `checked` bytes.
fn head_length(received: &[u8], checked: usize) -> Option<usize> {
    const END: &[u8] = b"\r\n\r\n";
    let start = checked.saturating_sub(END.len() - 1);
    let at = received[start..].windows(END.len()).position(|bytes| bytes == END)?;
    Some(start + at + END.len())
}
