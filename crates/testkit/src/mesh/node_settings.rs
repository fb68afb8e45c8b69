//! The settings file of a node.

use std::net::SocketAddr;

use almondsail_core::ids::Digest;
use eyre::Result;
use serde::Serialize;
use serde_json::json;

use crate::BoundAddresses;

/// The settings file of a node.
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

/// Where a node listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ListenAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For calls of other nodes.
    #[serde(rename = "door")]
    pub inbound: SocketAddr,
    /// For messages of other nodes.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For the backend server and for metrics.
    pub local: SocketAddr,
}

impl ListenAddresses {
    /// The same address, with port 0, for each purpose.
    pub fn any_port(address: SocketAddr) -> Self {
        Self {
            callers: address,
            inbound: address,
            peers: address,
            operators: address,
            local: address,
        }
    }

    /// The addresses that a node bound.
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
    /// The name of the file that holds the installation's key.
    pub const KEY_FILE: &'static str = "key";
    /// The name of the file that holds the operator's token.
    pub const TOKEN_FILE: &'static str = "token";
    /// The name of the operator that every node knows.
    pub const OPERATOR: &'static str = "ana";
    /// The operator's token.
    pub const TOKEN: &'static str = "token-of-ana-for-tests";

    /// Settings of the node `id` that reaches these addresses.
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

    /// The same settings in this data centre.
    pub fn data_centre(self, data_centre: &str) -> Self {
        Self { data_centre: data_centre.to_owned(), ..self }
    }

    /// The same settings with these nodes to join first.
    pub fn seeds(self, seeds: Vec<SocketAddr>) -> Self {
        Self { seeds, ..self }
    }

    /// The same settings that listen here.
    pub fn listen(self, listen: ListenAddresses) -> Self {
        Self { listen, ..self }
    }

    /// The text of the file.
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
