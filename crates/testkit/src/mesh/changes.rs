//! Changes of the configuration for tests.

use almondsail_core::config::{Change, Priority, Route, ServerVersion};
use almondsail_core::units::Millis;
use eyre::Result;

/// The deadline of every route.
pub const DEADLINE: Millis = Millis::new(5_000);

/// Creates a service with one version and routes below `/SERVICE`: reads are
/// idempotent, `/SERVICE/book` is not.
pub fn service(service: &str, version: &str) -> Result<Vec<Change>> {
    Ok(vec![
        Change::CreateService { name: service.parse()?, team: "depots".parse()? },
        Change::CreateVersion(ServerVersion {
            service: service.parse()?,
            version: version.parse()?,
        }),
        route(&format!("{service}-lookup"), service, &format!("/{service}"), true)?,
        route(&format!("{service}-book"), service, &format!("/{service}/book"), false)?,
    ])
}

/// Creates a route.
pub fn route(name: &str, service: &str, prefix: &str, idempotent: bool) -> Result<Change> {
    Ok(Change::CreateRoute(Route {
        name: name.parse()?,
        service: service.parse()?,
        prefix: prefix.parse()?,
        priority: Priority::Interactive,
        idempotent,
        deadline: DEADLINE,
    }))
}
