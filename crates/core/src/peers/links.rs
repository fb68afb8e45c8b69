//! Links of a node on the ring.

use crate::ids::NodeId;

/// The nodes with which a node exchanges messages, chosen by their positions on the ring.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Links {
    /// Nodes at the distances 1, 2, 3 and powers of two from 4 after this node, without
    /// duplicates and without this node itself.
    pub outgoing: Vec<NodeId>,
    /// Nodes that have this node among their outgoing links.
    pub incoming: Vec<NodeId>,
}

impl Links {
    /// Returns the links of the node at `index` in `ring`, which lists the nodes in ring order.
    pub fn of(ring: &[&NodeId], index: usize) -> Self {
        let len = ring.len();
        let distances = distances(len);
        let at = |place: usize| ring[place % len].clone();
        Self {
            outgoing: distances.iter().map(|distance| at(index + distance)).collect(),
            incoming: distances.iter().map(|distance| at(index + len - distance)).collect(),
        }
    }

    /// Returns the links in either direction, sorted and without duplicates.
    pub fn both(&self) -> Vec<NodeId> {
        let mut all: Vec<NodeId> = self.outgoing.iter().chain(&self.incoming).cloned().collect();
        all.sort();
        all.dedup();
        all
    }
}

/// Returns the distances of links on a ring of `len` nodes, all less than `len`.
fn distances(len: usize) -> Vec<usize> {
    let powers = (2..usize::BITS).map(|exponent| 1_usize << exponent);
    [1, 2, 3].into_iter().chain(powers).take_while(|distance| *distance < len).collect()
}
