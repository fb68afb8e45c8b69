//! A queueing policy.

/// A queueing policy: which calls wait and in which order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The queue of this crate, which sheds load by value where there are teams.
    Product,
    /// The queue of this crate by target, which knows no teams.
    Target,
    /// In order of arrival, whatever the wait.
    Fcfs,
    /// In order of arrival; calls are refused once forty wait.
    Bounded,
    /// By rank, then in order of arrival; calls are refused when their deadline has passed.
    Priority,
    /// By deadline; calls are refused when it has passed.
    Edf,
}

impl Policy {
    pub const ALL: [Self; 6] =
        [Self::Product, Self::Target, Self::Fcfs, Self::Bounded, Self::Priority, Self::Edf];

    pub const fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::Target => "target",
            Self::Fcfs => "fcfs",
            Self::Bounded => "bounded",
            Self::Priority => "priority",
            Self::Edf => "edf",
        }
    }
}
