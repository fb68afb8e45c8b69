//! A settings file for either of the two kinds of node.

use std::path::Path;

use super::{NodeSettings, SettingsError};
use crate::fleet::FleetSettings;
use crate::{fleet, node};

/// A settings file for either of the two kinds of node.
#[derive(Debug, Clone)]
pub enum SettingsFile {
    /// Settings of a node that operators command directly.
    Node(Box<NodeSettings>),
    /// Settings of a node of a fleet, whose configuration comes from an external store.
    Fleet(Box<FleetSettings>),
}

impl SettingsFile {
    /// Reads and validates a settings file of either kind.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text =
            std::fs::read_to_string(path).map_err(|e| SettingsError::Read(path.to_owned(), e))?;
        if FleetSettings::is_in(&text) {
            return FleetSettings::parse(&text).map(Box::new).map(Self::Fleet);
        }
        let folder = path.parent().unwrap_or(Path::new(""));
        NodeSettings::parse(&text, folder).map(Box::new).map(Self::Node)
    }

    /// Runs a node with these settings until SIGTERM or SIGINT.
    pub fn run(&self) -> eyre::Result<()> {
        match self {
            Self::Node(settings) => node::run(settings),
            Self::Fleet(settings) => fleet::run(settings),
        }
    }
}
