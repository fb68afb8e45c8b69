//! The settings of a node.

use std::net::SocketAddr;
use std::path::Path;

use almondsail_core::units::Millis;
use serde_json::Value;

use super::fields::Fields;
use super::{Identity, InstallationKey, Listen, OperatorToken};
use crate::settings::SettingsError;

/// The settings of a node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Who and where the node is.
    pub identity: Identity,
    /// Where it listens.
    pub listen: Listen,
    /// Other nodes to which it first turns.
    pub seeds: Vec<SocketAddr>,
    /// Where the store answers.
    pub store: SocketAddr,
    /// How long a request to the store may take.
    pub store_timeout: Millis,
    /// Where the backend server beside the node takes calls.
    pub backend: SocketAddr,
    /// The key that the nodes share.
    pub key: InstallationKey,
    /// The operators who may send commands.
    pub operators: Vec<OperatorToken>,
    /// Number of threads that carry calls.
    pub traffic_threads: usize,
}

impl NodeSettings {
    const DEFAULT_STORE_TIMEOUT_MS: u64 = 1_000;
    const DEFAULT_TRAFFIC_THREADS: u64 = 2;

    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text =
            std::fs::read_to_string(path).map_err(|e| SettingsError::Read(path.to_owned(), e))?;
        let folder = path.parent().unwrap_or(Path::new(""));
        Self::parse(&text, folder)
    }

    /// Checks the text of a settings file. Relative file names are relative to `folder`.
    pub fn parse(text: &str, folder: &Path) -> Result<Self, SettingsError> {
        let value: Value =
            json5::from_str(text).map_err(|e| SettingsError::Syntax(e.to_string()))?;
        let mut mistakes = Vec::new();
        let mut fields = Fields::new("", value, &mut mistakes);
        let settings = Self::read_fields(&mut fields, folder);
        fields.finish();
        match settings {
            Some(settings) if mistakes.is_empty() => Ok(settings),
            _ => Err(SettingsError::Mistakes(mistakes)),
        }
    }

    fn read_fields(fields: &mut Fields<'_>, folder: &Path) -> Option<Self> {
        // Every field is read before any is required, so that all mistakes are noted.
        let identity = section(fields.object("node"), Identity::read);
        let listen = section(fields.object("listen"), Listen::read);
        let seeds = fields.texts("seeds");
        let store = section(fields.object("store"), read_store);
        let backend = section(fields.object("backend"), |backend| backend.text("address"));
        let key = read_key(fields, folder);
        let operators = fields.objects("operators", OperatorToken::read);
        let traffic_threads = match fields.optional_object("traffic") {
            Some(traffic) => section(Some(traffic), read_threads),
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

/// Reads a section and notes its unknown fields.
pub(crate) fn section<T>(
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
    let address = store.text("address");
    let default = NodeSettings::DEFAULT_STORE_TIMEOUT_MS;
    let timeout = store.number_or("timeout_ms", default, TIMEOUT_RANGE_MS);
    Some((address?, Millis::new(timeout?)))
}

fn read_threads(traffic: &mut Fields<'_>) -> Option<u64> {
    const THREADS_RANGE: std::ops::RangeInclusive<u64> = 1..=64;
    traffic.number_or("threads", NodeSettings::DEFAULT_TRAFFIC_THREADS, THREADS_RANGE)
}

fn read_key(fields: &mut Fields<'_>, folder: &Path) -> Option<InstallationKey> {
    let name: String = fields.text("installation_key_file")?;
    match InstallationKey::read(&folder.join(name)) {
        Ok(key) => Some(key),
        Err(problem) => {
            fields.note("installation_key_file", problem);
            None
        }
    }
}
