//! The value of an hour's key.

use crate::report::HourValue;
use crate::store::Revision;

/// The value of a data centre and hour.
#[derive(Debug, Clone)]
pub struct StoredHour {
    /// The value's revision.
    pub revision: Revision,
    /// The sums; `None` while nothing was ever written.
    pub value: Option<HourValue>,
}
