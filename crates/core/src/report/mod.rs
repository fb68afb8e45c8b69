//! Accounting of calls and costs, and the reports for teams.
//!
//! Each node counts in its [`Ledger`] and sends an [`AccountingRecord`] per minute
//! to the [`Collector`] of its data centre, which adds the records to the
//! [`HourValue`] in the store. A [`TeamReport`] is computed from the
//! [`StoredHours`] read back. Missing records are counted and reported as missing.

mod accounting_record;
mod call_counts;
mod call_end;
mod change_sums;
mod collector;
mod cost;
mod hour;
mod hour_key;
mod hour_sums;
mod hour_value;
mod hour_write;
mod in_force_times;
mod ledger;
mod minute;
mod report_input;
mod report_period;
mod report_query;
mod rollout_record;
mod stored_hours;
mod sums;
mod team_report;

pub use accounting_record::AccountingRecord;
pub use call_counts::CallCounts;
pub use call_end::{CallEnd, EndedCalls};
pub use change_sums::ChangeSums;
pub use collector::{Collector, MAX_BUFFERED_HOURS, MAX_RECORD_AGE_MINUTES, MINUTE_WRITE_DELAY};
pub use cost::{Cost, FIXED_PART};
pub use hour::Hour;
pub use hour_key::HourKey;
pub use hour_sums::{HourSums, NodeMinutes};
pub use hour_value::{HourValue, MAX_WRITE_IDS};
pub use in_force_times::InForceTimes;
pub use ledger::Ledger;
pub use minute::Minute;
pub use report_input::ReportInput;
pub use report_period::{MAX_REPORT_HOURS, ReportPeriod};
pub use report_query::ReportQuery;
pub use rollout_record::{RolloutEnd, RolloutKey, RolloutRecord};
pub use stored_hours::{Gaps, StoredHours};
pub use sums::Sums;
pub use team_report::TeamReport;
