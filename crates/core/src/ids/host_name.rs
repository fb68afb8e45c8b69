//! The name of a host.

name_type!(
    /// Names a host, the machine on which one backend server and one node run.
    HostName,
    "host"
);
