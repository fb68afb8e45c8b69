//! An accepted change in the history of the configuration.

use std::sync::Arc;

use crate::ids::{ConfigVersion, OperatorName, ServiceName, WriteId};
use crate::units::UnixMillis;

/// Maximum number of history entries in a configuration.
///
/// The history lets a writer whose answer was lost find its write id after later
/// writes. The limit keeps the configuration well under the store's value limit of 1 MB.
pub const MAX_HISTORY_ENTRIES: usize = 64;

/// An accepted change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HistoryEntry {
    /// The configuration version that the change created.
    pub version: ConfigVersion,
    /// The id of the store write, by which a writer recognises its own change.
    pub write_id: WriteId,
    /// When the change was accepted, by the wall clock of the node that wrote it.
    pub at: UnixMillis,
    /// The one service that the change concerns; `None` if it may concern several.
    pub service: Option<ServiceName>,
    /// The operator who requested the change.
    pub operator: OperatorName,
    /// A description of the change in one sentence without line breaks.
    pub summary: Arc<str>,
}
