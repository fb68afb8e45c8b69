//! Where a stop mark comes from.

use std::sync::Arc;

use crate::ids::ConfigVersion;
use crate::units::Instant;

/// Number of bytes of a reason at most; less than a configuration allows.
const MAX_REASON_BYTES: usize = 256;

/// Why and when a mark was set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StopOrigin {
    /// The configuration version in force where it was set.
    pub(crate) since: ConfigVersion,
    /// Why, in one sentence.
    pub(crate) reason: Arc<str>,
    /// When this node learnt of it.
    pub(crate) received: Instant,
}

impl StopOrigin {
    /// The origin of marks set by `reason`, which is cut to what a configuration may hold.
    pub(crate) fn new(since: ConfigVersion, reason: &str, received: Instant) -> Self {
        let mut reason: String = reason.chars().filter(|c| !c.is_control()).collect();
        while reason.len() > MAX_REASON_BYTES {
            reason.pop();
        }
        Self { since, reason: reason.into(), received }
    }
}
