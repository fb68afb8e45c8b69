//! The requests to the store that are under way.

use std::collections::HashMap;

use tokio::task::AbortHandle;

/// The tasks that wait for answers of the store, by the numbers of their requests.
#[derive(Debug, Default)]
pub(crate) struct StoreRequests {
    tasks: HashMap<u64, AbortHandle>,
}

impl StoreRequests {
    /// Adds the task of the request `id`.
    pub(crate) fn insert(&mut self, id: u64, task: AbortHandle) {
        self.tasks.insert(id, task);
    }

    /// Removes the task of the request `id`, which has ended.
    pub(crate) fn remove(&mut self, id: u64) {
        self.tasks.remove(&id);
    }

    /// Ends the task of the request `id` and closes its connection.
    pub(crate) fn cancel(&mut self, id: u64) {
        if let Some(task) = self.tasks.remove(&id) {
            task.abort();
        }
    }
}
