//! Request bodies in memory.

use std::sync::Arc;

use almondsail_core::RefusalReason;
use almondsail_core::traffic::BodyBudget;
use almondsail_core::units::ByteCount;
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Body;

use crate::calls::body_bytes::BodyBytes;

/// The largest body of a request; a larger one is refused with status 413.
pub const MAX_BODY: ByteCount = ByteCount::new(1024 * 1024);

/// A complete request body, whose bytes count against the node's body memory.
#[derive(Debug)]
pub(crate) struct BufferedBody {
    bytes: Bytes,
    _budget: BudgetGuard,
}

impl BufferedBody {
    /// Reads `body` to its end. An error releases the memory.
    pub(crate) async fn read<B>(
        mut body: B,
        budget: &Arc<BodyBudget>,
    ) -> Result<Self, RefusalReason>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut guard = BudgetGuard { budget: Arc::clone(budget), acquired: 0 };
        if body.size_hint().lower() > MAX_BODY.get() {
            return Err(RefusalReason::BodyTooLarge);
        }
        let mut bytes = BodyBytes::default();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| RefusalReason::BadRequest)?;
            let Ok(data) = frame.into_data() else { continue };
            guard.acquire(data.len() as u64)?;
            bytes.push(data);
        }
        Ok(Self { bytes: bytes.into_bytes(), _budget: guard })
    }

    pub(crate) fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

/// The part of the node's body memory that a body occupies, released on drop.
#[derive(Debug)]
struct BudgetGuard {
    budget: Arc<BodyBudget>,
    acquired: u64,
}

impl BudgetGuard {
    fn acquire(&mut self, bytes: u64) -> Result<(), RefusalReason> {
        if self.acquired + bytes > MAX_BODY.get() {
            return Err(RefusalReason::BodyTooLarge);
        }
        if !self.budget.try_acquire(ByteCount::new(bytes)) {
            return Err(RefusalReason::BodyMemory);
        }
        self.acquired += bytes;
        Ok(())
    }
}

impl Drop for BudgetGuard {
    fn drop(&mut self) {
        self.budget.release(ByteCount::new(self.acquired));
    }
}
