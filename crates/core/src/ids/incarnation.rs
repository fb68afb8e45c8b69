//! The incarnation of a node.

number_type!(
    /// The incarnation of a node's entry in the peer table. Only the node itself raises it.
    Incarnation,
    "incarnation"
);
