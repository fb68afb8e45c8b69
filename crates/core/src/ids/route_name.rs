//! The name of a route.

name_type!(
    /// A route from callers to a service.
    RouteName,
    "route"
);
