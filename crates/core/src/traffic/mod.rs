//! The decisions on the path of a call.

mod balancer;
mod body_budget;
mod call_id;
mod call_keys;
mod claim_answer;
mod deadline;
mod door;
mod door_counts;
mod door_limits;
mod endpoint;
mod endpoint_load;
mod load_report;
mod recorded_answers;
mod registrars;
mod retry_budget;
mod retry_policy;
mod snapshot;
mod traffic_split;

pub use balancer::{Balancer, Candidate};
pub use body_budget::BodyBudget;
pub use call_id::CallId;
pub use call_keys::CallKeys;
pub use claim_answer::ClaimAnswer;
pub use deadline::Deadline;
pub use door::{Admission, Door, Ticket, Wakeup};
pub use door_counts::DoorCounts;
pub use door_limits::DoorLimits;
pub use endpoint::Endpoint;
pub use endpoint_load::EndpointLoad;
pub use load_report::LoadReport;
pub use recorded_answers::{RecordedAnswers, Replay};
pub use registrars::registrars;
pub use retry_budget::RetryBudget;
pub use retry_policy::{FailedAttempt, RetryDecision, RetryPolicy};
pub use snapshot::{ServiceView, Snapshot, SnapshotInput};
pub use traffic_split::TrafficSplit;
