//! Options of a load.

use std::time::Duration;

/// Options of a load.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// The services that are called.
    pub services: Vec<String>,
    /// Calls under way at a time.
    pub workers: usize,
    /// How long a worker waits between two calls.
    pub pause: Duration,
    /// Calls of each worker at most.
    pub max_calls: u64,
}

impl LoadOptions {
    /// A load of a few hundred calls per second that ends by itself.
    pub fn for_services(services: &[&str]) -> Self {
        Self {
            services: services.iter().map(|name| (*name).to_owned()).collect(),
            workers: 8,
            pause: Duration::from_millis(20),
            max_calls: 5_000,
        }
    }
}
