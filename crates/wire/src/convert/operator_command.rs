//! Conversions of operator commands.

use almondsail_core::config::{Reason, StopMark};
use almondsail_core::ids::ConfigVersion;
use almondsail_core::operators::{Command, CommandRequest, CommandTime};
use almondsail_core::units::{Millis, UnixMillis};

use super::fields::{optional_text, parse, parse_optional, required};
use crate::operator::command::Command as WireCommand;
use crate::operator::r#move::By;
use crate::{FieldError, operator as wire};

impl From<&Command> for wire::Command {
    fn from(command: &Command) -> Self {
        let command = match command {
            Command::CreateService { name, team } => WireCommand::CreateService(wire::NewService {
                name: name.to_string(),
                team: team.to_string(),
            }),
            Command::RemoveService(name) => WireCommand::RemoveService(name.to_string()),
            Command::CreateRoute(route) => WireCommand::CreateRoute(route.into()),
            Command::ChangeRoute(route) => WireCommand::ChangeRoute(route.into()),
            Command::RemoveRoute(name) => WireCommand::RemoveRoute(name.to_string()),
            Command::CreateVersion(version) => WireCommand::CreateVersion(version.into()),
            Command::RemoveVersion(version) => WireCommand::RemoveVersion(version.into()),
            Command::Move { service, to, by } => WireCommand::Move(wire::Move {
                service: service.to_string(),
                to: to.to_string(),
                by: Some((*by).into()),
            }),
            Command::Hold(service) => WireCommand::Hold(service.to_string()),
            Command::Resume(service) => WireCommand::Resume(service.to_string()),
            Command::RollBack { service, reason } => WireCommand::RollBack(wire::RollBack {
                service: service.to_string(),
                reason: optional_text(reason.as_ref()),
            }),
            Command::Stop { mark, reason } => WireCommand::Stop(wire::Stop {
                mark: Some(mark.into()),
                reason: optional_text(reason.as_ref()),
            }),
            Command::ClearStop(version) => WireCommand::ClearStop(version.into()),
            Command::Restore(version) => WireCommand::Restore(version.get()),
        };
        Self { command: Some(command) }
    }
}

impl TryFrom<wire::Command> for Command {
    type Error = FieldError;

    fn try_from(w: wire::Command) -> Result<Self, FieldError> {
        Ok(match required("command", w.command)? {
            WireCommand::CreateService(w) => {
                create_service_from_wire(&w).map_err(within_field("create_service"))?
            }
            WireCommand::RemoveService(name) => {
                Self::RemoveService(parse("remove_service", &name)?)
            }
            WireCommand::CreateRoute(w) => {
                Self::CreateRoute(w.try_into().map_err(within_field("create_route"))?)
            }
            WireCommand::ChangeRoute(w) => {
                Self::ChangeRoute(w.try_into().map_err(within_field("change_route"))?)
            }
            WireCommand::RemoveRoute(name) => Self::RemoveRoute(parse("remove_route", &name)?),
            WireCommand::CreateVersion(w) => {
                Self::CreateVersion(w.try_into().map_err(within_field("create_version"))?)
            }
            WireCommand::RemoveVersion(w) => {
                Self::RemoveVersion(w.try_into().map_err(within_field("remove_version"))?)
            }
            WireCommand::Move(w) => move_from_wire(w).map_err(within_field("move"))?,
            WireCommand::Hold(service) => Self::Hold(parse("hold", &service)?),
            WireCommand::Resume(service) => Self::Resume(parse("resume", &service)?),
            WireCommand::RollBack(w) => {
                roll_back_from_wire(&w).map_err(within_field("roll_back"))?
            }
            WireCommand::Stop(w) => stop_from_wire(w).map_err(within_field("stop"))?,
            WireCommand::ClearStop(w) => {
                Self::ClearStop(w.try_into().map_err(within_field("clear_stop"))?)
            }
            WireCommand::Restore(version) => Self::Restore(ConfigVersion::new(version)),
        })
    }
}

/// Returns a function that prefixes an error's path with the enclosing field.
fn within_field(outer: &'static str) -> impl Fn(FieldError) -> FieldError {
    move |e| e.within(outer)
}

fn create_service_from_wire(w: &wire::NewService) -> Result<Command, FieldError> {
    Ok(Command::CreateService { name: parse("name", &w.name)?, team: parse("team", &w.team)? })
}

fn move_from_wire(w: wire::Move) -> Result<Command, FieldError> {
    let service = parse("service", &w.service)?;
    let to = parse("to", &w.to)?;
    Ok(Command::Move { service, to, by: required("by", w.by)?.into() })
}

fn roll_back_from_wire(w: &wire::RollBack) -> Result<Command, FieldError> {
    let reason: Option<Reason> = parse_optional("reason", &w.reason)?;
    Ok(Command::RollBack { service: parse("service", &w.service)?, reason })
}

fn stop_from_wire(w: wire::Stop) -> Result<Command, FieldError> {
    let mark: StopMark =
        required("mark", w.mark)?.try_into().map_err(|e: FieldError| e.within("mark"))?;
    Ok(Command::Stop { mark, reason: parse_optional("reason", &w.reason)? })
}

impl From<CommandTime> for By {
    fn from(time: CommandTime) -> Self {
        match time {
            CommandTime::Absolute(time) => Self::AtUnixMs(time.get()),
            CommandTime::Relative(span) => Self::InMs(span.get()),
        }
    }
}

impl From<By> for CommandTime {
    fn from(by: By) -> Self {
        match by {
            By::AtUnixMs(ms) => Self::Absolute(UnixMillis::new(ms)),
            By::InMs(ms) => Self::Relative(Millis::new(ms)),
        }
    }
}

impl From<&CommandRequest> for wire::CommandRequest {
    fn from(request: &CommandRequest) -> Self {
        Self {
            command: Some((&request.command).into()),
            base_version: request.base_version.map(ConfigVersion::get),
            dry_run: request.dry_run,
            write_id: request.write_id.to_string(),
        }
    }
}

impl TryFrom<wire::CommandRequest> for CommandRequest {
    type Error = FieldError;

    fn try_from(w: wire::CommandRequest) -> Result<Self, FieldError> {
        Ok(Self {
            write_id: parse("write_id", &w.write_id)?,
            command: required("command", w.command)?.try_into().map_err(within_field("command"))?,
            base_version: w.base_version.map(ConfigVersion::new),
            dry_run: w.dry_run,
        })
    }
}
