//! Options of the backend stand-in.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use almondsail_core::ids::{ServiceName, VersionName};
use almondsail_core::units::Millis;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{Result, eyre};

use super::ServiceTime;

/// Options of the backend stand-in.
#[derive(Debug, Clone)]
pub struct BackendOptions {
    /// Where it listens; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// The service that it provides.
    pub service: ServiceName,
    /// Its version.
    pub version: VersionName,
    /// Calls that it runs at a time.
    pub slots: usize,
    /// Calls that wait for a slot; more are shed.
    pub queue: usize,
    /// Connections that it serves; more are closed at once.
    pub connections: usize,
    /// How long calls run by path prefix.
    pub service_times: Vec<ServiceTime>,
    /// How long it stays in the state `starting` and runs calls slowly.
    pub cold_start: Duration,
    /// The local address of the node beside it.
    pub node: Option<SocketAddr>,
    /// A file to which it appends a JSON line when an execution begins, so
    /// that the record outlives a killed process.
    pub log: Option<PathBuf>,
}

impl BackendOptions {
    /// The options given on the command line.
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
