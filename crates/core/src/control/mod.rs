//! The control state of a node: the events that it takes and the actions that it returns.

mod accounting_control;
mod action;
mod backoff;
mod control_settings;
mod control_status;
mod cx;
mod dissemination;
mod event;
mod joiner;
mod local_backend;
mod membership;
mod outbox;
mod peer_failure;
mod peer_message;
mod pending_request;
mod request_id;
mod rollout_control;
mod state;
mod state_change;
mod stop_marks;
mod store_access;
mod sync_status;

pub use action::Action;
pub(crate) use backoff::Backoff;
pub use control_settings::{ControlSettings, ControlSettingsBuilder, MissingSetting};
pub use control_status::ControlStatus;
pub use event::Event;
pub use peer_failure::PeerFailure;
pub use peer_message::PeerMessage;
pub use request_id::RequestId;
pub(crate) use rollout_control::is_active;
pub use state::Control;
pub use state_change::StateChange;
pub use sync_status::SyncStatus;
