//! HTTP/1.1 server for callers and other nodes. Requests and answers are held whole in memory.
//!
//! This replaces hyper's server, which handles pipelined requests one after another and does not
//! notice that a caller closes while requests wait behind the first. Callers pipeline idempotent
//! requests and may disconnect at any time. Here `httparse` parses the requests; they run
//! concurrently, are answered in order, and are cancelled when the caller closes.

mod body_reader;
mod body_reservation;
mod connection;
mod head_check;
mod held_body;
mod request_error;
mod request_parser;
mod response_writer;
mod server;

pub(crate) use connection::{Pipelined, WRITE_TIMEOUT};
pub(crate) use head_check::RefusedHead;
pub(crate) use request_error::RequestError;
pub(crate) use server::{Http1Settings, serve};
