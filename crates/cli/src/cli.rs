//! Defines and parses the options and subcommands of the tool.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use almondsail_core::ids::{TeamName, WriteId};
use almondsail_core::report::ReportQuery;
use almondsail_core::units::UnixMillis;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::language::parse_time;
use crate::options::Options;
use crate::output::Format;
use crate::task::Task;

/// Text that `--help` prints after the options.
const AFTER_HELP: &str = "\
Exit codes:
  0  accepted or answered
  1  refused; nothing was changed
  2  wrong options or wrong command text; nothing was sent
  3  unknown whether the change was accepted; `almondsail outcome WRITE_ID` finds out
  4  no node answered; nothing was changed";

/// Parses the arguments of the process. Prints help or a usage error and exits if they name no
/// valid task.
pub fn parse() -> (Task, Options) {
    let matches = command().get_matches();
    (parse_task(&matches), parse_options(&matches))
}

/// Returns the clap definition of every option and subcommand.
pub fn command() -> Command {
    Command::new("almondsail")
        .about("Shows and changes the configuration of an almondsail installation")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(AFTER_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_args())
        .subcommand(run_command())
        .subcommand(outcome_command())
        .subcommand(report_command())
        .subcommand(explain_command())
        .subcommand(Command::new("grammar").about("Prints the grammar of the command language"))
}

fn global_args() -> [Arg; 4] {
    [
        Arg::new("node")
            .long("node")
            .value_name("ADDR")
            .global(true)
            .action(ArgAction::Append)
            .value_parser(value_parser!(SocketAddr))
            .help("Address of a node's operator port, such as 10.0.0.7:7003; when repeated, the nodes are tried in turn"),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .global(true)
            .value_parser(value_parser!(PathBuf))
            .help("File that holds the operator's token"),
        Arg::new("output")
            .long("output")
            .value_name("FORM")
            .global(true)
            .default_value("text")
            .value_parser(["text", "json"])
            .help("Form of the output: tables and sentences for people, or one line of JSON for each statement"),
        Arg::new("timeout")
            .long("timeout")
            .value_name("SPAN")
            .global(true)
            .default_value("10s")
            .value_parser(parse_timeout)
            .help("How long one node may take to answer, such as 500ms or 10s"),
    ]
}

fn run_command() -> Command {
    Command::new("run").about("Runs a statement of the command language").arg(
        Arg::new("statement")
            .value_name("COMMAND TEXT")
            .required(true)
            .help("The statement, in quotes; `-` runs one statement a line from the standard input and stops at the first that fails"),
    )
}

fn outcome_command() -> Command {
    Command::new("outcome").about("Finds out how a command with an unknown outcome ended").arg(
        Arg::new("write-id")
            .value_name("WRITE_ID")
            .required(true)
            .value_parser(value_parser!(WriteId))
            .help("The write id that the tool printed: 32 hexadecimal digits"),
    )
}

fn report_command() -> Command {
    Command::new("report")
        .about("Shows what was delivered to a team and at what cost")
        .arg(
            Arg::new("team")
                .long("team")
                .value_name("NAME")
                .required(true)
                .value_parser(value_parser!(TeamName))
                .help("Name of the team that the report is about"),
        )
        .arg(
            Arg::new("since")
                .long("since")
                .value_name("TIME")
                .required(true)
                .value_parser(parse_since)
                .help("Start of the report: RFC 3339 in UTC, such as 2027-01-31T06:00:00Z, or unix:1500ms"),
        )
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Shows what became of a request, from the logs of nodes")
        .arg(Arg::new("id").value_name("ID").required(true).help("The id of the caller's attempt"))
        .arg(
            Arg::new("logs")
                .value_name("FILE")
                .action(ArgAction::Append)
                .value_parser(value_parser!(PathBuf))
                .help("Log files of nodes; the standard input is read if none is given"),
        )
}

fn parse_timeout(text: &str) -> Result<Duration, String> {
    match humantime::parse_duration(text) {
        Ok(span) if !span.is_zero() => Ok(span),
        Ok(_) => Err("must be more than zero".to_owned()),
        Err(e) => Err(e.to_string()),
    }
}

fn parse_since(text: &str) -> Result<UnixMillis, String> {
    parse_time(text)
        .ok_or_else(|| "expected a time such as 2027-01-31T06:00:00Z or unix:1500ms".to_owned())
}

fn parse_task(matches: &ArgMatches) -> Task {
    match matches.subcommand() {
        Some(("run", args)) => match args.get_one::<String>("statement").map(String::as_str) {
            Some("-") | None => Task::RunLines,
            Some(text) => Task::RunStatement(text.to_owned()),
        },
        Some(("outcome", args)) => Task::Outcome(required(args, "write-id")),
        Some(("report", args)) => Task::Report(ReportQuery {
            team: required(args, "team"),
            since: required(args, "since"),
        }),
        Some(("explain", args)) => Task::Explain {
            id: required(args, "id"),
            logs: args.get_many("logs").unwrap_or_default().cloned().collect(),
        },
        _ => Task::Grammar,
    }
}

/// Returns the value of an argument that clap requires or gives a default.
fn required<T: Clone + Send + Sync + 'static>(args: &ArgMatches, id: &str) -> T {
    args.get_one::<T>(id).cloned().unwrap_or_else(|| unreachable!("clap requires {id}"))
}

fn parse_options(matches: &ArgMatches) -> Options {
    let nodes = matches.get_many("node").unwrap_or_default().copied().collect();
    let is_json = matches.get_one::<String>("output").is_some_and(|form| form == "json");
    Options {
        nodes,
        token_file: matches.get_one("token-file").cloned(),
        format: if is_json { Format::Json } else { Format::Text },
        timeout: required(matches, "timeout"),
    }
}
