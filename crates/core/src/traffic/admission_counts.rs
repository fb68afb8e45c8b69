//! The counts of an admission controller.

/// What an admission controller has done and does now.
///
/// `arrived` is always the sum of the other five.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// The calls that asked for admission.
    pub arrived: u64,
    /// The calls refused, at once or out of the queue.
    pub refused: u64,
    /// The calls that gave up while they waited.
    pub cancelled: u64,
    /// The calls that wait.
    pub queued: u64,
    /// The calls that run.
    pub running: u64,
    /// The calls that ended after they ran.
    pub ended: u64,
}
