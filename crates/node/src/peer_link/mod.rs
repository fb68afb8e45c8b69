//! Messages to and from other nodes, over tarpc.

mod byte_counts;
mod client_pool;
mod counted_stream;
mod frame_seal;
mod peer_service;
mod server;

pub use byte_counts::ByteCounts;
pub use client_pool::ClientPool;
pub use frame_seal::{Direction, FrameSeal, OpenError};
pub use peer_service::{PeerService, PeerServiceClient};
pub use server::{IncomingRequest, PeerServer};
