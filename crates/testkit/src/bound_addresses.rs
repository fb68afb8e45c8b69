//! The line of JSON in which a process reports the addresses that it listens on.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use eyre::{Result, eyre};
use serde::{Deserialize, Serialize};

/// The addresses that a process listens on, by name; printed to stdout as one line of JSON.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BoundAddresses(BTreeMap<String, SocketAddr>);

impl BoundAddresses {
    /// Adds `address` under `name`, replacing an earlier one of that name.
    pub fn with_address(mut self, name: &str, address: SocketAddr) -> Self {
        self.0.insert(name.to_owned(), address);
        self
    }

    /// Returns the address stored under `name`, or an error that lists the known names.
    pub fn get(&self, name: &str) -> Result<SocketAddr> {
        self.0.get(name).copied().ok_or_else(|| eyre!("no address {name:?} in {:?}", self.0))
    }

    /// Prints the addresses as the line of JSON that the harness reads.
    pub fn print(&self) -> Result<()> {
        println!("{}", serde_json::to_string(self)?);
        Ok(())
    }
}
