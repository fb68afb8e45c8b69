//! The id of a backend server.

name_type!(
    /// One start of a backend server. A server that starts again may keep its id.
    BackendId,
    "backend server id"
);
