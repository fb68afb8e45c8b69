//! Statuses that an answer may have.

use http::StatusCode;

/// Returns whether a final answer may have `status`. Informational statuses, which precede an
/// answer, and numbers above 599, to which HTTP gives no meaning (RFC 9110, section 15), are none.
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}
