//! The nodes of an installation as one node knows them.

mod announced_backend;
mod backend_state;
mod peer;
mod peer_status;

pub use announced_backend::AnnouncedBackend;
pub use backend_state::BackendState;
pub use peer::Peer;
pub use peer_status::PeerStatus;
