//! Services that a change affects, and the checks that depend on them.

use crate::config::{Change, ConfigContent, ConfigError, HistoryEntry};
use crate::ids::{ConfigVersion, ServiceName, TeamName};
use crate::store::Submission;

/// Returns the services that `change` affects in `content`; empty if it affects all.
fn affected_services<'a>(change: &'a Change, content: &'a ConfigContent) -> Vec<&'a ServiceName> {
    let service_of = |route| content.routes.get(route).map(|route| &route.service);
    let mut services: Vec<&ServiceName> = match change {
        Change::RemoveRoute(route) => service_of(route).into_iter().collect(),
        Change::ReplaceRoute(route) => {
            [Some(&route.service), service_of(&route.name)].into_iter().flatten().collect()
        }
        Change::AddStops { marks, .. } => marks.iter().map(|mark| &mark.service).collect(),
        _ => change.service().into_iter().collect(),
    };
    services.sort();
    services.dedup();
    services
}

/// Returns the service that `change` affects in `content`, if it affects exactly one.
pub(crate) fn single_service(change: &Change, content: &ConfigContent) -> Option<ServiceName> {
    match affected_services(change, content)[..] {
        [service] => Some(service.clone()),
        _ => None,
    }
}

/// Returns an error if the submission is limited to a team and affects a service of another.
pub(crate) fn check_team(
    submission: &Submission,
    content: &ConfigContent,
) -> Result<(), ConfigError> {
    let Some(team) = &submission.team else { return Ok(()) };
    if let Change::CreateService { name, team: owner } = &submission.change {
        return require_same_team(name, owner, team);
    }
    let affected = match &submission.change {
        Change::Restore { .. } => content.services.keys().collect(),
        change => affected_services(change, content),
    };
    for name in affected {
        if let Some(service) = content.services.get(name) {
            require_same_team(name, &service.team, team)?;
        }
    }
    if let Change::Restore { content: earlier, .. } = &submission.change {
        for service in earlier.services.values() {
            require_same_team(&service.name, &service.team, team)?;
        }
    }
    Ok(())
}

fn require_same_team(
    service: &ServiceName,
    owner: &TeamName,
    team: &TeamName,
) -> Result<(), ConfigError> {
    if owner == team { Ok(()) } else { Err(ConfigError::WrongTeam(service.clone(), owner.clone())) }
}

/// Returns the newest change in `history` that may conflict with a change of the service
/// `affected` (`None` for all services) decided on the version `base`.
///
/// If the history does not reach back to the base, returns its last entry.
pub(crate) fn find_conflict(
    history: &[HistoryEntry],
    base: ConfigVersion,
    affected: Option<&ServiceName>,
) -> Option<HistoryEntry> {
    let last = history.last().filter(|entry| entry.version > base)?;
    if history.first().is_some_and(|oldest| oldest.version > base.next()) {
        return Some(last.clone());
    }
    let is_affected = |entry: &&HistoryEntry| {
        affected.is_none() || entry.service.is_none() || entry.service.as_ref() == affected
    };
    history.iter().rev().take_while(|entry| entry.version > base).find(is_affected).cloned()
}
