//! Limits on the requests of callers.

use crate::units::{ByteCount, Millis};

/// Limits on the size of callers' requests and on the time that callers may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest size of a request's head.
    pub header: ByteCount,
    /// The largest size of a request's body.
    pub body: ByteCount,
    /// How long a caller may take to send the head of a request.
    pub header_timeout: Millis,
    /// How long a caller's connection may stay idle.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    /// Returns the limits that apply before a configuration is known.
    fn default() -> Self {
        Self {
            header: ByteCount::new(16 * 1024),
            body: ByteCount::new(1024 * 1024),
            header_timeout: Millis::new(3_000),
            idle_timeout: Millis::new(15_000),
        }
    }
}
