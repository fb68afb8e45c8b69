//! Replies of the store.

use std::fmt;

use crate::fleet::{ItemChange, LeaseId, StoreItem, StoreKey};
use crate::store::Revision;

/// The reply to a request that the store carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// A page of items.
    Items {
        /// The items.
        items: Vec<StoreItem>,
        /// The key after which the next page begins, if there is one.
        next: Option<StoreKey>,
        /// The store's revision.
        as_of: Revision,
    },
    /// Changes since the revision of a watch.
    Changes(Vec<ItemChange>, Revision),
    /// A lease was opened or renewed.
    Lease(LeaseId),
    /// A write took effect.
    Written(Revision),
}

/// Why the store gave no such reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StoreFailure {
    /// No answer came. The request may have taken effect, or may yet.
    Unanswered,
    /// The store refused the request; nothing was done.
    Refused,
    /// The changes since the revision are no longer known.
    HistoryLost,
    /// A condition of the write does not hold.
    Conflict,
    /// The lease has ended.
    NoLease,
    /// The answer can't be read.
    Unreadable,
}

impl StoreFailure {
    /// The failure's text in logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unanswered => "unanswered",
            Self::Refused => "refused",
            Self::HistoryLost => "history_lost",
            Self::Conflict => "conflict",
            Self::NoLease => "no_lease",
            Self::Unreadable => "unreadable",
        }
    }
}

impl fmt::Display for StoreFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
