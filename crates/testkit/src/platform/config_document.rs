//! Builds the configuration document of the test metadata store.

use std::time::Duration;

use serde_json::{Value, json};

/// Limit on the body of a request, unless a test sets another one.
const MAX_BODY_BYTES: usize = 1_048_576;
/// How long a caller's connection may stay idle, unless a test sets another limit.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Builds a configuration document for the fleet.
///
/// Each service has the host `SERVICE.example`, an idempotent route `/safe/` and a non-idempotent
/// route `/unsafe/`. Nothing else is set at first.
#[derive(Debug, Clone)]
pub struct ConfigDocument {
    version: u32,
    services: Vec<String>,
    max_body_bytes: usize,
    idle_timeout: Duration,
    unused_routes: usize,
    resources: Vec<Value>,
}

impl ConfigDocument {
    /// Starts a document with the routes of `services`.
    pub fn new(version: u32, services: &[&str]) -> Self {
        Self {
            version,
            services: services.iter().map(|service| (*service).to_owned()).collect(),
            max_body_bytes: MAX_BODY_BYTES,
            idle_timeout: IDLE_TIMEOUT,
            unused_routes: 0,
            resources: Vec::new(),
        }
    }

    /// Sets the limit on the body of a request.
    #[must_use]
    pub fn max_body_bytes(self, max_body_bytes: usize) -> Self {
        Self { max_body_bytes, ..self }
    }

    /// Sets how long a caller's connection may stay idle.
    #[must_use]
    pub fn idle_timeout(self, idle_timeout: Duration) -> Self {
        Self { idle_timeout, ..self }
    }

    /// Adds `number` routes that nobody calls.
    #[must_use]
    pub fn unused_routes(self, number: usize) -> Self {
        Self { unused_routes: number, ..self }
    }

    /// Adds a team with its credentials.
    #[must_use]
    pub fn team(self, name: &str, credentials: &[&str]) -> Self {
        self.resource(json!({
            "type": "tenants", "metadata": {"name": name},
            "spec": {"api_keys": credentials, "priority": 1},
        }))
    }

    /// Adds a public idempotent route `/public/` to `service`.
    #[must_use]
    pub fn public_route(self, service: &str) -> Self {
        let mut route = route(service, "safe");
        route["metadata"]["name"] = format!("{service}-public").into();
        route["spec"]["prefix"] = "/public/".into();
        route["spec"]["public"] = true.into();
        self.resource(route)
    }

    /// Adds a resource in any form.
    #[must_use]
    pub fn resource(mut self, resource: Value) -> Self {
        self.resources.push(resource);
        self
    }

    /// Returns the document as JSON.
    pub fn to_json(&self) -> Value {
        let mut resources = vec![json!({
            "type": "limits", "metadata": {},
            "spec": {
                "max_header_bytes": 16_384, "max_body_bytes": self.max_body_bytes,
                "header_timeout_ms": 3_000, "idle_timeout_ms": self.idle_timeout.as_millis(),
            },
        })];
        for service in &self.services {
            resources.extend([route(service, "safe"), route(service, "unsafe"), settings(service)]);
        }
        resources.extend((0..self.unused_routes).map(|n| self.unused_route(n)));
        resources.extend(self.resources.iter().cloned());
        json!({"version": format!("{:08x}", self.version), "resources": resources})
    }

    fn unused_route(&self, n: usize) -> Value {
        // Texts that don't repeat, as in a real configuration.
        let word = format!("{:016x}", (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut unused = route(&self.services[n % self.services.len()], "safe");
        unused["spec"]["prefix"] = format!("/{}/", &word[..8]).into();
        unused["metadata"]["name"] = word.into();
        unused
    }
}

fn route(service: &str, kind: &str) -> Value {
    json!({
        "type": "routes",
        "metadata": {"name": format!("{service}-{kind}")},
        "spec": {
            "host": format!("{service}.example"), "prefix": format!("/{kind}/"),
            "kind": kind, "timeout_ms": 20_000, "target_latency_ms": 2_000,
            "priority": 1, "service": service, "max_attempts": 2,
        },
    })
}

fn settings(service: &str) -> Value {
    json!({
        "type": "services", "metadata": {"name": service},
        "spec": {"health_path": "/healthz", "max_connections": 50},
    })
}
