//! Serves the configuration in force to other nodes.

use std::sync::{Arc, Mutex, PoisonError};

use almondsail_core::fleet::TransferLimiter;
use almondsail_core::units::{ByteCount, Instant};
use arc_swap::ArcSwapOption;
use bytes::Bytes;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

/// The compressed text of the configuration in force, with a limit on the transfers.
#[derive(Debug)]
pub(crate) struct ConfigSource {
    compressed: ArcSwapOption<Bytes>,
    /// Locked only to begin a transfer.
    limiter: Mutex<TransferLimiter>,
    offers: Counter<u64>,
}

/// Reply to a node that asks for the configuration.
#[derive(Debug)]
pub(crate) enum Offer {
    /// Compressed text of the configuration, which must be sent now.
    Compressed(Bytes),
    /// Too many bytes of earlier transfers are on their way.
    Busy,
    /// This node has no configuration.
    Nothing,
}

impl ConfigSource {
    /// Creates a source without a configuration.
    pub(crate) fn new(meter: &Meter) -> Self {
        let offers = meter
            .u64_counter("fleet_config_offers")
            .with_description("Answers to nodes that ask for the configuration, by outcome")
            .build();
        Self { compressed: ArcSwapOption::default(), limiter: Mutex::default(), offers }
    }

    /// Replaces the compressed text of the configuration; `None` if there is none in force.
    pub(crate) fn set(&self, compressed: Option<Bytes>) {
        self.compressed.store(compressed.map(Arc::new));
    }

    /// Begins a transfer to another node at `now`, unless too many bytes are on their way.
    pub(crate) fn offer(&self, now: Instant) -> Offer {
        let offer = self.begin_transfer(now);
        self.offers.add(1, &[KeyValue::new("outcome", offer.as_str())]);
        offer
    }

    fn begin_transfer(&self, now: Instant) -> Offer {
        let Some(compressed) = self.compressed.load_full() else { return Offer::Nothing };
        let size = ByteCount::new(compressed.len() as u64);
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        if !limiter.begin(now, size) {
            return Offer::Busy;
        }
        Offer::Compressed(Bytes::clone(&compressed))
    }
}

impl Offer {
    const fn as_str(&self) -> &'static str {
        match self {
            Self::Compressed(_) => "sent",
            Self::Busy => "busy",
            Self::Nothing => "nothing",
        }
    }
}
