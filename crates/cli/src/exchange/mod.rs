//! Exchanges one HTTP request and response with a node.

mod exchange_error;
mod node_client;
mod node_request;
mod node_response;

pub use exchange_error::ExchangeError;
pub use node_client::NodeClient;
pub use node_request::NodeRequest;
pub use node_response::NodeResponse;
