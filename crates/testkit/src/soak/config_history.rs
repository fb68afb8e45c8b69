//! The configurations of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;

use crate::platform::ConfigDocument;

use super::{SERVICES, Windows};

/// Names of the teams.
const TEAMS: [&str; 3] = ["acme", "lone", "corso"];
/// Number of credentials in the first configuration.
const FIRST_CREDENTIALS: usize = 6;

/// The configurations that the operator accepted in a run, with their credentials.
///
/// A credential belongs to one team for ever and is not added again after its withdrawal. Each
/// configuration has a marker route for itself and for all earlier ones.
#[derive(Debug, Clone, Default)]
pub struct ConfigHistory {
    /// When each version was accepted; the first one has version 1.
    accepted: Vec<Duration>,
    /// When each credential was valid.
    credentials: BTreeMap<String, Windows>,
    /// The valid credentials, the oldest first.
    valid: Vec<String>,
}

impl ConfigHistory {
    /// Accepts the first configuration.
    pub fn begin(&mut self, at: Duration) -> ConfigDocument {
        self.change(at, 0, FIRST_CREDENTIALS)
    }

    /// Accepts the next configuration at `at`: withdraws the oldest `withdrawn` credentials, all but
    /// one at most, and adds `added` new ones.
    pub fn change(&mut self, at: Duration, withdrawn: usize, added: usize) -> ConfigDocument {
        let withdrawn = withdrawn.min(self.valid.len().saturating_sub(1));
        for credential in self.valid.drain(..withdrawn) {
            self.credentials.entry(credential).or_default().end(at);
        }
        for _ in 0..added {
            let credential = format!("credential-{}", self.credentials.len());
            self.credentials.entry(credential.clone()).or_default().begin(at);
            self.valid.push(credential);
        }
        self.accepted.push(at);
        self.document()
    }

    fn document(&self) -> ConfigDocument {
        let version = self.latest();
        let teams = TEAMS.iter().fold(ConfigDocument::new(version, &SERVICES), |document, team| {
            let held = self.valid.iter().filter(|credential| Self::team(credential) == *team);
            document.team(team, &held.map(String::as_str).collect::<Vec<_>>())
        });
        (1..=version).fold(teams, |document, version| document.resource(marker_route(version)))
    }

    /// Returns the latest version.
    pub fn latest(&self) -> u32 {
        self.accepted.len() as u32
    }

    /// Returns when `version` was accepted.
    pub fn accepted(&self, version: u32) -> Option<Duration> {
        self.accepted.get(usize::try_from(version).ok()?.checked_sub(1)?).copied()
    }

    /// Returns all credentials that were ever valid, the oldest first.
    pub fn all_credentials(&self) -> usize {
        self.credentials.len()
    }

    /// Returns when `credential` was valid; `None` if it never was.
    pub fn validity(&self, credential: &str) -> Option<&Windows> {
        self.credentials.get(credential)
    }

    /// Returns the team of `credential`.
    pub fn team(credential: &str) -> &'static str {
        let number = credential.rsplit('-').next().and_then(|number| number.parse().ok());
        TEAMS[number.unwrap_or(0) % TEAMS.len()]
    }
}

fn marker_route(version: u32) -> serde_json::Value {
    json!({
        "type": "routes", "metadata": {"name": format!("marker-{version}")},
        "spec": {
            "host": "marker.example", "prefix": format!("/v{version}/"), "kind": "safe",
            "timeout_ms": 10_000, "target_latency_ms": 2_000, "priority": 0,
            "service": SERVICES[0], "max_attempts": 2, "public": true,
        },
    })
}
