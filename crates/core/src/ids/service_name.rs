//! The name of a service.

name_type!(
    /// Names a service, which backend servers of one or more versions provide.
    ServiceName,
    "service"
);
