//! Command-line options of the test backend server.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use almondsail_core::ids::{ServiceName, VersionName};
use almondsail_core::units::Millis;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{Result, eyre};

use super::ServiceTime;

/// Command-line options of the test backend server.
#[derive(Debug, Clone)]
pub struct BackendOptions {
    /// The address on which calls are accepted; with port 0 the system chooses a port.
    pub listen: SocketAddr,
    /// The service that the backend server announces.
    pub service: ServiceName,
    /// The software version that the backend server announces.
    pub version: VersionName,
    /// The largest number of calls that run at a time.
    pub slots: usize,
    /// The largest number of calls that wait for a slot; further calls are rejected.
    pub queue: usize,
    /// The largest number of open connections; further ones are closed at once.
    pub connections: usize,
    /// The run time of calls by path prefix; zero for other paths.
    pub service_times: Vec<ServiceTime>,
    /// How long the state stays `starting` and calls run slower than usual.
    pub cold_start: Duration,
    /// The node's local address for announcements; without it none are sent.
    pub node: Option<SocketAddr>,
    /// The file to which a line of JSON is appended when an execution begins, so
    /// that the record survives when the process is killed.
    pub log: Option<PathBuf>,
}

impl BackendOptions {
    /// Reads the options from the command line; exits with a usage message if they are invalid.
    pub fn from_args() -> Result<Self> {
        Self::from_matches(&Self::command().get_matches())
    }

    fn command() -> Command {
        let arg = |name: &'static str| Arg::new(name).long(name);
        let number =
            |name, default| arg(name).value_parser(value_parser!(usize)).default_value(default);
        Command::new("standin_backend")
            .about("Stand-in for a backend server")
            .arg(arg("listen").value_parser(value_parser!(SocketAddr)).default_value("127.0.0.1:0"))
            .arg(arg("service").value_parser(value_parser!(ServiceName)).required(true))
            .arg(arg("version").value_parser(value_parser!(VersionName)).required(true))
            .arg(number("slots", "12"))
            .arg(number("queue", "24"))
            .arg(number("connections", "130"))
            .arg(
                arg("service-time")
                    .value_parser(|text: &str| {
                        text.parse::<ServiceTime>().map_err(|error| format!("{error:#}"))
                    })
                    .action(ArgAction::Append),
            )
            .arg(arg("cold-start").value_parser(value_parser!(Millis)).default_value("0ms"))
            .arg(arg("node").value_parser(value_parser!(SocketAddr)))
            .arg(arg("log").value_parser(value_parser!(PathBuf)))
    }

    fn from_matches(matches: &ArgMatches) -> Result<Self> {
        let cold_start: Millis = required(matches, "cold-start")?;
        let times = matches.get_many("service-time").unwrap_or_default().cloned().collect();
        Ok(Self {
            listen: required(matches, "listen")?,
            service: required(matches, "service")?,
            version: required(matches, "version")?,
            slots: required(matches, "slots")?,
            queue: required(matches, "queue")?,
            connections: required(matches, "connections")?,
            service_times: times,
            cold_start: Duration::from_millis(cold_start.get()),
            node: matches.get_one("node").copied(),
            log: matches.get_one("log").cloned(),
        })
    }
}

fn required<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Result<T> {
    matches.get_one(name).cloned().ok_or_else(|| eyre!("--{name} is missing"))
}
