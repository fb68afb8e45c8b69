//! The decision logic of almondsail, without input or output.
//!
//! Events, the current time and a random number generator are passed in, and
//! the actions to carry out are returned. Sockets, files, timers and threads
//! belong to the processes that use this crate.
//!
//! ```
//! use almondsail_core::ids::ServiceName;
//!
//! let service: ServiceName = "bays".parse()?;
//! assert_eq!(service.to_string(), "bays");
//! # Ok::<(), almondsail_core::ids::ParseIdError>(())
//! ```

#![deny(missing_docs, unsafe_code, rust_2018_idioms, unreachable_pub)]
#![deny(clippy::all)]

pub mod config;
pub mod control;
pub mod fleet;
pub mod ids;
pub mod operators;
pub mod peers;
pub mod quota;
pub mod report;
pub mod rollout;
pub mod store;
pub mod sync;
pub mod traffic;
pub mod units;

mod refusal_reason;
mod retry_reason;
mod verdict;

pub use refusal_reason::RefusalReason;
pub use retry_reason::RetryReason;
pub use verdict::Verdict;
