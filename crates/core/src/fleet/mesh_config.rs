//! A checked configuration with its lookup of routes.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use crate::fleet::{CallerLimits, MeshRoute, ServiceSettings, Teams};
use crate::ids::{ConfigVersion, RouteName, ServiceName};

/// A checked configuration: every service that a route leads to is defined.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MeshConfig {
    /// The version of the configuration; a higher one replaces a lower one.
    pub version: ConfigVersion,
    /// The limits on the requests of callers.
    pub limits: CallerLimits,
    /// The settings of each service that routes may lead to.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// The teams whose callers send credentials; empty if calls need none.
    pub teams: Teams,
    /// Whether the document has entries of unknown types, so that only part of it is read.
    pub is_partial: bool,
    /// The routes of a partial configuration whose entries have unknown fields.
    pub(super) withheld: HashSet<RouteName>,
    /// The routes by host, then by path prefix.
    pub(super) hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<MeshRoute>>>,
}

impl MeshConfig {
    /// Returns the route of `host` with the longest prefix that begins `path`.
    ///
    /// ```
    /// use almondsail_core::fleet::{Destination, MeshConfigBuilder, MeshRoute, ServiceSettings};
    /// use almondsail_core::ids::ConfigVersion;
    /// use almondsail_core::units::Millis;
    ///
    /// let route = MeshRoute {
    ///     name: "r1".parse()?,
    ///     host: "a.example".into(),
    ///     prefix: "/x/".into(),
    ///     idempotent: true,
    ///     timeout: Millis::new(500),
    ///     target_latency: Millis::new(200),
    ///     priority: 1,
    ///     max_attempts: 2,
    ///     is_public: false,
    ///     destinations: vec![Destination { service: "bays".parse()?, weight: 1 }],
    /// };
    /// let config = MeshConfigBuilder::new(ConfigVersion::new(1))
    ///     .service("bays".parse()?, ServiceSettings { connections: 130, ..Default::default() })
    ///     .route(route)
    ///     .build()?;
    /// assert!(config.route("A.example:80", "/x/y?z=/q/").is_some());
    /// assert!(config.route("a.example", "/other/").is_none());
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<MeshRoute>> {
        let prefixes = self.hosts.get(&*host_name(host))?;
        let mut rest = path.split('?').next().unwrap_or_default();
        while let Some(end) = rest.rfind('/') {
            if let Some(route) = prefixes.get(&rest[..=end]) {
                return Some(route);
            }
            rest = &rest[..end];
        }
        None
    }

    /// Returns whether calls of `route` may be sent to a server. In a partial configuration they may
    /// if it certainly does no harm: they may run more than once, and this build knows all fields of
    /// the route's entry.
    pub fn serves(&self, route: &MeshRoute) -> bool {
        !self.is_partial || (route.idempotent && !self.withheld.contains(&route.name))
    }

    /// Returns every route, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<MeshRoute>> {
        self.hosts.values().flat_map(HashMap::values)
    }
}

/// Returns `host` in lower case and without its port.
pub(super) fn host_name(host: &str) -> Arc<str> {
    let name = host.split(':').next().unwrap_or_default();
    name.to_ascii_lowercase().into()
}
