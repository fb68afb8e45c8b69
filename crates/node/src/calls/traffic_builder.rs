//! Sets the traffic side of a node up.

use std::sync::Arc;

use almondsail_core::traffic::Snapshot;
use arc_swap::ArcSwap;
use opentelemetry::metrics::Meter;

use crate::calls::peer_token::PeerToken;
use crate::calls::traffic::Traffic;
use crate::calls::traffic_error::{MIN_KEY_BYTES, TrafficError};
use crate::calls::traffic_settings::TrafficSettings;

/// Builds a [`Traffic`].
#[derive(Debug)]
pub struct TrafficBuilder {
    snapshot: Arc<ArcSwap<Snapshot>>,
    settings: TrafficSettings,
    installation_key: Vec<u8>,
    meter: Option<Meter>,
}

impl TrafficBuilder {
    /// Traffic that follows `snapshot`.
    pub fn new(snapshot: Arc<ArcSwap<Snapshot>>, settings: TrafficSettings) -> Self {
        Self { snapshot, settings, installation_key: Vec::new(), meter: None }
    }

    /// Sets the installation's key.
    #[must_use]
    pub fn installation_key(mut self, key: &[u8]) -> Self {
        self.installation_key = key.to_vec();
        self
    }

    /// Exports the counters through `meter`.
    #[must_use]
    pub fn meter(mut self, meter: Meter) -> Self {
        self.meter = Some(meter);
        self
    }

    /// The traffic.
    pub fn build(self) -> Result<Traffic, TrafficError> {
        if self.installation_key.len() < MIN_KEY_BYTES {
            return Err(TrafficError::ShortKey);
        }
        let token =
            PeerToken::derive(&self.installation_key).map_err(|_| TrafficError::ShortKey)?;
        Ok(Traffic::new(self.snapshot, self.settings, token, self.meter.as_ref()))
    }
}
