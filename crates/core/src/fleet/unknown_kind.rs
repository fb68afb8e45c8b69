//! Kinds of routes that this build does not know.

use std::fmt;
use std::sync::Arc;

/// A kind of route that this build does not know. Calls of such routes must not run twice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownKind {
    /// The name of the kind, at most [`Self::MAX_CHARS`] characters of it.
    pub name: Arc<str>,
    /// The name of the first route of this kind, shortened in the same way.
    pub first_route: Arc<str>,
    /// The number of routes of this kind.
    pub routes: u32,
}

impl UnknownKind {
    /// The largest number of characters of a name that is kept, since it comes from outside.
    pub const MAX_CHARS: usize = 64;

    /// Creates the kind `name` without routes, of which `first_route` will be the first.
    pub fn new(name: &str, first_route: &str) -> Self {
        let shorten = |text: &str| text.chars().take(Self::MAX_CHARS).collect::<String>().into();
        Self { name: shorten(name), first_route: shorten(first_route), routes: 0 }
    }
}

impl fmt::Display for UnknownKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { name, first_route, routes } = self;
        write!(f, "{name:?} of {routes} routes, first {first_route}: their calls are not repeated")
    }
}
