//! The stored value of one data centre and hour.

use crate::ids::WriteId;
use crate::report::HourSums;

/// Maximum number of write ids in a value. A collector writes an hour about 60
/// times, and looks for a write's id until two hours after it began.
pub const MAX_WRITE_IDS: usize = 128;

/// The stored value of one data centre and hour.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HourValue {
    /// The sums of every part written so far.
    pub sums: HourSums,
    /// The ids of the last writes, newest last; at most [`MAX_WRITE_IDS`]. A part whose
    /// id is listed has been added.
    pub writes: Vec<WriteId>,
}

impl HourValue {
    /// Returns whether the part with this write id has been added.
    pub fn contains(&self, id: WriteId) -> bool {
        self.writes.contains(&id)
    }

    /// Returns this value with `part` added under the write id `id`.
    #[must_use]
    pub fn with(&self, part: &HourSums, id: WriteId) -> Self {
        let mut value = self.clone();
        value.sums.add(part);
        value.writes.push(id);
        let surplus = value.writes.len().saturating_sub(MAX_WRITE_IDS);
        value.writes.drain(..surplus);
        value
    }
}
