//! Nodes, fake backend servers and callers within one process, connected over loopback.

#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

pub mod caller;
pub mod fake_backend;
pub mod mesh;
