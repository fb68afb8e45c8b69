//! The order in which a queue runs calls and the calls that it refuses first.

/// How a [`CallQueue`](crate::fleet::CallQueue) orders calls and chooses those that it refuses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum QueuePolicy {
    /// By rank, then by target. A call that has waited is refused only when its turn comes.
    #[default]
    Target,
    /// By rank, then by target. What serving a call is worth decides which calls are refused.
    Value,
    /// By rank, then by the fair shares of the teams, then by target. What serving a call is worth
    /// decides which calls are refused. Calls without a team are made by running calls.
    TeamValue,
}
