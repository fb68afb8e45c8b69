//! Tests of operators' queries and commands.

use std::collections::BTreeSet;
use std::sync::Arc;

use almondsail_core::config::{
    Change, Config, ConfigContent, ConfigError, HistoryEntry, PathPrefix, Priority, Route,
    ServerVersion, StopMark,
};
use almondsail_core::ids::{ConfigVersion, WriteId};
use almondsail_core::operators::{
    Answer, AnswerBody, Command, CommandTime, KnownNode, Query, QueryContext, VersionRole,
};
use almondsail_core::peers::{AnnouncedBackend, BackendState, Peer, PeerStatus};
use almondsail_core::units::{Millis, UnixMillis};

const NOW: UnixMillis = UnixMillis::new(1_000);

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

fn version(service: &str, version: &str) -> ServerVersion {
    ServerVersion { service: name(service), version: name(version) }
}

/// Returns changes that create two services and start a rollout of `bays` from v1 to v2.
fn changes() -> Vec<Change> {
    let route = Route {
        name: name("moves"),
        service: name("bays"),
        prefix: "/moves".parse::<PathPrefix>().unwrap(),
        priority: Priority::Interactive,
        idempotent: true,
        deadline: Millis::new(800),
    };
    vec![
        Change::CreateService { name: name("bays"), team: name("depots") },
        Change::CreateVersion(version("bays", "v1")),
        Change::CreateVersion(version("bays", "v2")),
        Change::CreateRoute(route),
        Change::CreateService { name: name("taller"), team: name("depots") },
        Change::CreateVersion(version("taller", "v1")),
        Change::StartRollout {
            service: name("bays"),
            to: name("v2"),
            deadline: UnixMillis::new(9_000),
        },
    ]
}

fn config() -> Arc<Config> {
    let mut config: Option<Config> = None;
    for change in changes() {
        let empty = ConfigContent::default();
        let content = config.as_ref().map_or(&empty, |cfg| &cfg.content);
        let content = change.apply(content, NOW).unwrap();
        let entry = HistoryEntry {
            version: Config::next_version(config.as_ref()),
            write_id: WriteId::new([1; WriteId::BYTES]),
            at: NOW,
            service: change.service().cloned(),
            operator: name("ana"),
            summary: change.to_string().into(),
        };
        config = Some(Config::successor(config.as_ref(), content, entry));
    }
    Arc::new(config.unwrap())
}

fn peer(id: &str, data_centre: &str, backend: Option<(&str, &str, BackendState)>) -> Peer {
    let announced = |(service, version, state)| AnnouncedBackend {
        service: name(service),
        version: name(version),
        slots: 12,
        connections: 130,
        state,
    };
    Peer {
        id: name(id),
        host: name(id),
        data_centre: name(data_centre),
        region: name("south"),
        peer_addr: name("127.0.0.1:1"),
        inbound_addr: name("127.0.0.1:2"),
        incarnation: Default::default(),
        status: PeerStatus::Alive,
        backend: backend.map(announced),
    }
}

fn ask(query: Query) -> Answer {
    let peers = [
        (peer("n3", "dc-b", Some(("bays", "v1", BackendState::Ready))), Some(9)),
        (peer("n1", "dc-a", Some(("bays", "v2", BackendState::Draining))), Some(7)),
        (peer("n2", "dc-a", Some(("bays", "v1", BackendState::Ready))), None),
        (peer("n4", "dc-b", None), Some(8)),
    ];
    let nodes: Vec<KnownNode<'_>> = peers
        .iter()
        .map(|(peer, applied)| KnownNode { peer, applied: applied.map(ConfigVersion::new) })
        .collect();
    let mark = StopMark { service: name("bays"), version: name("v2"), route: Some(name("moves")) };
    let (config, stops) = (config(), BTreeSet::from([mark]));
    let context =
        QueryContext { node: &name("n1"), config: Some(&config), stops: &stops, nodes: &nodes };
    context.answer(&query)
}

fn node_names(query: Query) -> Vec<String> {
    match ask(query).body {
        AnswerBody::Nodes(rows) => rows.iter().map(|row| row.peer.id.to_string()).collect(),
        other => panic!("expected rows of nodes, got {other:?}"),
    }
}

/// Guards against nodes that are missing from the answer or wrongly shown as behind.
#[test]
fn answer_nodes() {
    let all = Query::Nodes { data_centre: None, lagging: false };
    assert_eq!(node_names(all.clone()), ["n1", "n2", "n3", "n4"]);
    let AnswerBody::Nodes(rows) = ask(all).body else { panic!("expected rows of nodes") };
    let behind: Vec<Option<u64>> = rows.iter().map(|row| row.behind).collect();
    assert_eq!(behind, [Some(2), None, Some(0), Some(1)]);
    assert_eq!(node_names(Query::Nodes { data_centre: None, lagging: true }), ["n1", "n4"]);
    let lagging = Query::Nodes { data_centre: Some(name("dc-b")), lagging: true };
    assert_eq!(node_names(lagging), ["n4"]);
}

/// Guards against a filter of the query that is ignored.
#[test]
fn answer_where() {
    let query = |version: Option<&str>, data_centre: Option<&str>| Query::Where {
        service: name("bays"),
        version: version.map(name),
        data_centre: data_centre.map(name),
    };
    assert_eq!(node_names(query(None, None)), ["n1", "n2", "n3"]);
    assert_eq!(node_names(query(Some("v1"), None)), ["n2", "n3"]);
    assert_eq!(node_names(query(Some("v1"), Some("dc-b"))), ["n3"]);
}

/// Guards against a wrong role, and against leaving out a stop mark that was received from a
/// peer but is not in the configuration.
#[test]
fn answer_versions() {
    let AnswerBody::Versions(rows) = ask(Query::Versions(Some(name("bays")))).body else {
        panic!("expected rows of versions");
    };
    let rows: Vec<_> = rows.iter().map(|row| (row.role, row.stops.len(), row.servers)).collect();
    // The only server of v2 is draining, so none of that version accepts calls.
    assert_eq!(rows, [(VersionRole::Stable, 0, 2), (VersionRole::Incoming, 1, 0)]);
}

/// Guards against a history that is not sorted newest first or contains changes of other
/// services.
#[test]
fn answer_history() {
    let AnswerBody::History(entries) = ask(Query::History(Some(name("taller")))).body else {
        panic!("expected a history");
    };
    let summaries: Vec<&str> = entries.iter().map(|entry| &*entry.summary).collect();
    assert_eq!(summaries, ["create version taller/v1", "create service taller for team depots"]);
}

/// Guards against a node that answers with a configuration although it has none.
#[test]
fn answer_without_config() {
    let context =
        QueryContext { node: &name("n1"), config: None, stops: &BTreeSet::new(), nodes: &[] };
    for query in [Query::Config, Query::Services, Query::Versions(None), Query::History(None)] {
        assert_eq!(context.answer(&query).version, ConfigVersion::default());
    }
    assert_eq!(context.answer(&Query::Config).body, AnswerBody::Config(None));
}

/// Guards against a relative deadline that does not start at the time of the command.
#[test]
fn into_change_move() {
    let by = CommandTime::Relative(Millis::new(500));
    let command = Command::Move { service: name("bays"), to: name("v2"), by };
    let deadline = UnixMillis::new(1_500);
    let change = Change::StartRollout { service: name("bays"), to: name("v2"), deadline };
    assert_eq!(command.into_change(NOW, None), Ok(change));
}

/// Guards against a restore of a version whose content is no longer kept.
#[test]
fn into_change_restore() {
    let earlier = ConfigVersion::new(7);
    let command = Command::Restore(earlier);
    assert_eq!(command.restored_version(), Some(earlier));
    assert_eq!(
        command.clone().into_change(NOW, None),
        Err(ConfigError::UnknownConfigVersion(earlier))
    );
    let content = config().content.clone();
    let change = Change::Restore { version: earlier, content: Box::new(content.clone()) };
    assert_eq!(command.into_change(NOW, Some(content)), Ok(change));
}

/// Guards against a hold, rollback or stop that is based on a version and fails because a
/// rollout step changed the configuration.
#[test]
fn only_withdraws_traffic_commands() {
    let mark = StopMark { service: name("bays"), version: name("v2"), route: None };
    let withdrawals = [
        Command::Hold(name("bays")),
        Command::RollBack { service: name("bays"), reason: None },
        Command::Stop { mark, reason: None },
    ];
    assert!(withdrawals.iter().all(Command::only_withdraws_traffic));
    assert!(!Command::Resume(name("bays")).only_withdraws_traffic());
    assert!(!Command::ClearStop(version("bays", "v2")).only_withdraws_traffic());
}
