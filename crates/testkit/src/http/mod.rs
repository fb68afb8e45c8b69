//! The HTTP/1.1 server and client used by the test doubles and the tests.

mod client;
mod kept_connection;
mod query;
mod reply;
mod reply_body;
mod server;
mod server_options;

pub use client::HttpClient;
pub use kept_connection::KeptConnection;
pub use query::Query;
pub use reply::Reply;
pub use reply_body::ReplyBody;
pub use server::{Handled, HttpServer};
pub use server_options::ServerOptions;
