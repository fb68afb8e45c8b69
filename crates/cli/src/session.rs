//! Runs the task that the arguments ask for.

use std::io::{self, BufRead};
use std::path::{Path, PathBuf};

use almondsail_core::ids::{ConfigVersion, WriteId};
use almondsail_core::operators::{CommandRequest, Query};
use almondsail_core::report::ReportQuery;
use almondsail_wire::operator as wire;
use almondsail_wire::operator::outcome::Outcome;
use bytes::Bytes;
use eyre::{WrapErr, bail, eyre};
use http::Method;
use rand::TryRngCore;
use rand::rngs::OsRng;
use serde::Serialize;
use tokio::runtime::Runtime;

use crate::cli;
use crate::delivery::{self, DeliveryResult};
use crate::exchange::{NodeClient, NodeRequest};
use crate::exit::Exit;
use crate::explain::{self, Explanation, LogLine};
use crate::language::{GRAMMAR, Statement};
use crate::options::Options;
use crate::output::{Console, Format, answer_text, outcome_text, report_text};
use crate::task::Task;

/// Parses the arguments, runs the task and returns how the process exits.
pub fn main() -> Exit {
    let (task, options) = cli::parse();
    let console = Console::new(options.format);
    if task == Task::Grammar {
        console.text(GRAMMAR);
        return Exit::Done;
    }
    if let Task::Explain { id, logs } = &task {
        return explain_request(id, logs, &console);
    }
    match Session::start(options) {
        Ok(mut session) => session.run(task),
        Err(e) => {
            console.local_error("usage", &format!("{e:#}"));
            Exit::Usage
        }
    }
}

/// Prints the log lines that explain what happened to the request `id`.
fn explain_request(id: &str, logs: &[PathBuf], console: &Console) -> Exit {
    let lines = match read_logs(logs) {
        Ok(lines) => lines,
        Err(e) => {
            console.local_error("usage", &format!("{e:#}"));
            return Exit::Usage;
        }
    };
    let explanation = Explanation::for_request(id, lines);
    if explanation.lines.is_empty() {
        console.local_error("unknown", &format!("no line of the logs is about the request {id}"));
        return Exit::Refused;
    }
    match console.format() {
        Format::Text => console.text(&explanation.to_string()),
        Format::Json => console.text(&explanation.to_json_lines()),
    }
    Exit::Done
}

fn read_logs(logs: &[PathBuf]) -> eyre::Result<Vec<LogLine>> {
    if logs.is_empty() {
        return Ok(explain::read_log(io::stdin().lock())?);
    }
    let mut lines = Vec::new();
    for path in logs {
        let name = || path.display().to_string();
        let file = std::fs::File::open(path).wrap_err_with(name)?;
        lines.extend(explain::read_log(io::BufReader::new(file)).wrap_err_with(name)?);
    }
    Ok(lines)
}

/// State that the statements of one run of the tool share.
struct Session {
    options: Options,
    client: NodeClient,
    console: Console,
    runtime: Runtime,
    /// Configuration version that the operator last saw. It is the base of commands, except of
    /// those that only withdraw traffic. `None` until an answer was shown; commands then apply to
    /// the newest version.
    seen_version: Option<ConfigVersion>,
}

impl Session {
    fn start(options: Options) -> eyre::Result<Self> {
        if options.nodes.is_empty() {
            bail!("give the address of a node with --node");
        }
        let file = options.token_file.as_deref();
        let token =
            read_token(file.ok_or_else(|| eyre!("give the operator's token with --token-file"))?)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let client = NodeClient::new(token, options.timeout);
        let console = Console::new(options.format);
        Ok(Self { options, client, console, runtime, seen_version: None })
    }

    fn run(&mut self, task: Task) -> Exit {
        match task {
            Task::RunStatement(text) => self.run_statement(&text),
            Task::RunLines => self.run_lines(),
            Task::Outcome(write_id) => self.run_outcome(write_id),
            Task::Report(query) => self.run_report(&query),
            // `main` has already run the tasks that need no node.
            Task::Explain { .. } | Task::Grammar => Exit::Done,
        }
    }

    /// Runs the statements on the lines of the standard input. Stops at the first that fails, since
    /// later lines may depend on it. Skips empty lines and lines that begin with `#`.
    fn run_lines(&mut self) -> Exit {
        for (i, line) in io::stdin().lock().lines().enumerate() {
            let Ok(line) = line else {
                return self.usage_error("the standard input is not UTF-8 text");
            };
            let text = line.trim();
            if text.is_empty() || text.starts_with('#') {
                continue;
            }
            let exit = self.run_statement(text);
            if exit != Exit::Done {
                eprintln!("stopped at line {}", i + 1);
                return exit;
            }
        }
        Exit::Done
    }

    fn run_statement(&mut self, text: &str) -> Exit {
        let (command, dry_run, base_version) = match text.parse() {
            Ok(Statement::Query(query)) => return self.run_query(&query),
            Ok(Statement::Command { command, dry_run, base_version }) => {
                (command, dry_run, base_version)
            }
            Err(e) => return self.usage_error(&e.to_string()),
        };
        let write_id = match new_write_id() {
            Ok(write_id) => write_id,
            Err(e) => return self.usage_error(&format!("{e:#}")),
        };
        let base_version =
            base_version.or(self.seen_version.filter(|_| !command.only_withdraws_traffic()));
        self.run_command(&CommandRequest { write_id, command, base_version, dry_run })
    }

    fn run_query(&mut self, query: &Query) -> Exit {
        let request = post_request("/v1/queries", &wire::Query::from(query));
        let asked =
            delivery::send_query::<wire::Answer>(&self.client, &self.options.nodes, &request);
        match self.runtime.block_on(asked) {
            DeliveryResult::Answered(answer) => {
                self.seen_version =
                    Some(ConfigVersion::new(answer.version)).filter(|v| v.get() > 0);
                self.console.show(&answer, answer_text);
                Exit::Done
            }
            other => self.show_failure(other, "no node answered"),
        }
    }

    fn run_command(&mut self, request: &CommandRequest) -> Exit {
        let body = post_request("/v1/commands", &wire::CommandRequest::from(request));
        let sent = delivery::send_command(&self.client, &self.options.nodes, &body);
        match self.runtime.block_on(sent) {
            DeliveryResult::Answered(outcome) => self.show_outcome(outcome),
            DeliveryResult::InDoubt(failures) if !request.dry_run => {
                self.console.failures(&failures);
                self.show_outcome(Outcome::Unknown(request.write_id.to_string()))
            }
            other => self.show_failure(other, "no node took the command; nothing was changed"),
        }
    }

    fn run_outcome(&mut self, write_id: WriteId) -> Exit {
        let path = format!("/v1/outcomes/{write_id}");
        let request = NodeRequest { method: Method::GET, path, body: Bytes::new() };
        let asked =
            delivery::send_query::<wire::Outcome>(&self.client, &self.options.nodes, &request);
        match self.runtime.block_on(asked) {
            DeliveryResult::Answered(wire::Outcome { outcome: Some(outcome) }) => {
                self.show_outcome(outcome)
            }
            DeliveryResult::Answered(_) => {
                self.show_outcome(Outcome::Unknown(write_id.to_string()))
            }
            other => match self.show_failure(other, "no node answered") {
                // The query was refused, not the change, whose outcome stays unknown.
                Exit::Refused => Exit::Unknown,
                exit => exit,
            },
        }
    }

    fn run_report(&self, query: &ReportQuery) -> Exit {
        let path = format!("/v1/report?team={}&since={}", query.team, query.since);
        let request = NodeRequest { method: Method::GET, path, body: Bytes::new() };
        let asked =
            delivery::send_query::<wire::Report>(&self.client, &self.options.nodes, &request);
        match self.runtime.block_on(asked) {
            DeliveryResult::Answered(report) => {
                self.console.show(&report, report_text);
                Exit::Done
            }
            other => self.show_failure(other, "no node answered"),
        }
    }

    /// Prints the outcome of a command and returns the exit that it leads to.
    fn show_outcome(&mut self, outcome: Outcome) -> Exit {
        self.advance_seen_version(&outcome);
        let exit = match &outcome {
            Outcome::Accepted(_) | Outcome::WouldAccept(_) | Outcome::StoppedUnrecorded(_) => {
                Exit::Done
            }
            Outcome::Refused(_) => Exit::Refused,
            Outcome::Unknown(_) | Outcome::NotFound(_) => Exit::Unknown,
        };
        let text = outcome_text(&outcome);
        self.console.show(&wire::Outcome { outcome: Some(outcome) }, |_| text);
        exit
    }

    /// Sets the seen version to that of the operator's own accepted change, unless a change that
    /// the operator has not seen was accepted before it.
    fn advance_seen_version(&mut self, outcome: &Outcome) {
        if let (Outcome::Accepted(version), Some(seen)) = (outcome, self.seen_version)
            && seen.next().get() == *version
        {
            self.seen_version = Some(seen.next());
        }
    }

    /// Prints why no node carried out a request; `message` is the error if no node refused it.
    fn show_failure<T>(&self, result: DeliveryResult<T>, message: &str) -> Exit {
        match result {
            DeliveryResult::Refused(e) => {
                self.console.error(&e);
                Exit::Refused
            }
            DeliveryResult::InDoubt(failures) | DeliveryResult::NoNode(failures) => {
                self.console.failures(&failures);
                self.console.local_error("no_node", message);
                Exit::NoNode
            }
            // Callers have printed the answer.
            DeliveryResult::Answered(_) => Exit::Done,
        }
    }

    fn usage_error(&self, message: &str) -> Exit {
        self.console.local_error("usage", message);
        Exit::Usage
    }
}

fn read_token(file: &Path) -> eyre::Result<String> {
    let text = std::fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?;
    let token = text.trim();
    if token.is_empty() || !token.bytes().all(|b| b.is_ascii_graphic()) {
        bail!(
            "{} must hold one token of printable ASCII characters without spaces",
            file.display()
        );
    }
    Ok(token.to_owned())
}

fn new_write_id() -> eyre::Result<WriteId> {
    let mut bytes = [0; WriteId::BYTES];
    OsRng
        .try_fill_bytes(&mut bytes)
        .wrap_err("can't get random numbers from the operating system")?;
    Ok(WriteId::new(bytes))
}

fn post_request<T: Serialize>(path: &str, body: &T) -> NodeRequest {
    // Serialization can't fail: the generated types have only string keys.
    let body = serde_json::to_vec(body).unwrap_or_default().into();
    NodeRequest { method: Method::POST, path: path.to_owned(), body }
}
