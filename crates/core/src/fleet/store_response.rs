//! Responses of the store with their era.

use crate::fleet::{StoreFailure, StoreReply};
use crate::store::StoreEra;

/// What came back for a request to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreResponse {
    /// The era of the store that answered; `None` if no answer came or it names no readable era.
    pub era: Option<StoreEra>,
    /// The store's answer, or why there is none.
    pub reply: Result<StoreReply, StoreFailure>,
}

impl StoreResponse {
    /// Creates the response of a store in `era`.
    pub const fn new(era: StoreEra, reply: Result<StoreReply, StoreFailure>) -> Self {
        Self { era: Some(era), reply }
    }

    /// Creates the response to a request that failed without an answer of a known era.
    pub const fn failed(failure: StoreFailure) -> Self {
        Self { era: None, reply: Err(failure) }
    }
}
