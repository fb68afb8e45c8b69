//! Positions in the changes of the store.

use crate::store::{Revision, StoreEra};

/// A position in the changes of a store that may be restored from an earlier copy. Positions of a
/// later era follow all of an earlier one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// The era in which the store gave out the revision. Compared first.
    pub era: StoreEra,
    /// The revision within the era.
    pub revision: Revision,
}

impl StorePosition {
    /// Creates the position of `revision` in `era`.
    pub const fn new(era: StoreEra, revision: Revision) -> Self {
        Self { era, revision }
    }
}
