//! Orders to evacuate a data centre, and their withdrawals, as nodes tell each other of them.

use crate::ids::DataCentre;
use crate::store::StorePosition;

/// The orders and withdrawals that a node knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationDigest {
    /// One notice for each data centre, the latest one.
    pub notices: Vec<EvacuationNotice>,
}

/// An order that no call is sent to the backend servers of a data centre, or its withdrawal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationNotice {
    /// The data centre that is evacuated, or is not any more.
    pub data_centre: DataCentre,
    /// Whether the order is in force; otherwise it is withdrawn.
    pub is_ordered: bool,
    /// The position of the store at which the order was written, or was known to be removed.
    pub position: StorePosition,
}
