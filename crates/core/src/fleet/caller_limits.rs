//! The limits of what a caller may send.

use crate::units::{ByteCount, Millis};

/// The limits of what a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head of a request.
    pub header: ByteCount,
    /// The largest body of a request.
    pub body: ByteCount,
    /// How long a caller may take to send a head.
    pub header_time: Millis,
    /// How long a connection may stay idle.
    pub idle_time: Millis,
}

impl Default for CallerLimits {
    /// The limits before a configuration is known.
    fn default() -> Self {
        Self {
            header: ByteCount::new(16 * 1024),
            body: ByteCount::new(1024 * 1024),
            header_time: Millis::new(3_000),
            idle_time: Millis::new(15_000),
        }
    }
}
