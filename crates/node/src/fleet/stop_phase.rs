//! The phases of a graceful stop.

/// Phase of a graceful stop; later phases compare greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// No stop has been requested.
    Serving,
    /// The node reports that it is not ready. Requests that still arrive are answered with
    /// `connection: close`, so that callers send no further ones on the connection.
    Draining,
    /// No new connections are accepted; requests in progress run to their end.
    Closing,
}
