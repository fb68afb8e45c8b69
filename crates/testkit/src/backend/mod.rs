//! The test double of a backend server.

mod announcement;
mod announcement_fault;
mod announcement_history;
mod call;
mod echo;
mod execution;
mod execution_log;
mod fault;
mod fault_rule;
mod faults;
mod options;
mod plan;
mod server;
mod service_time;
mod slots;

pub use announcement::Announcement;
pub use announcement_fault::AnnouncementFault;
pub use echo::Echo;
pub use execution::{Execution, ExecutionEnd};
pub use execution_log::ExecutionLog;
pub use fault::Fault;
pub use fault_rule::FaultRule;
pub use faults::Faults;
pub use options::BackendOptions;
pub use plan::Plan;
pub use server::BackendServer;
pub use service_time::ServiceTime;
