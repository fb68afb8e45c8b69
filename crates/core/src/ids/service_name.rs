//! The name of a service.

name_type!(
    /// A service, provided by backend servers of one or more versions.
    ServiceName,
    "service"
);
