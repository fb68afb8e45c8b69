//! The numbers of calls that an admission controller has handled.

/// The numbers of calls by state since an admission controller was created.
///
/// `arrived` is always the sum of the other five.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// The number of calls that asked for admission.
    pub arrived: u64,
    /// The number of calls refused on arrival or while they waited.
    pub refused: u64,
    /// The number of calls that were cancelled while they waited.
    pub cancelled: u64,
    /// The number of calls that wait now.
    pub queued: u64,
    /// The number of calls that run now.
    pub running: u64,
    /// The number of calls that ran and have ended.
    pub ended: u64,
}
