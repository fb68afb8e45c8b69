//! Builds a configuration and checks it as a whole.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::mesh_config::host_name;
use crate::fleet::{
    CallerLimits, ConfigProblem, CredentialDigest, MeshConfig, MeshRoute, ServiceSettings, Team,
    Teams,
};
use crate::ids::{ConfigVersion, RouteName, ServiceName};

/// Collects the parts of a [`MeshConfig`] and checks them together.
#[derive(Debug)]
pub struct MeshConfigBuilder {
    version: ConfigVersion,
    limits: CallerLimits,
    services: BTreeMap<ServiceName, ServiceSettings>,
    routes: Vec<MeshRoute>,
    teams: Vec<(Team, Vec<CredentialDigest>)>,
    is_partial: bool,
    withheld: HashSet<RouteName>,
}

impl MeshConfigBuilder {
    /// Starts with no routes and the default limits.
    pub fn new(version: ConfigVersion) -> Self {
        let limits = CallerLimits::default();
        let (services, routes, teams) = (BTreeMap::new(), Vec::new(), Vec::new());
        let (is_partial, withheld) = (false, HashSet::new());
        Self { version, limits, services, routes, teams, is_partial, withheld }
    }

    /// Sets the limits on the requests of callers.
    #[must_use]
    pub const fn limits(mut self, limits: CallerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Adds a service or replaces its settings.
    #[must_use]
    pub fn service(mut self, name: ServiceName, settings: ServiceSettings) -> Self {
        self.services.insert(name, settings);
        self
    }

    /// Adds a route, which [`Self::build`] checks.
    #[must_use]
    pub fn route(mut self, route: MeshRoute) -> Self {
        self.routes.push(route);
        self
    }

    /// Adds a team with its credentials, which [`Self::build`] checks.
    #[must_use]
    pub fn team(mut self, team: Team, credentials: Vec<CredentialDigest>) -> Self {
        self.teams.push((team, credentials));
        self
    }

    /// Marks the configuration as partial. The entries of the routes `withheld` have unknown fields.
    #[must_use]
    pub fn partial(mut self, withheld: HashSet<RouteName>) -> Self {
        self.is_partial = true;
        self.withheld = withheld;
        self
    }

    /// Checks all routes and teams and builds the configuration. Returns the first problem found.
    pub fn build(self) -> Result<MeshConfig, ConfigProblem> {
        let Self { version, limits, services, routes, teams, is_partial, withheld } = self;
        let mut hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<MeshRoute>>> = HashMap::new();
        for mut route in routes {
            check_route(&route, &services)?;
            route.host = host_name(&route.host);
            let prefixes = hosts.entry(route.host.clone()).or_default();
            if let Some(other) = prefixes.get(&route.prefix) {
                return Err(ConfigProblem::DuplicateRoute(other.name.clone(), route.name));
            }
            prefixes.insert(route.prefix.clone(), Arc::new(route));
        }
        let mut checked_teams = Teams::default();
        for (team, credentials) in teams {
            checked_teams.add(team, credentials)?;
        }
        Ok(MeshConfig {
            version,
            limits,
            services,
            teams: checked_teams,
            is_partial,
            withheld,
            hosts,
        })
    }
}

fn check_route(
    route: &MeshRoute,
    services: &BTreeMap<ServiceName, ServiceSettings>,
) -> Result<(), ConfigProblem> {
    let name = || route.name.clone();
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(ConfigProblem::BadPrefix(name()));
    }
    if route.max_attempts == 0 {
        return Err(ConfigProblem::NoAttempts(name()));
    }
    if route.timeout.get() == 0 {
        return Err(ConfigProblem::NoTimeout(name()));
    }
    if route.weight() == 0 {
        return Err(ConfigProblem::NoDestination(name()));
    }
    for destination in &route.destinations {
        if !services.contains_key(&destination.service) {
            return Err(ConfigProblem::UnknownService(name(), destination.service.clone()));
        }
    }
    Ok(())
}
