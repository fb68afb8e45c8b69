//! How calls ended.

/// The numbers of calls by how they ended.
#[derive(Debug, Default, Clone, Copy)]
pub struct Outcomes {
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    /// Calls whose answer came after the deadline.
    pub lost: u32,
}

impl Outcomes {
    /// The value of a late answer, relative to that of one in time.
    const LATE_VALUE: f64 = 1.0 / 3.0;

    pub const fn calls(self) -> u32 {
        self.in_time + self.late + self.refused + self.lost
    }

    /// Returns the part of the calls that were answered before their deadline.
    pub fn served(self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.calls().max(1))
    }

    /// Returns the mean value of a call.
    pub fn value(self) -> f64 {
        let value = f64::from(self.in_time) + Self::LATE_VALUE * f64::from(self.late);
        value / f64::from(self.calls().max(1))
    }

    /// Returns the sum of both.
    pub const fn with(self, other: Self) -> Self {
        Self {
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            refused: self.refused + other.refused,
            lost: self.lost + other.lost,
        }
    }
}
