//! The key of one hour's sums in the store.

use crate::ids::DataCentre;
use crate::report::Hour;

/// The key of the sums of one data centre and hour in the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HourKey {
    /// The data centre whose nodes counted.
    pub data_centre: DataCentre,
    /// The hour in which the nodes counted.
    pub hour: Hour,
}
