//! The control state of a node: the events that it takes and the actions that it returns.

mod action;
mod backoff;
mod control_settings;
mod control_settings_builder;
mod control_status;
mod cx;
mod dissemination;
mod event;
mod joiner;
mod local_backend;
mod membership;
mod missing_setting;
mod outbox;
mod peer_failure;
mod peer_message;
mod pending_request;
mod request_id;
mod state;
mod state_change;
mod stop_marks;
mod stop_origin;
mod store_access;
mod sync_status;

pub use action::Action;
pub(crate) use backoff::Backoff;
pub use control_settings::ControlSettings;
pub use control_settings_builder::ControlSettingsBuilder;
pub use control_status::ControlStatus;
pub use event::Event;
pub use missing_setting::MissingSetting;
pub use peer_failure::PeerFailure;
pub use peer_message::PeerMessage;
pub use request_id::RequestId;
pub use state::Control;
pub use state_change::StateChange;
pub use sync_status::SyncStatus;
