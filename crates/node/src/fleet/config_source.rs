//! The configuration in force, as other nodes fetch it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use almondsail_core::fleet::TransferLimiter;
use arc_swap::ArcSwapOption;
use bytes::Bytes;

/// The configuration in force, as other nodes fetch it.
#[derive(Debug, Default)]
pub(crate) struct ConfigSource {
    text: ArcSwapOption<Bytes>,
    /// Locked for one count.
    limiter: Mutex<TransferLimiter>,
}

/// A transfer to another node, which has ended when it is dropped.
#[derive(Debug)]
pub(crate) struct Transfer(Arc<ConfigSource>);

/// What a node that asks for the configuration gets.
#[derive(Debug)]
pub(crate) enum Offer {
    /// The text, while the transfer is held.
    Text(Bytes, Arc<Transfer>),
    /// There are transfers enough.
    Busy,
    /// There is no configuration.
    Nothing,
}

impl ConfigSource {
    /// Sets the text of the configuration in force.
    pub(crate) fn set(&self, text: Option<Bytes>) {
        self.text.store(text.map(Arc::new));
    }

    /// Begins a transfer to another node.
    pub(crate) fn offer(self: &Arc<Self>) -> Offer {
        let Some(text) = self.text.load_full() else { return Offer::Nothing };
        if !self.limiter().begin() {
            return Offer::Busy;
        }
        Offer::Text(Bytes::clone(&text), Arc::new(Transfer(Arc::clone(self))))
    }

    fn limiter(&self) -> MutexGuard<'_, TransferLimiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        self.0.limiter().end();
    }
}
