//! The links of a node.

use crate::ids::NodeId;

/// The nodes with which a node exchanges messages, chosen by their places on the ring.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Links {
    /// The nodes at the distances 1, 2, 3 and 2^i after this node. Without
    /// duplicates and without this node itself.
    pub outgoing: Vec<NodeId>,
    /// The nodes for which this node is at such a distance.
    pub incoming: Vec<NodeId>,
}

impl Links {
    /// The links of the node at `index` of `ring`, the live nodes in ring order.
    pub fn of(ring: &[&NodeId], index: usize) -> Self {
        let len = ring.len();
        let distances = distances(len);
        let at = |place: usize| ring[place % len].clone();
        Self {
            outgoing: distances.iter().map(|distance| at(index + distance)).collect(),
            incoming: distances.iter().map(|distance| at(index + len - distance)).collect(),
        }
    }

    /// Every node that is a link in either direction, each once.
    pub fn both(&self) -> Vec<NodeId> {
        let mut all: Vec<NodeId> = self.outgoing.iter().chain(&self.incoming).cloned().collect();
        all.sort();
        all.dedup();
        all
    }
}

/// The distances of links on a ring of `len` nodes, all less than `len`.
fn distances(len: usize) -> Vec<usize> {
    let powers = (2..usize::BITS).map(|exponent| 1_usize << exponent);
    [1, 2, 3].into_iter().chain(powers).take_while(|distance| *distance < len).collect()
}
