//! The macro that defines a newtype for a counter.

/// Describes the form of a counter in error messages.
pub(crate) const NUMBER_FORM: &str = "a whole number from 0 to 18446744073709551615";

/// Defines a newtype over `u64` for a number that is raised by one at a time.
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u64);

        impl $name {
            /// Wraps the number `n`.
            pub const fn new(n: u64) -> Self {
                Self(n)
            }

            /// Returns the number.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the next number. Saturates at `u64::MAX`.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ids::ParseIdError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                s.parse().map(Self).map_err(|_| {
                    $crate::ids::ParseIdError::new($kind, s, $crate::ids::number::NUMBER_FORM)
                })
            }
        }
    };
}
