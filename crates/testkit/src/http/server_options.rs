//! Settings of a server.

/// Settings of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerOptions {
    /// Connections served at a time; more are closed at once.
    pub max_connections: usize,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self { max_connections: usize::MAX }
    }
}
