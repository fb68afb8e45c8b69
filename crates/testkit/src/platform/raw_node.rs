//! A node of a fleet whose worker writes raw bytes.

use tokio::task::JoinHandle;

use crate::harness::ProcessId;

/// A node whose worker is a [`RawWorker`](super::RawWorker).
#[derive(Debug)]
pub(super) struct RawNode {
    process: ProcessId,
    announcer: JoinHandle<()>,
}

impl RawNode {
    /// Creates a node that runs as `process`; `announcer` announces its worker.
    pub(super) const fn new(process: ProcessId, announcer: JoinHandle<()>) -> Self {
        Self { process, announcer }
    }

    pub(super) const fn process(&self) -> ProcessId {
        self.process
    }
}

impl Drop for RawNode {
    fn drop(&mut self) {
        self.announcer.abort();
    }
}
