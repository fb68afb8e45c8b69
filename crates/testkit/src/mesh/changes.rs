//! Builds configuration changes for tests.

use almondsail_core::config::{Change, Priority, Route, ServerVersion};
use almondsail_core::units::Millis;
use eyre::Result;

/// The deadline of every route that this module creates.
pub const DEADLINE: Millis = Millis::new(5_000);

/// Returns the changes that create a service with one version, an idempotent route
/// `/SERVICE` and a non-idempotent route `/SERVICE/book`.
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

/// Returns the change that creates a route for the path prefix `prefix`.
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
