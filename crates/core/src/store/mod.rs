//! The decisions about the platform's key-value service, the store.

mod outcome;
mod refused_change;
mod store_error;
mod store_reply;
mod store_request;
mod submission;

pub use outcome::Outcome;
pub use refused_change::RefusedChange;
pub use store_error::StoreError;
pub use store_reply::{Revision, StoreReply, StoredConfig};
pub use store_request::StoreRequest;
pub use submission::Submission;
