//! How a notice of a backend server is answered.

/// How a notice of the backend server beside a node is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeAnswer {
    /// The notice is in force at the node, and a departure is recorded in the store or the store was
    /// given time to record it.
    Acknowledge,
    /// The announcement may be late, so the server must announce itself once more.
    Refuse,
    /// The store has still time to record the departure.
    Wait,
}
