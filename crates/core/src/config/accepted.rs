//! An accepted configuration.

use std::fmt::{self, Write as _};

use crate::config::{ConfigContent, HistoryEntry, MAX_HISTORY_ENTRIES};
use crate::ids::{ConfigVersion, Digest, WriteId};

/// A configuration version: its content and where it came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Higher than the version of every configuration accepted before.
    pub version: ConfigVersion,
    /// The id of the write that made this version.
    pub write_id: WriteId,
    /// What operators configured.
    pub content: ConfigContent,
    /// The last accepted changes, oldest first; the last one made this version.
    pub history: Vec<HistoryEntry>,
}

impl Config {
    /// The digest of the whole configuration: equal digests mean equal configurations.
    pub fn digest(&self) -> Digest {
        let mut text = String::new();
        // Writing to a String can't fail.
        let _ = self.write_canonical(&mut text);
        Digest::of(text.as_bytes())
    }

    /// Writes one line for each entry, in a fixed order. Names contain no
    /// spaces, and free texts come last in their line, so no two different
    /// configurations have the same text.
    fn write_canonical(&self, out: &mut String) -> fmt::Result {
        writeln!(out, "config {} {}", self.version, self.write_id)?;
        self.content.write_canonical(out)?;
        for entry in &self.history {
            let service = entry.service.as_ref().map_or("", |s| s.as_str());
            writeln!(
                out,
                "history {} {} {} {service} {} {}",
                entry.version, entry.write_id, entry.at, entry.operator, entry.summary
            )?;
        }
        Ok(())
    }
}

impl Config {
    /// The configuration that follows `current` with `content`, accepted as `entry` tells.
    ///
    /// The version and write id are those of `entry`; the oldest history entries
    /// beyond [`MAX_HISTORY_ENTRIES`] are dropped.
    pub fn following(current: Option<&Self>, content: ConfigContent, entry: HistoryEntry) -> Self {
        let mut history = current.map(|cfg| cfg.history.clone()).unwrap_or_default();
        let (version, write_id) = (entry.version, entry.write_id);
        history.push(entry);
        history.drain(..history.len().saturating_sub(MAX_HISTORY_ENTRIES));
        Self { version, write_id, content, history }
    }

    /// The version that follows `current`.
    pub fn next_version(current: Option<&Self>) -> ConfigVersion {
        current.map_or(ConfigVersion::new(1), |cfg| cfg.version.next())
    }
}
