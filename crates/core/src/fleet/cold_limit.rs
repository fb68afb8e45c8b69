//! Limits on the calls of cold backend servers.

use crate::units::{CallRate, Millis};

/// The calls that a backend server of a service can take while it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdLimit {
    /// The rate of calls that a cold server can take; above zero. A higher rate crashes it.
    pub rate: CallRate,
    /// How long a server is cold after its start.
    pub duration: Millis,
}
