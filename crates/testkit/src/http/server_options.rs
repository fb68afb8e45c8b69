//! Options of the HTTP server.

/// Options of the HTTP server; no limits by default.
#[derive(Debug, Clone, Copy)]
pub struct ServerOptions {
    /// The largest number of open connections; further ones are closed at once.
    pub max_connections: usize,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self { max_connections: usize::MAX }
    }
}
