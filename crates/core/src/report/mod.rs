//! What a member's board reads: what was delivered, and at what cost.
//!
//! Nodes count ([`AccountingRecord`]), readers merge ([`Accounting`]), and
//! [`MemberReport`] adds up a period. What is missing is counted as missing.

mod accounting;
mod accounting_record;
mod call_counts;
mod change_record;
mod cost;
mod in_force_times;
mod member_report;
mod minute;
mod report_input;
mod report_query;
mod rollout_record;

pub use accounting::{Accounting, MAX_RECORDS};
pub use accounting_record::AccountingRecord;
pub use call_counts::CallCounts;
pub use change_record::ChangeRecord;
pub use cost::{Cost, FIXED_PART};
pub use in_force_times::InForceTimes;
pub use member_report::MemberReport;
pub use minute::Minute;
pub use report_input::ReportInput;
pub use report_query::ReportQuery;
pub use rollout_record::{RolloutEnd, RolloutRecord};
