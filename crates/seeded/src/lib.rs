//! Property tests with a fixed seed, so that every run has the same result.
//!
//! The environment variables `ALMONDSAIL_CASES` and `ALMONDSAIL_SEED` override the number of cases
//! and the seed, for longer runs.
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

use std::ops::Range;

pub use quickcheck;
use quickcheck::{Gen, QuickCheck};

/// Seed of the generator unless `ALMONDSAIL_SEED` is set.
const DEFAULT_SEED: u64 = 7;

/// Number of discarded cases after which a property gives up, per case that must pass.
const MAX_DISCARDS_PER_CASE: u64 = 100;

/// Returns a runner of `cases` cases whose generated values have a size of up to `size`.
///
/// `ALMONDSAIL_CASES` overrides `cases`. A property also fails if fewer cases run because too
/// many are discarded.
pub fn checker(cases: u64, size: usize) -> QuickCheck {
    let cases = env_or("ALMONDSAIL_CASES", cases);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(size, env_or("ALMONDSAIL_SEED", DEFAULT_SEED)))
        .max_tests(cases.saturating_mul(MAX_DISCARDS_PER_CASE))
        .tests(cases)
        .min_tests_passed(cases)
}

/// Returns the seeds of `cases` cases of a test that generates its cases itself.
///
/// `ALMONDSAIL_CASES` overrides `cases`, and `ALMONDSAIL_SEED` the first seed.
pub fn seeds(cases: u64) -> Range<u64> {
    let first = env_or("ALMONDSAIL_SEED", DEFAULT_SEED);
    first..first.saturating_add(env_or("ALMONDSAIL_CASES", cases))
}

fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Defines property tests as functions of generated arguments, each run on 100 cases by default.
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
