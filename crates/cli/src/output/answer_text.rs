//! Formats the answer to a query as tables.

use almondsail_wire::operator::answer::Body;
use almondsail_wire::operator::{Answer, ConfigAnswer, HistoryEntry, NodeRow, VersionRow};
use almondsail_wire::{config, peer};

use super::time_text::time_text;
use crate::output::Table;

/// Formats an answer as tables, followed by the node that gave it and its configuration version.
pub fn answer_text(answer: &Answer) -> String {
    let body = match &answer.body {
        Some(Body::Config(cfg)) => config_text(cfg),
        Some(Body::Services(list)) => services(&list.services).to_string(),
        Some(Body::Routes(list)) => routes(&list.routes).to_string(),
        Some(Body::Versions(list)) => versions(&list.versions).to_string(),
        Some(Body::Rollouts(list)) => rollouts(&list.rollouts).to_string(),
        Some(Body::Nodes(list)) => nodes(&list.nodes).to_string(),
        Some(Body::History(list)) => history(&list.entries).to_string(),
        None => String::new(),
    };
    format!("{body}{}\n", source_text(answer))
}

fn source_text(answer: &Answer) -> String {
    match answer.version {
        0 => format!("node {} has no configuration in force", answer.node),
        version => format!("configuration version {version} on node {}", answer.node),
    }
}

/// Formats a configuration as its tables that have rows, its digest and its write id.
fn config_text(cfg: &ConfigAnswer) -> String {
    let Some(content) = &cfg.content else { return String::new() };
    let tables = [
        services(&content.services),
        routes(&content.routes),
        server_versions(&content.versions),
        rollouts(&content.rollouts),
        stops(&content.stops),
    ];
    let filled = tables.iter().filter(|table| !table.is_empty());
    let text: String = filled.map(|table| format!("{table}\n")).collect();
    format!("{text}digest {}\nwrite id {}\n", cfg.digest, cfg.write_id)
}

fn services(rows: &[config::Service]) -> Table {
    let mut table = Table::new(&["SERVICE", "TEAM", "STABLE VERSION"]);
    for s in rows {
        table.push_row([&s.name, &s.team, or_dash(&s.stable)]);
    }
    table
}

fn routes(rows: &[config::Route]) -> Table {
    let mut table =
        Table::new(&["ROUTE", "SERVICE", "PREFIX", "IDEMPOTENT", "PRIORITY", "DEADLINE"]);
    for r in rows {
        let idempotent = if r.idempotent { "yes" } else { "no" };
        let deadline = format!("{}ms", r.deadline_ms);
        table.push_row([&r.name, &r.service, &r.prefix, idempotent, &r.priority, &deadline]);
    }
    table
}

fn server_versions(rows: &[config::ServerVersion]) -> Table {
    let mut table = Table::new(&["VERSION"]);
    for v in rows {
        table.push_row([format!("{}/{}", v.service, v.version)]);
    }
    table
}

fn versions(rows: &[VersionRow]) -> Table {
    let mut table = Table::new(&["VERSION", "ROLE", "SERVERS", "STOPPED ON"]);
    for v in rows {
        let stops: Vec<&str> = v.stops.iter().map(stopped_route).collect();
        table.push_row([
            format!("{}/{}", v.service, v.version),
            v.role.clone(),
            v.servers.to_string(),
            or_dash(&stops.join(", ")).to_owned(),
        ]);
    }
    table
}

fn stops(rows: &[config::StopMark]) -> Table {
    let mut table = Table::new(&["STOPPED VERSION", "ON"]);
    for stop in rows {
        table.push_row([
            format!("{}/{}", stop.service, stop.version),
            stopped_route(stop).to_owned(),
        ]);
    }
    table
}

fn stopped_route(stop: &config::StopMark) -> &str {
    if stop.route.is_empty() { "every route" } else { &stop.route }
}

fn rollouts(rows: &[config::Rollout]) -> Table {
    let mut table = Table::new(&[
        "SERVICE",
        "FROM",
        "TO",
        "PHASE",
        "SHARE",
        "NON-IDEMPOTENT",
        "DEADLINE",
        "REASON",
    ]);
    for r in rows {
        table.push_row([
            &r.service,
            &r.from,
            &r.to,
            &r.phase,
            &percent(r.share_per_mille),
            &percent(r.non_idempotent_share_per_mille),
            &time_text(r.deadline_unix_ms),
            &r.reason,
        ]);
    }
    table
}

fn nodes(rows: &[NodeRow]) -> Table {
    let mut table = Table::new(&[
        "NODE",
        "DATA CENTRE",
        "HOST",
        "STATUS",
        "CONFIG",
        "BEHIND",
        "BACKEND",
        "STATE",
        "SLOTS",
    ]);
    let empty_peer = peer::Peer::default();
    for row in rows {
        let p = row.peer.as_ref().unwrap_or(&empty_peer);
        let [backend, state, slots] = backend_cells(p.backend.as_ref());
        let [applied, behind] = [number_or_unknown(row.applied), number_or_unknown(row.behind)];
        let cells = [&p.id, &p.data_centre, &p.host, &p.status, &applied, &behind];
        table.push_row(cells.into_iter().chain([&backend, &state, &slots]));
    }
    table
}

fn backend_cells(backend: Option<&peer::Backend>) -> [String; 3] {
    match backend {
        Some(b) => [format!("{}/{}", b.service, b.version), b.state.clone(), b.slots.to_string()],
        None => ["-".to_owned(), "-".to_owned(), "-".to_owned()],
    }
}

fn history(rows: &[HistoryEntry]) -> Table {
    let mut table = Table::new(&["VERSION", "ACCEPTED", "OPERATOR", "CHANGE"]);
    for entry in rows {
        let version = entry.version.to_string();
        table.push_row([&version, &time_text(entry.at_unix_ms), &entry.operator, &entry.summary]);
    }
    table
}

fn or_dash(text: &str) -> &str {
    if text.is_empty() { "-" } else { text }
}

/// Formats a number, or `?` if the node that answers does not know it.
fn number_or_unknown(n: Option<u64>) -> String {
    n.map_or_else(|| "?".to_owned(), |n| n.to_string())
}

fn percent(per_mille: u32) -> String {
    format!("{}.{}%", per_mille / 10, per_mille % 10)
}
