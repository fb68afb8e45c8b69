//! Short names of nodes in digests.

use std::fmt;
use std::str::FromStr;

use crate::ids::{Incarnation, NodeId, ParseIdError};
use crate::peers::hash::{hash_text, mix};

/// Identifies one start of a node in a [`NodeDigest`](crate::fleet::NodeDigest), written as 16
/// hexadecimal digits. Shorter than the node's id, and different for each start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeKey(u64);

impl NodeKey {
    /// Creates the key with the number `n`.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// Returns the key of the start `incarnation` of `node`.
    pub fn of(node: &NodeId, incarnation: Incarnation) -> Self {
        Self(mix(hash_text(node.as_str()) ^ mix(incarnation.get())))
    }

    /// Returns the number of the key.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for NodeKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for NodeKey {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let is_key = s.len() == 16 && s.bytes().all(|b| b.is_ascii_hexdigit());
        let key = u64::from_str_radix(s, 16).ok().filter(|_| is_key);
        key.map(Self).ok_or_else(|| ParseIdError::new("node key", s, "16 hexadecimal digits"))
    }
}
