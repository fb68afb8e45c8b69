//! Steps of the reaction of a raw worker to a request.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

/// A step of the reaction of a [`RawWorker`](super::RawWorker) to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RawStep {
    /// Reads the rest of the request's body.
    ReadBody,
    /// Writes the bytes.
    Write(Bytes),
    /// Writes the bytes that the function returns at that time.
    WriteLate(LateBytes),
    /// Waits.
    Pause(Duration),
    /// Writes the bytes again and again, with a pause after each time, until the node closes the
    /// connection.
    Repeat(Bytes, Duration),
    /// Closes the connection.
    Close,
}

/// Bytes that are decided when they are written. Two of them are equal if they are clones.
#[derive(Clone)]
pub struct LateBytes(Arc<dyn Fn() -> Bytes + Send + Sync>);

impl LateBytes {
    /// Creates bytes that `decide` returns when they are written.
    pub fn new(decide: impl Fn() -> Bytes + Send + Sync + 'static) -> Self {
        Self(Arc::new(decide))
    }

    /// Returns the bytes to write now.
    pub(super) fn decide(&self) -> Bytes {
        (self.0)()
    }
}

impl fmt::Debug for LateBytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LateBytes").finish_non_exhaustive()
    }
}

impl PartialEq for LateBytes {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

impl Eq for LateBytes {}
