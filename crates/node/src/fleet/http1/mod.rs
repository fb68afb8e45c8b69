//! HTTP/1.1 for callers and other nodes, with whole requests and answers in memory.
//!
//! hyper answers one request of a connection after the other and does not notice a caller
//! that closes while further requests wait behind the first. Callers here send several
//! idempotent requests ahead, and leave. So the connection is driven here: requests are
//! parsed by `httparse`, answered together and in order, and dropped when the caller closes.

mod body_reader;
mod connection;
mod request_error;
mod request_parser;
mod response_writer;
mod server;

pub(crate) use connection::Pipelined;
pub(crate) use server::{Http1Settings, serve};
