//! Writes configurations to the store as a node does.

use std::time::{SystemTime, UNIX_EPOCH};

use almondsail_core::config::{Change, Config, ConfigContent, HistoryEntry};
use almondsail_core::ids::WriteId;
use almondsail_core::units::UnixMillis;
use almondsail_wire::{decode_config, encode_config};
use eyre::{Result, ensure, eyre};
use http::StatusCode;

use crate::http::HttpClient;

/// Writes configurations to the store as a node does.
#[derive(Debug, Clone)]
pub struct StoreEditor {
    store: HttpClient,
}

impl StoreEditor {
    /// The request target of the configuration's key in the store.
    pub const TARGET: &'static str = "/v1/kv/almondsail/config";

    /// Creates an editor that accesses the store through `store`.
    pub fn new(store: HttpClient) -> Self {
        Self { store }
    }

    /// Writes `changes` as one new configuration version and returns its number.
    pub async fn apply(&self, changes: &[Change]) -> Result<u64> {
        let reply = self.store.get(Self::TARGET).await?;
        let revision = reply.header("x-revision").unwrap_or("0").to_owned();
        let current = match reply.status {
            StatusCode::NOT_FOUND => None,
            _ => Some(decode_config(&reply.body).map_err(|error| eyre!("{error}"))?),
        };
        let next = next_config(current.as_ref(), changes)?;
        let target = format!("{}?revision={revision}", Self::TARGET);
        let written = self.store.put(&target, encode_config(&next)).await?;
        ensure!(written.status.is_success(), "the write was refused with {}", written.status);
        Ok(next.version.get())
    }
}

fn next_config(current: Option<&Config>, changes: &[Change]) -> Result<Config> {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let now = UnixMillis::new(u64::try_from(since_1970.as_millis())?);
    let mut content = current.map_or_else(ConfigContent::default, |cfg| cfg.content.clone());
    for change in changes {
        content = change.apply(&content, now).map_err(|errors| eyre!("{errors:?}"))?;
    }
    let entry = HistoryEntry {
        version: Config::next_version(current),
        write_id: WriteId::new(since_1970.as_nanos().to_be_bytes()),
        at: now,
        service: None,
        operator: "testkit".parse()?,
        summary: "changed by a test".into(),
    };
    Ok(Config::successor(current, content, entry))
}
