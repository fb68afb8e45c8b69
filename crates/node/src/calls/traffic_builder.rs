//! Builds the state that the calls of a node share.

use std::sync::Arc;

use almondsail_core::traffic::Snapshot;
use arc_swap::ArcSwap;
use opentelemetry::metrics::Meter;

use crate::calls::peer_token::PeerToken;
use crate::calls::traffic::Traffic;
use crate::calls::traffic_error::{MIN_KEY_BYTES, TrafficError};
use crate::calls::traffic_settings::TrafficSettings;

/// Builds a [`Traffic`] from a node's settings and the installation's key.
#[derive(Debug)]
pub struct TrafficBuilder {
    snapshot: Arc<ArcSwap<Snapshot>>,
    settings: TrafficSettings,
    installation_key: Vec<u8>,
    meter: Option<Meter>,
}

impl TrafficBuilder {
    /// Starts a builder for a node that follows the snapshots stored in `snapshot`.
    pub fn new(snapshot: Arc<ArcSwap<Snapshot>>, settings: TrafficSettings) -> Self {
        Self { snapshot, settings, installation_key: Vec::new(), meter: None }
    }

    /// Sets the secret that all nodes of the installation share.
    #[must_use]
    pub fn installation_key(mut self, key: &[u8]) -> Self {
        self.installation_key = key.to_vec();
        self
    }

    /// Exports the call counters through `meter`.
    #[must_use]
    pub fn meter(mut self, meter: Meter) -> Self {
        self.meter = Some(meter);
        self
    }

    /// Builds the state; an error if the installation's key is missing or too short.
    pub fn build(self) -> Result<Traffic, TrafficError> {
        if self.installation_key.len() < MIN_KEY_BYTES {
            return Err(TrafficError::ShortKey);
        }
        let token =
            PeerToken::derive(&self.installation_key).map_err(|_| TrafficError::ShortKey)?;
        Ok(Traffic::new(self.snapshot, self.settings, token, self.meter.as_ref()))
    }
}
