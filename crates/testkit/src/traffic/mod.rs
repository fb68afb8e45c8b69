//! Calls whose answers are checked, and counts of lost and doubled calls.

mod audit;
mod call_end;
mod caller;
mod load;
mod load_options;
mod request;
mod tally;

pub use audit::Audit;
pub use call_end::CallEnd;
pub use caller::Caller;
pub use load::Load;
pub use load_options::LoadOptions;
pub use request::CallRequest;
pub use tally::Tally;
