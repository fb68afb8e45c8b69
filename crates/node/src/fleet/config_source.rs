//! Serves the configuration in force to other nodes.

use std::sync::{Arc, Mutex, PoisonError};

use almondsail_core::fleet::TransferLimiter;
use almondsail_core::units::{ByteCount, Instant};
use arc_swap::ArcSwapOption;
use bytes::Bytes;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

/// The configuration in force as text for other nodes, with a limit on the transfers.
#[derive(Debug)]
pub(crate) struct ConfigSource {
    text: ArcSwapOption<Bytes>,
    /// Locked only to begin a transfer.
    limiter: Mutex<TransferLimiter>,
    offers: Counter<u64>,
}

/// Reply to a node that asks for the configuration.
#[derive(Debug)]
pub(crate) enum Offer {
    /// Text of the configuration, which must be sent now.
    Text(Bytes),
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
        Self { text: ArcSwapOption::default(), limiter: Mutex::default(), offers }
    }

    /// Replaces the text of the configuration; `None` if there is none in force.
    pub(crate) fn set(&self, text: Option<Bytes>) {
        self.text.store(text.map(Arc::new));
    }

    /// Begins a transfer to another node at `now`, unless too many bytes are on their way.
    pub(crate) fn offer(&self, now: Instant) -> Offer {
        let offer = self.begin_transfer(now);
        self.offers.add(1, &[KeyValue::new("outcome", offer.as_str())]);
        offer
    }

    fn begin_transfer(&self, now: Instant) -> Offer {
        let Some(text) = self.text.load_full() else { return Offer::Nothing };
        let size = ByteCount::new(text.len() as u64);
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        if limiter.begin(now, size) { Offer::Text(Bytes::clone(&text)) } else { Offer::Busy }
    }
}

impl Offer {
    const fn as_str(&self) -> &'static str {
        match self {
            Self::Text(_) => "sent",
            Self::Busy => "busy",
            Self::Nothing => "nothing",
        }
    }
}
