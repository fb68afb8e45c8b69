//! Accounting sums of an hour as the store holds them.

use crate::report::HourValue;
use crate::store::Revision;

/// Accounting sums of a data centre and hour as the store holds them.
#[derive(Debug, Clone)]
pub struct StoredHour {
    /// Revision of the stored sums; zero while there are none.
    pub revision: Revision,
    /// Stored sums; `None` if none were ever written.
    pub value: Option<HourValue>,
}
