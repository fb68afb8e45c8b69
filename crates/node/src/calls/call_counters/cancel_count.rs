//! The count of calls that are given up.

use std::sync::Arc;

use super::CallCell;

/// Counts a call as cancelled if it is dropped before its result.
pub(crate) struct CancelCount<'a> {
    cell: Option<&'a Arc<CallCell>>,
}

impl<'a> CancelCount<'a> {
    pub(crate) const fn new(cell: Option<&'a Arc<CallCell>>) -> Self {
        Self { cell }
    }

    /// Notes that the call has a result, which is counted elsewhere.
    pub(crate) fn disarm(mut self) {
        self.cell = None;
    }
}

impl Drop for CancelCount<'_> {
    fn drop(&mut self) {
        if let Some(cell) = self.cell {
            cell.cancelled();
        }
    }
}
