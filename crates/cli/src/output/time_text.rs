//! Formats wall-clock times for output to operators.

use std::time::{Duration, UNIX_EPOCH};

/// Formats milliseconds since the Unix epoch as RFC 3339, or as `unix:<n>ms` after the year 9999,
/// the last that RFC 3339 can express.
pub(super) fn time_text(unix_ms: u64) -> String {
    const MAX_RFC3339_MS: u64 = 253_402_300_799_999;
    if unix_ms > MAX_RFC3339_MS {
        return format!("unix:{unix_ms}ms");
    }
    humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(unix_ms)).to_string()
}
