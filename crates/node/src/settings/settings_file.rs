//! A settings file of either kind of node.

use std::path::Path;

use super::{NodeSettings, SettingsError};
use crate::fleet::FleetSettings;
use crate::{fleet, node};

/// A settings file of either kind of node.
#[derive(Debug, Clone)]
pub enum SettingsFile {
    /// A node whose operators command it directly.
    Node(Box<NodeSettings>),
    /// A node of a fleet whose configuration comes from an outside store.
    Fleet(Box<FleetSettings>),
}

impl SettingsFile {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text =
            std::fs::read_to_string(path).map_err(|e| SettingsError::Read(path.to_owned(), e))?;
        if FleetSettings::is_in(&text) {
            return FleetSettings::parse(&text).map(Box::new).map(Self::Fleet);
        }
        let folder = path.parent().unwrap_or(Path::new(""));
        NodeSettings::parse(&text, folder).map(Box::new).map(Self::Node)
    }

    /// Runs the node until it is told to stop.
    pub fn run(&self) -> eyre::Result<()> {
        match self {
            Self::Node(settings) => node::run(settings),
            Self::Fleet(settings) => fleet::run(settings),
        }
    }
}
