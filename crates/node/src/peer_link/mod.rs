//! Authenticated messages between nodes, sent over tarpc.

mod client_pool;
mod direction;
mod frame_seal;
mod incoming_request;
mod open_error;
mod peer_service;
mod server;

pub use client_pool::ClientPool;
pub use direction::Direction;
pub use frame_seal::FrameSeal;
pub use incoming_request::IncomingRequest;
pub use open_error::OpenError;
pub use peer_service::{PeerService, PeerServiceClient};
pub use server::PeerServer;
