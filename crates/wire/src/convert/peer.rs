//! Conversions of peer table entries, backend announcements and sync status.

use almondsail_core::control::SyncStatus;
use almondsail_core::ids::{ConfigVersion, Incarnation};
use almondsail_core::peers::{AnnouncedBackend, Peer};

use super::fields::{optional_digest, parse, positive_u16};
use crate::{FieldError, local, peer as wire};

impl From<&AnnouncedBackend> for wire::Backend {
    fn from(backend: &AnnouncedBackend) -> Self {
        Self {
            service: backend.service.to_string(),
            version: backend.version.to_string(),
            slots: backend.slots.into(),
            connections: backend.connections.into(),
            state: backend.state.to_string(),
        }
    }
}

impl TryFrom<wire::Backend> for AnnouncedBackend {
    type Error = FieldError;

    fn try_from(w: wire::Backend) -> Result<Self, FieldError> {
        Ok(Self {
            service: parse("service", &w.service)?,
            version: parse("version", &w.version)?,
            slots: positive_u16("slots", w.slots)?,
            connections: positive_u16("connections", w.connections)?,
            state: parse("state", &w.state)?,
        })
    }
}

impl TryFrom<local::Announcement> for AnnouncedBackend {
    type Error = FieldError;

    fn try_from(w: local::Announcement) -> Result<Self, FieldError> {
        let local::Announcement { service, version, slots, connections, state, load: _ } = w;
        wire::Backend { service, version, slots, connections, state }.try_into()
    }
}

impl From<&Peer> for wire::Peer {
    fn from(peer: &Peer) -> Self {
        Self {
            id: peer.id.to_string(),
            host: peer.host.to_string(),
            data_centre: peer.data_centre.to_string(),
            region: peer.region.to_string(),
            peer_addr: peer.peer_addr.to_string(),
            door_addr: peer.inbound_addr.to_string(),
            incarnation: peer.incarnation.get(),
            status: peer.status.to_string(),
            backend: peer.backend.as_ref().map(Into::into),
        }
    }
}

impl TryFrom<wire::Peer> for Peer {
    type Error = FieldError;

    fn try_from(w: wire::Peer) -> Result<Self, FieldError> {
        let backend = w.backend.map(AnnouncedBackend::try_from).transpose();
        Ok(Self {
            id: parse("id", &w.id)?,
            host: parse("host", &w.host)?,
            data_centre: parse("data_centre", &w.data_centre)?,
            region: parse("region", &w.region)?,
            peer_addr: parse("peer_addr", &w.peer_addr)?,
            inbound_addr: parse("door_addr", &w.door_addr)?,
            incarnation: Incarnation::new(w.incarnation),
            status: parse("status", &w.status)?,
            backend: backend.map_err(|e| e.within("backend"))?,
        })
    }
}

impl From<&SyncStatus> for wire::SyncStatus {
    fn from(status: &SyncStatus) -> Self {
        Self {
            node: status.node.to_string(),
            incarnation: status.incarnation.get(),
            config_version: status.config_version.get(),
            config_digest: status
                .config_digest
                .map(|digest| digest.as_bytes().to_vec())
                .unwrap_or_default(),
            table_digest: status.table_digest,
            stops_digest: status.stops_digest,
        }
    }
}

impl TryFrom<wire::SyncStatus> for SyncStatus {
    type Error = FieldError;

    fn try_from(w: wire::SyncStatus) -> Result<Self, FieldError> {
        Ok(Self {
            node: parse("node", &w.node)?,
            incarnation: Incarnation::new(w.incarnation),
            config_version: ConfigVersion::new(w.config_version),
            config_digest: optional_digest("config_digest", &w.config_digest)?,
            table_digest: w.table_digest,
            stops_digest: w.stops_digest,
        })
    }
}
