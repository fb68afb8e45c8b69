//! The value of a data centre and hour in the store.

use crate::ids::WriteId;
use crate::report::HourSums;

/// Number of write ids that a value keeps. A collector writes an hour about 60
/// times, and a write is looked for until two hours after it began.
pub const MAX_WRITE_IDS: usize = 128;

/// The value of a data centre and hour in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HourValue {
    /// The sums of every part written.
    pub sums: HourSums,
    /// The ids of the last writes, the newest last; at most [`MAX_WRITE_IDS`].
    /// A part whose id is here has been added.
    pub writes: Vec<WriteId>,
}

impl HourValue {
    /// Whether the part with this write id has been added.
    pub fn contains(&self, id: WriteId) -> bool {
        self.writes.contains(&id)
    }

    /// This value with a part added.
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
