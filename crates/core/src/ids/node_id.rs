//! The id of a node.

name_type!(
    /// Identifies a node, the process beside one backend server. The node on a replaced host keeps
    /// the id of its predecessor.
    NodeId,
    "node"
);
