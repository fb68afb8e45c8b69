//! Who and where a node is.

use almondsail_core::ids::{DataCentre, HostName, NodeId, Region};

use super::fields::Fields;

/// Who and where a node is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The node's id, unique in the installation.
    pub id: NodeId,
    /// Its host.
    pub host: HostName,
    /// The host's data centre.
    pub data_centre: DataCentre,
    /// The data centre's region.
    pub region: Region,
}

impl Identity {
    pub(super) fn read(fields: &mut Fields<'_>) -> Option<Self> {
        // Every field is read before any is required, so that all mistakes are noted.
        let id = fields.text("id");
        let host = fields.text("host");
        let data_centre = fields.text("data_centre");
        let region = fields.text("region");
        Some(Self { id: id?, host: host?, data_centre: data_centre?, region: region? })
    }
}
