//! Origin of a stop mark.

use std::sync::Arc;

use crate::ids::ConfigVersion;
use crate::units::Instant;

/// Maximum length of a reason in bytes, less than a configuration allows.
const MAX_REASON_BYTES: usize = 256;

/// The reason for a stop mark, and when it was set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StopOrigin {
    /// Configuration version in force on the node that set the mark.
    pub(crate) config_version: ConfigVersion,
    /// Reason for the stop, in one sentence.
    pub(crate) reason: Arc<str>,
    /// When this node received the mark.
    pub(crate) received: Instant,
}

impl StopOrigin {
    /// Creates an origin. Removes control characters from `reason` and truncates it, so that a
    /// configuration accepts it.
    pub(crate) fn new(config_version: ConfigVersion, reason: &str, received: Instant) -> Self {
        let mut reason: String = reason.chars().filter(|c| !c.is_control()).collect();
        while reason.len() > MAX_REASON_BYTES {
            reason.pop();
        }
        Self { config_version, reason: reason.into(), received }
    }
}
