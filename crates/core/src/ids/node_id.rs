//! The name of a node.

name_type!(
    /// A node, the process beside one backend server. A replaced host keeps the id of its slot.
    NodeId,
    "node"
);
