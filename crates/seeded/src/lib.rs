//! Property tests with a fixed seed, so that every run gives the same verdict.
//!
//! `ALMONDSAIL_CASES` sets the number of cases and `ALMONDSAIL_SEED` the seed of a longer run.
//!
//! ```
//! almondsail_seeded::properties! {
//!     /// Guards against an addition that depends on the order.
//!     fn add_any_order(a: u8, b: u8) -> bool {
//!         a.wrapping_add(b) == b.wrapping_add(a)
//!     }
//! }
//! ```

#![deny(missing_docs, unsafe_code, rust_2018_idioms, unreachable_pub)]
#![deny(clippy::all)]

pub use quickcheck;
use quickcheck::{Gen, QuickCheck};

/// The seed, unless `ALMONDSAIL_SEED` sets another.
const DEFAULT_SEED: u64 = 7;

/// Number of cases that may be discarded for each one that counts.
const MAX_DISCARDS_PER_CASE: u64 = 100;

/// A runner of `cases` cases with values of up to `size`, unless the environment sets others.
/// A property fails if fewer cases than that count.
pub fn checker(cases: u64, size: usize) -> QuickCheck {
    let cases = env_or("ALMONDSAIL_CASES", cases);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(size, env_or("ALMONDSAIL_SEED", DEFAULT_SEED)))
        .max_tests(cases.saturating_mul(MAX_DISCARDS_PER_CASE))
        .tests(cases)
        .min_tests_passed(cases)
}

fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Defines property tests, each a function of arbitrary arguments.
#[macro_export]
macro_rules! properties {
    {
        $(
            $(#[$meta:meta])*
            fn $name:ident($($arg:ident : $ty:ty),* $(,)?) -> $ret:ty { $($code:tt)* }
        )*
    } => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                fn property($($arg: $ty),*) -> $ret { $($code)* }
                $crate::checker(100, 100).quickcheck(property as fn($($ty),*) -> $ret);
            }
        )*
    };
}
