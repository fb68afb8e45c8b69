//! The key of an hour's sums in the store.

use crate::ids::DataCentre;
use crate::report::Hour;

/// The key of the sums of a data centre and hour in the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HourKey {
    /// The data centre.
    pub data_centre: DataCentre,
    /// The hour.
    pub hour: Hour,
}
