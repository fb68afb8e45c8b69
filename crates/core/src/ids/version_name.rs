//! The name of a version.

name_type!(
    /// A version of the backend servers of a service.
    VersionName,
    "version"
);
