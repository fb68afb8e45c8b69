//! Steps of the reaction of a raw worker to a request.

use std::time::Duration;

use bytes::Bytes;

/// A step of the reaction of a [`RawWorker`](super::RawWorker) to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RawStep {
    /// Reads the rest of the request's body.
    ReadBody,
    /// Writes the bytes.
    Write(Bytes),
    /// Waits.
    Pause(Duration),
    /// Writes the bytes again and again, with a pause after each time, until the node closes the
    /// connection.
    Repeat(Bytes, Duration),
    /// Closes the connection.
    Close,
}
