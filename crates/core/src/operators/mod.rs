//! Commands and queries of operators, and a node's answers to them.

mod answer;
mod answer_body;
mod command;
mod command_request;
mod command_time;
mod known_node;
mod node_row;
mod query;
mod query_context;
mod version_role;
mod version_row;

pub use answer::Answer;
pub use answer_body::AnswerBody;
pub use command::Command;
pub use command_request::CommandRequest;
pub use command_time::CommandTime;
pub use known_node::KnownNode;
pub use node_row::NodeRow;
pub use query::Query;
pub use query_context::QueryContext;
pub use version_role::VersionRole;
pub use version_row::VersionRow;
