//! Reads request bodies with a known length or in chunks.

use almondsail_core::units::ByteCount;
use bytes::{Buf as _, BytesMut};
use http::header::{self, HeaderMap};

use crate::fleet::http1::body_reservation::BodyReservation;
use crate::fleet::http1::held_body::HeldBody;
use crate::fleet::http1::request_error::RequestError;

/// Length limit of the line that begins a chunk.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Size limit of the trailer section, which is discarded.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// Reads the body of one request incrementally from a buffer.
#[derive(Debug)]
pub(crate) struct BodyReader {
    state: State,
    body: BytesMut,
    /// Covers the bytes of `body`.
    reservation: BodyReservation,
    limit: usize,
}

#[derive(Debug, Clone, Copy)]
enum State {
    /// A body of known length, of which this many bytes are missing.
    Length(usize),
    /// Expects the line that begins a chunk.
    ChunkLine,
    /// Expects this many bytes of a chunk, then the line end after it.
    Chunk(usize),
    /// Expects the trailer section and the empty line that ends it.
    Trailer,
}

/// How far a body was read.
#[derive(Debug)]
pub(crate) enum BodyProgress {
    Complete(HeldBody),
    /// The reader waits for further bytes.
    Incomplete(BodyReader),
}

impl BodyReader {
    /// Creates a reader of the body that `headers` announce, whose bytes count in `reservation`.
    /// Fails if the body exceeds `limit` bytes or if its length is ambiguous.
    pub(crate) fn new(
        headers: &HeaderMap,
        limit: usize,
        reservation: BodyReservation,
    ) -> Result<Self, RequestError> {
        let state = match (content_length(headers)?, is_chunked(headers)?) {
            (Some(_), true) => return Err(RequestError::Malformed),
            (_, true) => State::ChunkLine,
            (length, false) => State::Length(length.unwrap_or(0)),
        };
        if let State::Length(length) = state
            && length > limit
        {
            return Err(RequestError::BodyTooLarge);
        }
        Ok(Self { state, body: BytesMut::new(), reservation, limit })
    }

    /// Returns the number of bytes that the body has at least, by its framing so far.
    pub(crate) fn min_length(&self) -> usize {
        match self.state {
            State::Length(left) | State::Chunk(left) => self.body.len() + left,
            State::ChunkLine | State::Trailer => self.body.len(),
        }
    }

    /// Consumes the bytes of the body that `buf` holds.
    pub(crate) fn read(mut self, buf: &mut BytesMut) -> Result<BodyProgress, RequestError> {
        loop {
            match self.state {
                State::Length(left) => {
                    let left = left - self.take(buf, left)?;
                    self.state = State::Length(left);
                    return Ok(if left == 0 { self.complete() } else { self.incomplete() });
                }
                State::ChunkLine => match httparse::parse_chunk_size(buf) {
                    Ok(httparse::Status::Complete((line, size))) => {
                        buf.advance(line);
                        self.begin_chunk(size)?;
                    }
                    Ok(httparse::Status::Partial) if buf.len() <= MAX_CHUNK_LINE_BYTES => {
                        return Ok(self.incomplete());
                    }
                    _ => return Err(RequestError::Malformed),
                },
                State::Chunk(0) => {
                    let Some(end) = buf.get(..2) else { return Ok(self.incomplete()) };
                    if end != b"\r\n" {
                        return Err(RequestError::Malformed);
                    }
                    buf.advance(2);
                    self.state = State::ChunkLine;
                }
                State::Chunk(left) => {
                    let taken = self.take(buf, left)?;
                    if taken == 0 {
                        return Ok(self.incomplete());
                    }
                    self.state = State::Chunk(left - taken);
                }
                State::Trailer => return self.skip_trailer(buf),
            }
        }
    }

    fn complete(self) -> BodyProgress {
        let Self { body, reservation, .. } = self;
        BodyProgress::Complete(HeldBody { bytes: body.freeze(), reservation })
    }

    const fn incomplete(self) -> BodyProgress {
        BodyProgress::Incomplete(self)
    }

    fn begin_chunk(&mut self, size: u64) -> Result<(), RequestError> {
        let size = usize::try_from(size).map_err(|_| RequestError::BodyTooLarge)?;
        if size > self.limit - self.body.len() {
            return Err(RequestError::BodyTooLarge);
        }
        self.state = if size == 0 { State::Trailer } else { State::Chunk(size) };
        Ok(())
    }

    fn skip_trailer(self, buf: &mut BytesMut) -> Result<BodyProgress, RequestError> {
        let end = if buf.starts_with(b"\r\n") {
            Some(2)
        } else {
            buf.windows(4).position(|window| window == b"\r\n\r\n").map(|at| at + 4)
        };
        match end {
            Some(end) => {
                buf.advance(end);
                Ok(self.complete())
            }
            None if buf.len() > MAX_TRAILER_BYTES => Err(RequestError::HeadTooLarge),
            None => Ok(self.incomplete()),
        }
    }

    /// Moves up to `most` bytes from `buf` into the body and returns their number.
    fn take(&mut self, buf: &mut BytesMut, most: usize) -> Result<usize, RequestError> {
        let n = buf.len().min(most);
        if n > self.limit - self.body.len() {
            return Err(RequestError::BodyTooLarge);
        }
        if !self.reservation.try_grow(ByteCount::new(n as u64)) {
            return Err(RequestError::NoMemory);
        }
        self.body.unsplit(buf.split_to(n));
        Ok(n)
    }
}

/// Parses `content-length`; an error if it is malformed or several values differ.
fn content_length(headers: &HeaderMap) -> Result<Option<usize>, RequestError> {
    let mut length = None;
    for value in headers.get_all(header::CONTENT_LENGTH) {
        let is_digits = value.as_bytes().iter().all(u8::is_ascii_digit);
        let parsed = value.to_str().ok().filter(|_| is_digits).and_then(|text| text.parse().ok());
        let parsed: usize = parsed.ok_or(RequestError::Malformed)?;
        if length.is_some_and(|length| length != parsed) {
            return Err(RequestError::Malformed);
        }
        length = Some(parsed);
    }
    Ok(length)
}

/// Returns whether the body is chunked; an error for every other transfer encoding.
fn is_chunked(headers: &HeaderMap) -> Result<bool, RequestError> {
    let mut values = headers.get_all(header::TRANSFER_ENCODING).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(false),
        (Some(value), None) if value.as_bytes().eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(RequestError::Malformed),
    }
}
