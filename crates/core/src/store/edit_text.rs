//! Descriptions of edits for the output of a dry run.

use crate::config::Edit;

/// Describes `edit` in one line.
pub(crate) fn describe_edit(edit: &Edit) -> String {
    match edit {
        Edit::PutService(s) => {
            let stable = s.stable.as_ref().map_or("none", |version| version.as_str());
            format!("service {}: team {}, stable version {stable}", s.name, s.team)
        }
        Edit::RemoveService(name) => format!("service {name}: removed"),
        Edit::PutRoute(r) => format!(
            "route {}: service {}, prefix {}, priority {}, idempotent {}, deadline {}",
            r.name, r.service, r.prefix, r.priority, r.idempotent, r.deadline
        ),
        Edit::RemoveRoute(name) => format!("route {name}: removed"),
        Edit::PutVersion(v) => format!("version {}/{}: created", v.service, v.version),
        Edit::RemoveVersion(v) => format!("version {}/{}: removed", v.service, v.version),
        Edit::PutRollout(r) => format!(
            "rollout of {}: from {} to {}, {}, share {}, non-idempotent share {}",
            r.service, r.from, r.to, r.phase, r.share, r.non_idempotent_share
        ),
        Edit::RemoveRollout(service) => format!("rollout of {service}: removed"),
        Edit::PutStop(mark) => format!("stop {mark}: set"),
        Edit::RemoveStop(mark) => format!("stop {mark}: cleared"),
    }
}
