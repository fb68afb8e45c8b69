//! The configuration that operators accept and every node carries.

mod accepted;
mod change;
mod check;
mod config_error;
mod content;
mod delta;
mod delta_error;
mod edit;
mod history_entry;
mod path_prefix;
mod priority;
mod reason;
mod rollout;
mod rollout_phase;
mod route;
mod server_version;
mod service;
mod stop_mark;

pub use accepted::Config;
pub use change::Change;
pub use check::{MAX_TEXT_BYTES, check, is_plain_text};
pub use config_error::ConfigError;
pub use content::ConfigContent;
pub use delta::Delta;
pub use delta_error::DeltaError;
pub use edit::Edit;
pub use history_entry::{HistoryEntry, MAX_HISTORY_ENTRIES};
pub use path_prefix::PathPrefix;
pub use priority::Priority;
pub use reason::Reason;
pub use rollout::Rollout;
pub use rollout_phase::RolloutPhase;
pub use route::Route;
pub use server_version::ServerVersion;
pub use service::Service;
pub use stop_mark::StopMark;
