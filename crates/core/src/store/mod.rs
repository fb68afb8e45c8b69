//! The decisions about the platform's key-value service, the store.

mod edit_text;
mod job_id;
mod outcome;
mod refused_change;
pub(crate) mod scope;
mod store_error;
mod store_job;
mod store_reader;
mod store_reply;
mod store_request;
mod store_writer;
mod submission;

pub use job_id::JobId;
pub use outcome::Outcome;
pub use refused_change::RefusedChange;
pub use store_error::StoreError;
pub use store_reader::{READERS_PER_DATA_CENTRE, ReadResult, ReaderRole, StoreReader};
pub use store_reply::{Revision, StoreReply, StoredConfig, StoredHour};
pub use store_request::StoreRequest;
pub use store_writer::{JOB_TIME, MAX_JOBS, StoreWriter, WriterStep};
pub use submission::Submission;
