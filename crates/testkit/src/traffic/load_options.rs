//! Options of the generated load.

use std::time::Duration;

/// Options of the generated load.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// The names of the services to call; not empty.
    pub services: Vec<String>,
    /// The number of concurrent tasks, each of which sends one call at a time.
    pub workers: usize,
    /// The delay of a task between two calls.
    pub pause: Duration,
    /// The largest number of calls of each task.
    pub max_calls: u64,
}

impl LoadOptions {
    /// Returns options for a few hundred calls per second to `services`, limited so that
    /// the load ends even if it is never stopped.
    pub fn for_services(services: &[&str]) -> Self {
        Self {
            services: services.iter().map(|name| (*name).to_owned()).collect(),
            workers: 8,
            pause: Duration::from_millis(20),
            max_calls: 5_000,
        }
    }
}
