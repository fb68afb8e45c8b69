//! Writes the settings file of a node.

use std::net::SocketAddr;

use almondsail_core::ids::Digest;
use eyre::Result;
use serde::Serialize;
use serde_json::json;

use crate::BoundAddresses;

/// The content of a node's settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    id: String,
    data_centre: String,
    region: String,
    listen: ListenAddresses,
    seeds: Vec<SocketAddr>,
    store: SocketAddr,
    backend: SocketAddr,
}

/// The addresses on which a node listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ListenAddresses {
    /// The address on which the node accepts calls from clients.
    pub callers: SocketAddr,
    /// The address on which the node accepts calls forwarded by other nodes.
    #[serde(rename = "door")]
    pub inbound: SocketAddr,
    /// The address on which the node receives control messages from other nodes.
    pub peers: SocketAddr,
    /// The address on which the node accepts the operators' commands.
    pub operators: SocketAddr,
    /// The address for the backend server's announcements and for `/metrics`.
    pub local: SocketAddr,
}

impl ListenAddresses {
    /// Uses `address`, which has port 0, for every purpose.
    pub fn any_port(address: SocketAddr) -> Self {
        Self {
            callers: address,
            inbound: address,
            peers: address,
            operators: address,
            local: address,
        }
    }

    /// Takes the addresses from those that a node printed.
    pub fn bound(addresses: &BoundAddresses) -> Result<Self> {
        Ok(Self {
            callers: addresses.get("callers")?,
            inbound: addresses.get("door")?,
            peers: addresses.get("peers")?,
            operators: addresses.get("operators")?,
            local: addresses.get("local")?,
        })
    }
}

impl NodeSettings {
    /// The name of the file with the key that all nodes share.
    pub const KEY_FILE: &'static str = "key";
    /// The name of the file with the operator's token.
    pub const TOKEN_FILE: &'static str = "token";
    /// The name of the only operator in the settings of every node.
    pub const OPERATOR: &'static str = "ana";
    /// The token that the operator sends; the settings contain its SHA-256 digest.
    pub const TOKEN: &'static str = "token-of-ana-for-tests";

    /// Creates the settings of the node `id` in the data centre `dc-1`, without seeds.
    pub fn new(id: &str, listen: ListenAddresses, store: SocketAddr, backend: SocketAddr) -> Self {
        Self {
            id: id.to_owned(),
            data_centre: "dc-1".to_owned(),
            region: "region-1".to_owned(),
            listen,
            seeds: Vec::new(),
            store,
            backend,
        }
    }

    /// Sets the data centre of the node.
    pub fn data_centre(self, data_centre: &str) -> Self {
        Self { data_centre: data_centre.to_owned(), ..self }
    }

    /// Sets the peer addresses that the node contacts to join the mesh.
    pub fn seeds(self, seeds: Vec<SocketAddr>) -> Self {
        Self { seeds, ..self }
    }

    /// Sets the addresses on which the node listens.
    pub fn listen(self, listen: ListenAddresses) -> Self {
        Self { listen, ..self }
    }

    /// Returns the content of the settings file.
    pub fn text(&self) -> Result<String> {
        let value = json!({
            "node": {
                "id": self.id,
                "host": format!("host-of-{}", self.id),
                "data_centre": self.data_centre,
                "region": self.region,
            },
            "listen": self.listen,
            "seeds": self.seeds,
            "store": { "address": self.store },
            "backend": { "address": self.backend },
            "installation_key_file": Self::KEY_FILE,
            "operators": [{
                "name": Self::OPERATOR,
                "team": "*",
                "token_sha256": Digest::of(Self::TOKEN.as_bytes()).to_string(),
            }],
        });
        let text = serde_json::to_string_pretty(&value)?;
        Ok(format!("// Written by the testkit for the node {}.\n{text}\n", self.id))
    }
}
