//! A version of the configuration.

use std::fmt::{self, Write as _};

use crate::config::{ConfigContent, HistoryEntry, MAX_HISTORY_ENTRIES};
use crate::ids::{ConfigVersion, Digest, WriteId};

/// A version of the configuration: its content and the changes that led to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// The configuration's version, higher than that of every earlier one.
    pub version: ConfigVersion,
    /// The id of the store write that created this version.
    pub write_id: WriteId,
    /// The services, routes, versions, rollouts and stop marks.
    pub content: ConfigContent,
    /// The last accepted changes, at most [`MAX_HISTORY_ENTRIES`], oldest first.
    /// The last entry created this version.
    pub history: Vec<HistoryEntry>,
}

impl Config {
    /// Returns the digest of the whole configuration. Equal digests mean equal configurations.
    pub fn digest(&self) -> Digest {
        let mut text = String::new();
        // Writing to a String can't fail.
        let _ = self.write_canonical(&mut text);
        Digest::of(text.as_bytes())
    }

    /// Writes one line per entry in a fixed order. Names contain no spaces, and
    /// free text comes last in its line, so different configurations always have
    /// different texts.
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
    /// Returns the successor of `current` with `content` and with `entry` added to the history.
    ///
    /// The version and write id are those of `entry`. The oldest history entries
    /// beyond [`MAX_HISTORY_ENTRIES`] are dropped.
    pub fn successor(current: Option<&Self>, content: ConfigContent, entry: HistoryEntry) -> Self {
        let mut history = current.map(|cfg| cfg.history.clone()).unwrap_or_default();
        let (version, write_id) = (entry.version, entry.write_id);
        history.push(entry);
        history.drain(..history.len().saturating_sub(MAX_HISTORY_ENTRIES));
        Self { version, write_id, content, history }
    }

    /// Returns the version that follows `current`, or version 1 if there is no configuration.
    pub fn next_version(current: Option<&Self>) -> ConfigVersion {
        current.map_or(ConfigVersion::new(1), |cfg| cfg.version.next())
    }
}
