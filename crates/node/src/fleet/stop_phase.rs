//! The phases of a graceful stop.

/// Phase of a graceful stop; later phases compare greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// No stop has been requested.
    Serving,
    /// The node reports that it is not ready. Requests that still arrive are answered. An answer
    /// behind which no request of its connection is in progress has `connection: close`.
    Draining,
    /// No new connections are accepted, and no request starts behind another one of its
    /// connection; requests in progress run to their end.
    Closing,
}
