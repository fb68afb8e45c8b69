//! What the writer of the store asks for.

use std::sync::Arc;

use crate::config::Config;
use crate::store::{JobId, Outcome, StoreRequest};

/// What the writer asks for.
#[derive(Debug, Clone)]
pub enum WriterStep {
    /// Send a request to the store and hand its reply to the job.
    Request(JobId, StoreRequest),
    /// Tell the submitter the outcome. The store was seen to hold the configuration.
    Done(JobId, Outcome, Option<Arc<Config>>),
}
