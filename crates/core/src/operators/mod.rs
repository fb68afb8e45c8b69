//! What operators ask of a node, and what it answers.

mod answer;
mod command;
mod command_request;
mod moment;
mod node_row;
mod query;
mod version_role;
mod version_row;
mod view;

pub use answer::{Answer, AnswerBody};
pub use command::Command;
pub use command_request::CommandRequest;
pub use moment::Moment;
pub use node_row::NodeRow;
pub use query::Query;
pub use version_role::VersionRole;
pub use version_row::VersionRow;
pub use view::{NodeView, View};
