//! Nodes of the installation as one node knows them, and failure detection.

mod announced_backend;
mod backend_state;
mod failure_detector;
pub(crate) mod hash;
mod links;
mod merge;
mod peer;
mod peer_status;
mod peer_table;
mod rendezvous;

pub use announced_backend::AnnouncedBackend;
pub use backend_state::BackendState;
pub use failure_detector::{FailureDetector, PING_PERIOD, PING_TIMEOUT, SUSPICION_TIMEOUT};
pub use links::Links;
pub use merge::Merge;
pub use peer::Peer;
pub use peer_status::PeerStatus;
pub use peer_table::{BUCKET_COUNT, PeerTable};
pub use rendezvous::rank;
pub(crate) use rendezvous::rank_positions;
