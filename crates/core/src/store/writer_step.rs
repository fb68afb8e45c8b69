//! Steps that the store writer asks for.

use std::sync::Arc;

use crate::config::Config;
use crate::store::{JobId, Outcome, StoreRequest};

/// A step that the store writer asks its caller to perform.
#[derive(Debug, Clone)]
pub enum WriterStep {
    /// Send a request to the store and pass its reply to the job.
    Request(JobId, StoreRequest),
    /// Report the outcome of the job. The configuration, if any, was read from the store or
    /// written to it.
    Done(JobId, Outcome, Option<Arc<Config>>),
}
