//! Tests of the JSON messages between operators' tools and nodes.

use almondsail_core::config::{Priority, Route, ServerVersion, StopMark};
use almondsail_core::ids::{ConfigVersion, WriteId};
use almondsail_core::operators::{Command, CommandRequest, CommandTime, Query};
use almondsail_core::store::{Outcome, RefusedChange};
use almondsail_core::units::{Millis, UnixMillis};
use almondsail_wire::{FieldError, operator as wire};

fn commands() -> Vec<Command> {
    let version = ServerVersion { service: name("bays"), version: name("v2") };
    let route = Route {
        name: name("moves"),
        service: name("bays"),
        prefix: "/moves".parse().unwrap(),
        priority: Priority::Background,
        idempotent: true,
        deadline: Millis::new(800),
    };
    let mark = StopMark { service: name("bays"), version: name("v2"), route: Some(name("moves")) };
    let by =
        [CommandTime::Absolute(UnixMillis::new(1_500)), CommandTime::Relative(Millis::new(90))];
    let moves = by.map(|by| Command::Move { service: name("bays"), to: name("v2"), by });
    let others = [
        Command::CreateService { name: name("bays"), team: name("depots") },
        Command::RemoveService(name("bays")),
        Command::CreateRoute(route.clone()),
        Command::ChangeRoute(route),
        Command::RemoveRoute(name("moves")),
        Command::CreateVersion(version.clone()),
        Command::RemoveVersion(version.clone()),
        Command::Hold(name("bays")),
        Command::Resume(name("bays")),
        Command::RollBack { service: name("bays"), reason: Some("slow".parse().unwrap()) },
        Command::Stop { mark: mark.clone(), reason: Some("errors".parse().unwrap()) },
        Command::Stop { mark: StopMark { route: None, ..mark }, reason: None },
        Command::ClearStop(version),
        Command::Restore(ConfigVersion::new(7)),
    ];
    moves.into_iter().chain(others).collect()
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

fn through_json<W: serde::Serialize + serde::de::DeserializeOwned>(message: &W) -> W {
    serde_json::from_str(&serde_json::to_string(message).unwrap()).unwrap()
}

/// Guards against a command field that is lost between the command line and the node.
#[test]
fn command_request_round_trip() {
    for command in commands() {
        for base_version in [None, Some(ConfigVersion::new(0)), Some(ConfigVersion::new(u64::MAX))]
        {
            let write_id = WriteId::new([9; WriteId::BYTES]);
            let dry_run = base_version.is_none();
            let request =
                CommandRequest { write_id, command: command.clone(), base_version, dry_run };
            let message = through_json(&wire::CommandRequest::from(&request));
            assert_eq!(CommandRequest::try_from(message), Ok(request));
        }
    }
}

/// Guards against a query filter that is lost between the command line and the node.
#[test]
fn query_round_trip() {
    let queries = [
        Query::Config,
        Query::Services,
        Query::Routes,
        Query::Versions(None),
        Query::Versions(Some(name("bays"))),
        Query::Rollouts(Some(name("bays"))),
        Query::History(Some(name("bays"))),
        Query::Nodes { data_centre: Some(name("dc-a")), lagging: true },
        Query::Where { service: name("bays"), version: Some(name("v2")), data_centre: None },
        Query::Where { service: name("bays"), version: None, data_centre: Some(name("dc-a")) },
    ];
    for query in queries {
        let message = through_json(&wire::Query::from(&query));
        assert_eq!(Query::try_from(message), Ok(query));
    }
}

/// Guards against a validation error without the path of the invalid field, or with a wrong one.
#[test]
fn command_request_bad_fields() {
    let cases = [
        (r#"{"write_id":"12"}"#, "write_id"),
        (r#"{}"#, "write_id"),
        (&with_command("{}"), "command.command"),
        (&with_command(r#"{"command":{"hold":"Bays"}}"#), "command.hold"),
        (
            &with_command(r#"{"command":{"create_route":{"name":"moves"}}}"#),
            "command.create_route.service",
        ),
        (&with_command(r#"{"command":{"stop":{}}}"#), "command.stop.mark"),
        (
            &with_command(r#"{"command":{"stop":{"mark":{"service":"a","version":"*"}}}}"#),
            "command.stop.mark.version",
        ),
        (&with_command(r#"{"command":{"move":{"service":"a","to":"b"}}}"#), "command.move.by"),
        (
            &with_command(r#"{"command":{"roll_back":{"service":"a","reason":"x\ny"}}}"#),
            "command.roll_back.reason",
        ),
    ];
    for (text, path) in cases {
        let message: wire::CommandRequest = serde_json::from_str(text).unwrap();
        let error: FieldError = CommandRequest::try_from(message).unwrap_err();
        assert_eq!(error.path(), path, "for {text}");
    }
}

fn with_command(command: &str) -> String {
    format!(r#"{{"write_id":"{}","command":{command}}}"#, "0".repeat(32))
}

/// Guards against a change of the outcome JSON that other programs parse.
#[test]
fn outcome_json() {
    let id = WriteId::new([1; WriteId::BYTES]);
    let hex = id.to_string();
    let cases = [
        (Outcome::Accepted(ConfigVersion::new(3)), r#"{"outcome":{"accepted":3}}"#.to_owned()),
        (
            Outcome::WouldAccept(vec!["x".to_owned()]),
            r#"{"outcome":{"would_accept":{"changes":["x"]}}}"#.to_owned(),
        ),
        (Outcome::Unknown(id), format!(r#"{{"outcome":{{"unknown":"{hex}"}}}}"#)),
        (
            Outcome::NotFound(id, ConfigVersion::new(4)),
            format!(r#"{{"outcome":{{"not_found":{{"write_id":"{hex}","version":4}}}}}}"#),
        ),
        (
            Outcome::Refused(RefusedChange::Busy),
            r#"{"outcome":{"refused":{"code":"busy","message":"this node has too many changes in hand; try again","mistakes":[],"winner":null}}}"#
                .to_owned(),
        ),
    ];
    for (outcome, json) in cases {
        assert_eq!(serde_json::to_string(&wire::Outcome::from(&outcome)).unwrap(), json);
    }
}
