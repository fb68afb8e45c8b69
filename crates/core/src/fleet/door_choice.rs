//! A door that was chosen.

use crate::fleet::RemoteDoor;
use crate::units::Micros;

/// A door that was chosen, and what was believed of it.
#[derive(Debug, Clone, PartialEq)]
pub struct DoorChoice {
    /// The door.
    pub door: RemoteDoor,
    /// The calls that were believed to run or wait there.
    pub ahead: u32,
    /// How old the door's last report of its load was; `None` if there was none.
    pub load_age: Option<Micros>,
    /// How long the answer was expected to take.
    pub expected: Micros,
    /// The time that was left until the deadline.
    pub left: Micros,
    /// Whether a rollout judges the door's version.
    pub is_judged: bool,
}
