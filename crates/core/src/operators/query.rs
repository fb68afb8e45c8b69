//! A query of an operator.

use std::fmt;

use crate::ids::{DataCentre, ServiceName, VersionName};

/// An operator's query. `Display` writes it in the operators' command language.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Query {
    /// Asks for the whole configuration in force.
    Config,
    /// Asks for the services of all teams.
    Services,
    /// Asks for the routes of all services.
    Routes,
    /// Asks for the versions of one service, or of all if `None`.
    Versions(Option<ServiceName>),
    /// Asks for the last rollout of one service, or of all if `None`.
    Rollouts(Option<ServiceName>),
    /// Asks for the nodes and the configuration version of each.
    Nodes {
        /// Selects the nodes of this data centre; `None` selects all.
        data_centre: Option<DataCentre>,
        /// Selects only the nodes that are known to have an outdated configuration.
        lagging: bool,
    },
    /// Asks for the last accepted changes of one service, or of all if `None`.
    History(Option<ServiceName>),
    /// Asks for the nodes beside the backend servers of a service.
    Where {
        /// The service that the backend servers provide.
        service: ServiceName,
        /// Selects the backend servers of this version; `None` selects all.
        version: Option<VersionName>,
        /// Selects the backend servers of this data centre; `None` selects all.
        data_centre: Option<DataCentre>,
    },
}

impl fmt::Display for Query {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Config => f.write_str("show config"),
            Self::Services => f.write_str("show services"),
            Self::Routes => f.write_str("show routes"),
            Self::Versions(service) => write_filtered(f, "show versions", service.as_ref()),
            Self::Rollouts(service) => write_filtered(f, "show rollouts", service.as_ref()),
            Self::History(service) => write_filtered(f, "show history", service.as_ref()),
            Self::Nodes { data_centre, lagging } => {
                f.write_str("show nodes")?;
                write_option(f, "in", data_centre.as_ref())?;
                f.write_str(if *lagging { " lagging" } else { "" })
            }
            Self::Where { service, version, data_centre } => {
                write!(f, "where {service}")?;
                write_option(f, "version", version.as_ref())?;
                write_option(f, "in", data_centre.as_ref())
            }
        }
    }
}

fn write_filtered(
    f: &mut fmt::Formatter<'_>,
    words: &str,
    service: Option<&ServiceName>,
) -> fmt::Result {
    f.write_str(words)?;
    service.map_or(Ok(()), |service| write!(f, " {service}"))
}

fn write_option<T: fmt::Display>(
    f: &mut fmt::Formatter<'_>,
    word: &str,
    value: Option<&T>,
) -> fmt::Result {
    value.map_or(Ok(()), |value| write!(f, " {word} {value}"))
}
