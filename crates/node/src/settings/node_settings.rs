//! The settings of a node with its own operators.

use std::net::SocketAddr;
use std::path::Path;

use almondsail_core::units::Millis;
use serde_json::Value;

use super::fields::Fields;
use super::{Identity, InstallationKey, Listen, OperatorToken};
use crate::settings::SettingsError;

/// The validated settings of a node that operators command directly.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Id and location of the node, announced to the other nodes.
    pub identity: Identity,
    /// Addresses on which the node listens.
    pub listen: Listen,
    /// Addresses of the nodes through which this one joins the mesh.
    pub seeds: Vec<SocketAddr>,
    /// Address of the key-value store's HTTP API.
    pub store: SocketAddr,
    /// Time limit of a request to the store, from 10 ms to 60 s.
    pub store_timeout: Millis,
    /// Address on which the backend server beside the node takes calls.
    pub backend: SocketAddr,
    /// Key with which the nodes of the installation authenticate messages, read from a file.
    pub key: InstallationKey,
    /// Operators who may send commands and queries to the node.
    pub operators: Vec<OperatorToken>,
    /// Number of threads that serve calls, from 1 to 64.
    pub traffic_threads: usize,
}

impl NodeSettings {
    const DEFAULT_STORE_TIMEOUT_MS: u64 = 1_000;
    const DEFAULT_TRAFFIC_THREADS: u64 = 2;

    /// Reads and validates a settings file. File names in it are relative to its directory.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text =
            std::fs::read_to_string(path).map_err(|e| SettingsError::Read(path.to_owned(), e))?;
        let folder = path.parent().unwrap_or(Path::new(""));
        Self::parse(&text, folder)
    }

    /// Parses and validates the text of a settings file. Relative file names in it are resolved
    /// against `folder`.
    pub fn parse(text: &str, folder: &Path) -> Result<Self, SettingsError> {
        let value: Value =
            json5::from_str(text).map_err(|e| SettingsError::Syntax(e.to_string()))?;
        let mut errors = Vec::new();
        let mut fields = Fields::new("", value, &mut errors);
        let settings = Self::read_fields(&mut fields, folder);
        fields.finish();
        match settings {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => Err(SettingsError::InvalidFields(errors)),
        }
    }

    fn read_fields(fields: &mut Fields<'_>, folder: &Path) -> Option<Self> {
        // Reads every field before the first `?`, so that all errors are reported.
        let identity = read_section(fields.object("node"), Identity::read);
        let listen = read_section(fields.object("listen"), Listen::read);
        let seeds = fields.strings("seeds");
        let store = read_section(fields.object("store"), read_store);
        let backend = read_section(fields.object("backend"), |backend| backend.string("address"));
        let key = read_key(fields, folder);
        let operators = fields.objects("operators", OperatorToken::read);
        let traffic_threads = match fields.optional_object("traffic") {
            Some(traffic) => read_section(Some(traffic), read_threads),
            None => Some(Self::DEFAULT_TRAFFIC_THREADS),
        };
        let (store, store_timeout) = store?;
        Some(Self {
            identity: identity?,
            listen: listen?,
            seeds,
            store,
            store_timeout,
            backend: backend?,
            key: key?,
            operators,
            traffic_threads: usize::try_from(traffic_threads?).ok()?,
        })
    }
}

/// Reads a section with `read` and reports its unknown fields.
pub(crate) fn read_section<T>(
    fields: Option<Fields<'_>>,
    read: impl FnOnce(&mut Fields<'_>) -> Option<T>,
) -> Option<T> {
    let mut fields = fields?;
    let value = read(&mut fields);
    fields.finish();
    value
}

fn read_store(store: &mut Fields<'_>) -> Option<(SocketAddr, Millis)> {
    const TIMEOUT_RANGE_MS: std::ops::RangeInclusive<u64> = 10..=60_000;
    let address = store.string("address");
    let default = NodeSettings::DEFAULT_STORE_TIMEOUT_MS;
    let timeout = store.number_or("timeout_ms", default, TIMEOUT_RANGE_MS);
    Some((address?, Millis::new(timeout?)))
}

fn read_threads(traffic: &mut Fields<'_>) -> Option<u64> {
    const THREADS_RANGE: std::ops::RangeInclusive<u64> = 1..=64;
    traffic.number_or("threads", NodeSettings::DEFAULT_TRAFFIC_THREADS, THREADS_RANGE)
}

fn read_key(fields: &mut Fields<'_>, folder: &Path) -> Option<InstallationKey> {
    let name: String = fields.string("installation_key_file")?;
    match InstallationKey::read(&folder.join(name)) {
        Ok(key) => Some(key),
        Err(problem) => {
            fields.add_error("installation_key_file", problem);
            None
        }
    }
}
