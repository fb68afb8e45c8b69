//! The order in which a queue runs calls and the calls that it refuses first.

/// How a [`CallQueue`](crate::fleet::CallQueue) orders calls and chooses those that it refuses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum QueuePolicy {
    /// By rank, then by target. A waiting call is not refused in favour of another one.
    #[default]
    Target,
    /// By precedence, then by target. Calls of underserved routes go first, all others by rank. The
    /// value of serving a call decides which calls are refused.
    Value,
    /// By precedence, then by the fair shares of the teams, then by target. Calls of underserved
    /// routes and teams go first, then calls made by running calls (those without a team), then all
    /// others by rank. The value of serving a call decides which calls are refused.
    TeamValue,
}
