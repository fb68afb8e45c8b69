//! Validation of a configuration's content.

use std::collections::BTreeMap;

use crate::config::{
    ConfigContent, ConfigError, PathPrefix, Rollout, Route, ServerVersion, Service,
};
use crate::ids::{RouteName, ServiceName, VersionName};
use crate::units::Millis;

/// Maximum number of services over all teams.
///
/// The limits on entries keep the encoded configuration under the store's value limit of 1 MB.
const MAX_SERVICES: usize = 512;
/// Maximum number of routes in a configuration.
const MAX_ROUTES: usize = 2_048;
/// Maximum number of versions over all services.
const MAX_VERSIONS: usize = 2_048;
/// Maximum number of stop marks over all services.
const MAX_STOPS: usize = 1_024;
/// Maximum deadline of a route's calls.
const MAX_ROUTE_DEADLINE: Millis = Millis::new(600_000);
/// Maximum length in bytes of a free text, such as a reason.
pub const MAX_TEXT_BYTES: usize = 512;

/// Validates `content` and returns every error found.
///
/// Limits on entries are checked, as well as references between them, deadlines, shares and texts.
pub fn check(content: &ConfigContent) -> Result<(), Vec<ConfigError>> {
    let mut errors = Vec::new();
    check_limits(content, &mut errors);
    for service in content.services.values() {
        check_service(content, service, &mut errors);
    }
    check_routes(content, &mut errors);
    for version in &content.versions {
        require_service(content, &version.service, &mut errors);
    }
    for rollout in content.rollouts.values() {
        check_rollout(content, rollout, &mut errors);
    }
    for stop in &content.stops {
        require_version(content, &stop.service, &stop.version, &mut errors);
        if let Some(route) = &stop.route
            && content.routes.get(route).is_none_or(|r| r.service != stop.service)
        {
            errors.push(ConfigError::UnknownRoute(route.clone()));
        }
    }
    if errors.is_empty() { Ok(()) } else { Err(errors) }
}

/// Returns whether a configuration may contain `text`: at most [`MAX_TEXT_BYTES`] without
/// control characters.
pub fn is_plain_text(text: &str) -> bool {
    text.len() <= MAX_TEXT_BYTES && !text.chars().any(char::is_control)
}

fn check_limits(content: &ConfigContent, errors: &mut Vec<ConfigError>) {
    let counts = [
        ("services", content.services.len(), MAX_SERVICES),
        ("routes", content.routes.len(), MAX_ROUTES),
        ("versions", content.versions.len(), MAX_VERSIONS),
        ("stopped versions", content.stops.len(), MAX_STOPS),
    ];
    for (kind, count, limit) in counts {
        if count > limit {
            errors.push(ConfigError::TooMany { kind, limit });
        }
    }
}

fn check_service(content: &ConfigContent, service: &Service, errors: &mut Vec<ConfigError>) {
    if let Some(stable) = &service.stable {
        require_version(content, &service.name, stable, errors);
    }
}

fn check_routes(content: &ConfigContent, errors: &mut Vec<ConfigError>) {
    let mut owners: BTreeMap<&PathPrefix, &RouteName> = BTreeMap::new();
    for route in content.routes.values() {
        check_route(content, route, errors);
        if let Some(owner) = owners.insert(&route.prefix, &route.name) {
            errors.push(ConfigError::PrefixTaken(route.prefix.clone(), owner.clone()));
        }
    }
}

fn check_route(content: &ConfigContent, route: &Route, errors: &mut Vec<ConfigError>) {
    match content.services.get(&route.service) {
        None => errors.push(ConfigError::UnknownService(route.service.clone())),
        Some(service) if service.stable.is_none() => {
            errors.push(ConfigError::NoStableVersion(route.service.clone()));
        }
        Some(_) => {}
    }
    if route.deadline == Millis::new(0) || route.deadline > MAX_ROUTE_DEADLINE {
        errors.push(ConfigError::RouteDeadline(route.name.clone()));
    }
}

fn check_rollout(content: &ConfigContent, rollout: &Rollout, errors: &mut Vec<ConfigError>) {
    require_version(content, &rollout.service, &rollout.from, errors);
    require_version(content, &rollout.service, &rollout.to, errors);
    if rollout.from == rollout.to {
        errors.push(ConfigError::SameVersion(rollout.service.clone(), rollout.to.clone()));
    }
    if rollout.deadline <= rollout.started {
        errors.push(ConfigError::RolloutDeadline(rollout.service.clone()));
    }
    if rollout.non_idempotent_share > rollout.share {
        errors.push(ConfigError::RolloutShares(rollout.service.clone()));
    }
    if !is_plain_text(&rollout.reason) {
        errors.push(ConfigError::Text("a rollout's reason"));
    }
}

fn require_service(content: &ConfigContent, service: &ServiceName, errors: &mut Vec<ConfigError>) {
    if !content.services.contains_key(service) {
        errors.push(ConfigError::UnknownService(service.clone()));
    }
}

fn require_version(
    content: &ConfigContent,
    service: &ServiceName,
    version: &VersionName,
    errors: &mut Vec<ConfigError>,
) {
    let wanted = ServerVersion { service: service.clone(), version: version.clone() };
    if !content.services.contains_key(service) {
        errors.push(ConfigError::UnknownService(service.clone()));
    } else if !content.versions.contains(&wanted) {
        errors.push(ConfigError::UnknownVersion(service.clone(), version.clone()));
    }
}
