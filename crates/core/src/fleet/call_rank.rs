//! The rank of a call among others.

/// The rank of a call among others that wait for the same backend server. Lower ranks go first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallRank {
    /// The priority of the call's team; 0 is the most urgent. A call without a team has 0: a
    /// backend server makes it on behalf of a call that already holds a slot.
    pub team: u8,
    /// The priority of the call's route; 0 is the most urgent.
    pub route: u8,
}
