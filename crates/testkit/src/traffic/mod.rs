//! Sends calls, checks their answers and detects lost or duplicated calls.

mod audit;
mod call_outcome;
mod call_results;
mod caller;
mod load;
mod load_options;
mod request;

pub use audit::Audit;
pub use call_outcome::CallOutcome;
pub use call_results::CallResults;
pub use caller::Caller;
pub use load::Load;
pub use load_options::LoadOptions;
pub use request::CallRequest;
