//! The name of a version.

name_type!(
    /// Names a version of a service's backend servers. Unique only within the service.
    VersionName,
    "version"
);
