//! Serves the configuration in force to other nodes.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use almondsail_core::fleet::TransferLimiter;
use almondsail_core::units::ByteCount;
use arc_swap::ArcSwapOption;
use bytes::Bytes;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

/// The configuration in force as text for other nodes, with a limit on concurrent transfers.
#[derive(Debug)]
pub(crate) struct ConfigSource {
    text: ArcSwapOption<Bytes>,
    /// Counts the transfers in progress. Locked only to begin or end one.
    limiter: Mutex<TransferLimiter>,
    offers: Counter<u64>,
}

/// A transfer to another node, which ends when this guard is dropped.
#[derive(Debug)]
pub(crate) struct Transfer {
    source: Arc<ConfigSource>,
    size: ByteCount,
}

/// Reply to a node that asks for the configuration.
#[derive(Debug)]
pub(crate) enum Offer {
    /// Text of the configuration, with the guard to hold while it is sent.
    Text(Bytes, Arc<Transfer>),
    /// The limit of concurrent transfers is reached.
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

    /// Begins a transfer to another node, unless the limit of concurrent transfers is reached.
    pub(crate) fn offer(self: &Arc<Self>) -> Offer {
        let offer = self.begin_transfer();
        self.offers.add(1, &[KeyValue::new("outcome", offer.as_str())]);
        offer
    }

    fn begin_transfer(self: &Arc<Self>) -> Offer {
        let Some(text) = self.text.load_full() else { return Offer::Nothing };
        let size = ByteCount::new(text.len() as u64);
        if !self.limiter().begin(size) {
            return Offer::Busy;
        }
        Offer::Text(Bytes::clone(&text), Arc::new(Transfer { source: Arc::clone(self), size }))
    }

    fn limiter(&self) -> MutexGuard<'_, TransferLimiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Offer {
    const fn as_str(&self) -> &'static str {
        match self {
            Self::Text(..) => "sent",
            Self::Busy => "busy",
            Self::Nothing => "nothing",
        }
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        self.source.limiter().end(self.size);
    }
}
