//! One exchange of messages with a node.

mod exchange_error;
mod node_answer;
mod node_client;
mod node_request;

pub use exchange_error::ExchangeError;
pub use node_answer::NodeAnswer;
pub use node_client::NodeClient;
pub use node_request::NodeRequest;
