//! Rendezvous hashing, which ranks nodes for a key.

use crate::ids::NodeId;
use crate::peers::hash::{hash_text, mix};

/// Returns the nodes of `candidates` that rank first for `key`, at most `count`, best first.
///
/// Nodes that know the same candidates get the same result, and the loss of a candidate moves
/// only the keys for which it ranked.
///
/// ```
/// use almondsail_core::ids::NodeId;
/// use almondsail_core::peers::rank;
///
/// let nodes: Vec<NodeId> = vec!["a".parse()?, "b".parse()?, "c".parse()?];
/// assert_eq!(rank("reader", nodes.iter(), 2).len(), 2);
/// # Ok::<(), almondsail_core::ids::ParseIdError>(())
/// ```
pub fn rank<'a>(
    key: &str,
    candidates: impl Iterator<Item = &'a NodeId>,
    count: usize,
) -> Vec<&'a NodeId> {
    rank_positions(key, candidates.map(|id| (hash_text(id.as_str()), id)), count)
}

/// Ranks nodes like [`rank`], from their known ring positions.
pub(crate) fn rank_positions<'a>(
    key: &str,
    candidates: impl Iterator<Item = (u64, &'a NodeId)>,
    count: usize,
) -> Vec<&'a NodeId> {
    let key = hash_text(key);
    let mut best: Vec<(u64, &NodeId)> = Vec::with_capacity(count + 1);
    for (position, id) in candidates {
        let score = (mix(position ^ key), id);
        let insert_at = best.partition_point(|other| *other > score);
        if insert_at < count {
            best.insert(insert_at, score);
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, id)| id).collect()
}
