//! What is wrong with announcements.

use serde::{Deserialize, Serialize};

/// What is wrong with announcements; a field that is left out is right.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AnnouncementFault {
    /// Announces this state, whatever the state is.
    pub state: Option<String>,
    /// Announces this load, whatever the load is.
    pub load: Option<usize>,
    /// Announces the state and load of this many milliseconds ago.
    pub lag_ms: u64,
}
