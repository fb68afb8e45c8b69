//! The macro that defines a newtype for a name.

/// Maximum length of a name in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 64;

/// Describes the form of a name in error messages.
pub(crate) const NAME_FORM: &str =
    "1 to 64 of a-z, 0-9, '-' and '.', beginning and ending with a letter or digit";

/// Returns whether `text` has the form of a name that [`NAME_FORM`] describes.
pub(crate) fn is_name(text: &str) -> bool {
    let is_edge = |b: Option<&u8>| b.is_some_and(|b| b.is_ascii_lowercase() || b.is_ascii_digit());
    let is_inner = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
    let bytes = text.as_bytes();
    bytes.len() <= MAX_NAME_BYTES
        && is_edge(bytes.first())
        && is_edge(bytes.last())
        && bytes.iter().all(|&b| is_inner(b))
}

/// Defines a newtype over `Arc<str>` whose text has the form of a name.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ids::ParseIdError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                if $crate::ids::name::is_name(s) {
                    Ok(Self(s.into()))
                } else {
                    Err($crate::ids::ParseIdError::new($kind, s, $crate::ids::name::NAME_FORM))
                }
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}
