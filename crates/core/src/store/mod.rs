//! Reader and writer of the store, the platform's key-value service.
//!
//! Decides which requests to make; the process around it sends them.

mod edit_text;
mod job_id;
mod outcome;
mod read_result;
mod reader_role;
mod refused_change;
mod revision;
pub(crate) mod scope;
mod store_era;
mod store_error;
mod store_job;
mod store_position;
mod store_reader;
mod store_reply;
mod store_request;
mod store_writer;
mod stored_config;
mod stored_hour;
mod submission;
mod writer_step;

pub use job_id::JobId;
pub use outcome::Outcome;
pub use read_result::ReadResult;
pub use reader_role::ReaderRole;
pub use refused_change::RefusedChange;
pub use revision::Revision;
pub use store_era::StoreEra;
pub use store_error::StoreError;
pub use store_position::StorePosition;
pub use store_reader::{READERS_PER_DATA_CENTRE, StoreReader};
pub use store_reply::StoreReply;
pub use store_request::StoreRequest;
pub use store_writer::{JOB_TIMEOUT, MAX_JOBS, StoreWriter};
pub use stored_config::StoredConfig;
pub use stored_hour::StoredHour;
pub use submission::Submission;
pub use writer_step::WriterStep;
