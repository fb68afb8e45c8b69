//! Parses statements of the command language.

use almondsail_core::config::{Priority, Reason, Route, StopMark};
use almondsail_core::ids::{
    ConfigVersion, DataCentre, RouteName, ServiceName, TeamName, VersionName,
};
use almondsail_core::operators::{Command, CommandTime, Query};
use winnow::combinator::{alt, opt, preceded, terminated};
use winnow::prelude::*;

use super::furthest_failure::FurthestFailure;
use super::time::parse_time;
use super::words::{
    Input, ParseResult, end, quoted_reason, server_version, span, value, value_with, word,
};
use crate::language::{Statement, SyntaxError};

/// Parses a text that holds one statement and nothing else.
pub(super) fn parse(text: &str) -> Result<Statement, SyntaxError> {
    let mut input = Input { input: text, state: FurthestFailure::start(text.len()) };
    statement.parse_next(&mut input).map_err(|_| {
        let FurthestFailure { remaining, expected } = input.state;
        SyntaxError::new(text, text.len() - remaining, expected)
    })
}

fn statement(input: &mut Input<'_>) -> ParseResult<Statement> {
    let query = terminated(query, end).map(Statement::Query);
    alt((query, terminated(command_statement, end))).parse_next(input)
}

fn command_statement(input: &mut Input<'_>) -> ParseResult<Statement> {
    let dry_run = opt(word("dry-run")).parse_next(input)?.is_some();
    let command = command(input)?;
    let base_version =
        opt(preceded((word("at"), word("version")), config_version)).parse_next(input)?;
    Ok(Statement::Command { command, dry_run, base_version })
}

fn query(input: &mut Input<'_>) -> ParseResult<Query> {
    alt((preceded(word("show"), show_query), preceded(word("where"), where_query)))
        .parse_next(input)
}

fn show_query(input: &mut Input<'_>) -> ParseResult<Query> {
    alt((
        word("config").value(Query::Config),
        word("services").value(Query::Services),
        word("routes").value(Query::Routes),
        preceded(word("versions"), opt(service)).map(Query::Versions),
        preceded(word("rollouts"), opt(service)).map(Query::Rollouts),
        preceded(word("history"), opt(service)).map(Query::History),
        preceded(word("nodes"), nodes_query),
    ))
    .parse_next(input)
}

fn nodes_query(input: &mut Input<'_>) -> ParseResult<Query> {
    let data_centre = opt(preceded(word("in"), data_centre)).parse_next(input)?;
    let lagging = opt(word("lagging")).parse_next(input)?.is_some();
    Ok(Query::Nodes { data_centre, lagging })
}

fn where_query(input: &mut Input<'_>) -> ParseResult<Query> {
    let service = service(input)?;
    let version = opt(preceded(word("version"), version)).parse_next(input)?;
    let data_centre = opt(preceded(word("in"), data_centre)).parse_next(input)?;
    Ok(Query::Where { service, version, data_centre })
}

fn command(input: &mut Input<'_>) -> ParseResult<Command> {
    alt((entry_command, traffic_command)).parse_next(input)
}

/// Parses a command that creates, changes, removes or restores entries of the configuration.
fn entry_command(input: &mut Input<'_>) -> ParseResult<Command> {
    alt((
        preceded(word("create"), create_command),
        preceded((word("change"), word("route")), route).map(Command::ChangeRoute),
        preceded(word("remove"), remove_command),
        preceded(word("restore"), config_version).map(Command::Restore),
    ))
    .parse_next(input)
}

/// Parses a command that decides which versions of a service take traffic.
fn traffic_command(input: &mut Input<'_>) -> ParseResult<Command> {
    alt((
        preceded(word("move"), move_command),
        preceded(word("hold"), service).map(Command::Hold),
        preceded(word("resume"), service).map(Command::Resume),
        preceded(word("rollback"), rollback_command),
        preceded(word("stop"), stop_command),
        preceded((word("clear"), word("stop")), server_version).map(Command::ClearStop),
    ))
    .parse_next(input)
}

fn create_command(input: &mut Input<'_>) -> ParseResult<Command> {
    alt((
        preceded(word("service"), create_service),
        preceded(word("route"), route).map(Command::CreateRoute),
        preceded(word("version"), server_version).map(Command::CreateVersion),
    ))
    .parse_next(input)
}

fn remove_command(input: &mut Input<'_>) -> ParseResult<Command> {
    alt((
        preceded(word("service"), service).map(Command::RemoveService),
        preceded(word("route"), route_name).map(Command::RemoveRoute),
        preceded(word("version"), server_version).map(Command::RemoveVersion),
    ))
    .parse_next(input)
}

fn create_service(input: &mut Input<'_>) -> ParseResult<Command> {
    let name = service(input)?;
    let team: TeamName = preceded(word("team"), value("a team name")).parse_next(input)?;
    Ok(Command::CreateService { name, team })
}

fn route(input: &mut Input<'_>) -> ParseResult<Route> {
    let name = route_name(input)?;
    let service = preceded(word("service"), service).parse_next(input)?;
    let prefix =
        preceded(word("prefix"), value("a path prefix such as /bays")).parse_next(input)?;
    let idempotent = alt((word("idempotent").value(true), word("non-idempotent").value(false)))
        .parse_next(input)?;
    let priority = preceded(word("priority"), priority).parse_next(input)?;
    let deadline = preceded(word("deadline"), span).parse_next(input)?;
    Ok(Route { name, service, prefix, priority, idempotent, deadline })
}

fn priority(input: &mut Input<'_>) -> ParseResult<Priority> {
    alt((
        word(Priority::Interactive.as_str()).value(Priority::Interactive),
        word(Priority::Background.as_str()).value(Priority::Background),
    ))
    .parse_next(input)
}

fn move_command(input: &mut Input<'_>) -> ParseResult<Command> {
    let service = service(input)?;
    let to = preceded(word("to"), version).parse_next(input)?;
    let by = alt((preceded(word("by"), command_time), time_from_now)).parse_next(input)?;
    Ok(Command::Move { service, to, by })
}

fn command_time(input: &mut Input<'_>) -> ParseResult<CommandTime> {
    let time = value_with("a time such as 2027-01-31T06:00:00Z or unix:1500ms", parse_time);
    alt((time_from_now, time.map(CommandTime::Absolute))).parse_next(input)
}

fn time_from_now(input: &mut Input<'_>) -> ParseResult<CommandTime> {
    preceded(word("in"), span).map(CommandTime::Relative).parse_next(input)
}

fn rollback_command(input: &mut Input<'_>) -> ParseResult<Command> {
    let service = service(input)?;
    Ok(Command::RollBack { service, reason: reason(input)? })
}

fn stop_command(input: &mut Input<'_>) -> ParseResult<Command> {
    let target = server_version(input)?;
    let route = opt(preceded(word("on"), route_name)).parse_next(input)?;
    let mark = StopMark { service: target.service, version: target.version, route };
    Ok(Command::Stop { mark, reason: reason(input)? })
}

fn reason(input: &mut Input<'_>) -> ParseResult<Option<Reason>> {
    opt(preceded(word("because"), quoted_reason)).parse_next(input)
}

fn service(input: &mut Input<'_>) -> ParseResult<ServiceName> {
    value("a service name").parse_next(input)
}

fn version(input: &mut Input<'_>) -> ParseResult<VersionName> {
    value("a version name").parse_next(input)
}

fn route_name(input: &mut Input<'_>) -> ParseResult<RouteName> {
    value("a route name").parse_next(input)
}

fn data_centre(input: &mut Input<'_>) -> ParseResult<DataCentre> {
    value("a data centre").parse_next(input)
}

fn config_version(input: &mut Input<'_>) -> ParseResult<ConfigVersion> {
    value("a configuration version such as 17").parse_next(input)
}
