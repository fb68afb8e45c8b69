//! The id of a backend server's process.

name_type!(
    /// Identifies one run of a backend server's process. A server that restarts may keep its id.
    BackendId,
    "backend server id"
);
