//! A question of an operator.

use std::fmt;

use crate::ids::{DataCentre, ServiceName, VersionName};

/// A question of an operator; `Display` writes it in the operators' language.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Query {
    /// The whole configuration in force.
    Config,
    /// The services.
    Services,
    /// The routes.
    Routes,
    /// The versions of one service or of all.
    Versions(Option<ServiceName>),
    /// The last rollout of one service or of all.
    Rollouts(Option<ServiceName>),
    /// The nodes and the configuration version of each.
    Nodes {
        /// Only the nodes of this data centre.
        data_centre: Option<DataCentre>,
        /// Only the nodes known to be behind.
        lagging: bool,
    },
    /// The last changes, of one service or of all.
    History(Option<ServiceName>),
    /// The backend servers of a service.
    Where {
        /// The service.
        service: ServiceName,
        /// Only those of this version.
        version: Option<VersionName>,
        /// Only those of this data centre.
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
