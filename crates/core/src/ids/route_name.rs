//! The name of a route.

name_type!(
    /// Names a route from callers to a service.
    RouteName,
    "route"
);
