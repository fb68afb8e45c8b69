//! The identity and location of a node.

use almondsail_core::ids::{DataCentre, HostName, NodeId, Region};

use super::fields::Fields;

/// The identity and location of a node, from the section `node` of its settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Id of the node, unique in the installation.
    pub id: NodeId,
    /// Name of the host on which the node runs.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
}

impl Identity {
    pub(super) fn read(fields: &mut Fields<'_>) -> Option<Self> {
        // Reads every field before the first `?`, so that all errors are reported.
        let id = fields.string("id");
        let host = fields.string("host");
        let data_centre = fields.string("data_centre");
        let region = fields.string("region");
        Some(Self { id: id?, host: host?, data_centre: data_centre?, region: region? })
    }
}
