//! False values in the announcements of a backend server.

use serde::{Deserialize, Serialize};

/// False values in the announcements of a backend server; none by default.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AnnouncementFault {
    /// The state to announce instead of the true one; ignored unless it is a known state.
    pub state: Option<String>,
    /// The number of calls to announce instead of the true load.
    pub load: Option<usize>,
    /// The age in milliseconds of the state and load that are announced.
    pub lag_ms: u64,
}
