//! The line by which a process tells its addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use eyre::{Result, eyre};
use serde::{Deserialize, Serialize};

/// The addresses that a process bound, by name; printed as a JSON line on stdout.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BoundAddresses(BTreeMap<String, SocketAddr>);

impl BoundAddresses {
    /// Adds the address called `name`.
    pub fn with_address(mut self, name: &str, address: SocketAddr) -> Self {
        self.0.insert(name.to_owned(), address);
        self
    }

    /// The address called `name`.
    pub fn get(&self, name: &str) -> Result<SocketAddr> {
        self.0.get(name).copied().ok_or_else(|| eyre!("no address {name:?} in {:?}", self.0))
    }

    /// Prints the line.
    pub fn print(&self) -> Result<()> {
        println!("{}", serde_json::to_string(self)?);
        Ok(())
    }
}
