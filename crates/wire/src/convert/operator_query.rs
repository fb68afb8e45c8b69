//! Conversions of operator queries.

use almondsail_core::ids::ServiceName;
use almondsail_core::operators::Query;

use super::fields::{optional_text, parse, parse_optional, required};
use crate::operator::query::Query as WireQuery;
use crate::{FieldError, operator as wire};

impl From<&Query> for wire::Query {
    fn from(query: &Query) -> Self {
        let filter = |service: &Option<ServiceName>| wire::ServiceFilter {
            service: optional_text(service.as_ref()),
        };
        let query = match query {
            Query::Config => WireQuery::Config(wire::NoArguments {}),
            Query::Services => WireQuery::Services(wire::NoArguments {}),
            Query::Routes => WireQuery::Routes(wire::NoArguments {}),
            Query::Versions(service) => WireQuery::Versions(filter(service)),
            Query::Rollouts(service) => WireQuery::Rollouts(filter(service)),
            Query::History(service) => WireQuery::History(filter(service)),
            Query::Nodes { data_centre, lagging } => WireQuery::Nodes(wire::NodesQuery {
                data_centre: optional_text(data_centre.as_ref()),
                lagging: *lagging,
            }),
            Query::Where { service, version, data_centre } => WireQuery::Where(wire::WhereQuery {
                service: service.to_string(),
                version: optional_text(version.as_ref()),
                data_centre: optional_text(data_centre.as_ref()),
            }),
        };
        Self { query: Some(query) }
    }
}

impl TryFrom<wire::Query> for Query {
    type Error = FieldError;

    fn try_from(w: wire::Query) -> Result<Self, FieldError> {
        Ok(match required("query", w.query)? {
            WireQuery::Config(_) => Self::Config,
            WireQuery::Services(_) => Self::Services,
            WireQuery::Routes(_) => Self::Routes,
            WireQuery::Versions(w) => {
                Self::Versions(parse_optional("versions.service", &w.service)?)
            }
            WireQuery::Rollouts(w) => {
                Self::Rollouts(parse_optional("rollouts.service", &w.service)?)
            }
            WireQuery::History(w) => Self::History(parse_optional("history.service", &w.service)?),
            WireQuery::Nodes(w) => Self::Nodes {
                data_centre: parse_optional("nodes.data_centre", &w.data_centre)?,
                lagging: w.lagging,
            },
            WireQuery::Where(w) => Self::Where {
                service: parse("where.service", &w.service)?,
                version: parse_optional("where.version", &w.version)?,
                data_centre: parse_optional("where.data_centre", &w.data_centre)?,
            },
        })
    }
}
