//! The events that the control state takes and the actions that it returns.

mod action;
mod event;
mod peer_failure;
mod peer_message;
mod request_id;
mod state_change;
mod sync_status;

pub use action::Action;
pub use event::Event;
pub use peer_failure::PeerFailure;
pub use peer_message::PeerMessage;
pub use request_id::RequestId;
pub use state_change::StateChange;
pub use sync_status::SyncStatus;
