//! An accepted change in the history of the configuration.

use std::sync::Arc;

use crate::ids::{ConfigVersion, OperatorName, ServiceName, WriteId};
use crate::units::UnixMillis;

/// Number of history entries that a configuration carries at most.
///
/// The history lets a writer whose answer was lost find its write id after
/// later writes, and keeps the configuration well under the store's 1 MB.
pub const MAX_HISTORY_ENTRIES: usize = 64;

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HistoryEntry {
    /// The version that the change made.
    pub version: ConfigVersion,
    /// The id of the write.
    pub write_id: WriteId,
    /// When the change was accepted.
    pub at: UnixMillis,
    /// The one service that the change concerned; `None` if it may concern several.
    pub service: Option<ServiceName>,
    /// Who asked for it.
    pub operator: OperatorName,
    /// What was asked for, in one sentence without line breaks.
    pub summary: Arc<str>,
}
