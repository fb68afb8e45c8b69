//! The test double of the platform's key-value service.

mod counts;
mod key_values;
mod lease_id;
mod mode;
mod options;
mod put_outcome;
mod rate_limit;
mod revision;
mod server;

pub use counts::StoreCounts;
pub use key_values::{KeyValues, MAX_VALUE_BYTES};
pub use lease_id::LeaseId;
pub use mode::StoreMode;
pub use options::StoreOptions;
pub use put_outcome::PutOutcome;
pub use rate_limit::RateLimit;
pub use revision::Revision;
pub use server::StoreServer;
