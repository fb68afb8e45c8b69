//! The phases of a planned stop.

/// The phases of a planned stop, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// No stop was asked for.
    Serving,
    /// Not ready any more; requests that still come are answered, and each answer asks its
    /// caller to open no further request on the connection.
    Draining,
    /// No connection is accepted; what is under way is finished.
    Closing,
}
