//! Newtypes for sizes, rates, shares and times that carry their unit.

mod byte_count;
mod call_rate;
mod calls_per_second;
mod instant;
mod micros;
mod millis;
mod parse_unit_error;
mod per_mille;
mod percent;
mod unix_millis;

pub use byte_count::ByteCount;
pub use call_rate::CallRate;
pub use calls_per_second::CallsPerSecond;
pub use instant::Instant;
pub use micros::Micros;
pub use millis::Millis;
pub use parse_unit_error::ParseUnitError;
pub use per_mille::PerMille;
pub use percent::Percent;
pub use unix_millis::UnixMillis;
