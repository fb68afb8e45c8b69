//! Commands and queries of operators, and a node's answers to them.

mod answer;
mod answer_body;
mod command;
mod command_request;
mod command_time;
mod node_row;
mod node_view;
mod query;
mod version_role;
mod version_row;
mod view;

pub use answer::Answer;
pub use answer_body::AnswerBody;
pub use command::Command;
pub use command_request::CommandRequest;
pub use command_time::CommandTime;
pub use node_row::NodeRow;
pub use node_view::NodeView;
pub use query::Query;
pub use version_role::VersionRole;
pub use version_row::VersionRow;
pub use view::View;
