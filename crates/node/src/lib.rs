//! The almondsail process beside each backend server.
//!
//! One thread, `control`, owns the control state of
//! [`almondsail_core::control`] with its timers, its links to other nodes and
//! its requests to the store. The threads of a second runtime carry calls;
//! they read a snapshot that the control thread publishes.

#![deny(missing_docs, unsafe_code, rust_2018_idioms, unreachable_pub)]
#![deny(clippy::all)]

pub mod cli;
pub mod clock;
pub mod control_input;
pub mod control_request;
pub mod http_server;
pub mod local_api;
pub mod log;
pub mod metrics;
pub mod operator_auth;
pub mod operator_control;
pub mod operator_error;
pub mod operators;
pub mod peer_link;
pub mod settings;
pub mod store_client;
