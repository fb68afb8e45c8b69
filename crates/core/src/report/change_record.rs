//! How long a change took to be in force.

use crate::ids::{ConfigVersion, MemberName};
use crate::units::{Millis, UnixMillis};

/// How long a change of a member took to be in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeRecord {
    /// The configuration version that the change made.
    pub version: ConfigVersion,
    /// The member whose service it changed.
    pub member: MemberName,
    /// When it was accepted.
    pub accepted: UnixMillis,
    /// The time until it was in force on every node; `None` if that was not seen.
    pub in_force_after: Option<Millis>,
}
