//! What a node does to follow the operator's keys of the store.

use std::fmt;

/// What a node does to follow the operator's keys of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StoreRole {
    /// The node hears of changes from others.
    #[default]
    Follower,
    /// The node watches the store for its data centre.
    Watcher,
    /// The node watches the store in short intervals for the whole fleet.
    Leader,
}

impl StoreRole {
    /// Returns the name of the role in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Follower => "follower",
            Self::Watcher => "watcher",
            Self::Leader => "leader",
        }
    }
}

impl fmt::Display for StoreRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
