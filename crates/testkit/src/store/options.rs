//! Options of the store stand-in.

use std::net::SocketAddr;

use almondsail_core::units::CallsPerSecond;
use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, eyre};

/// Options of the store stand-in.
#[derive(Debug, Clone)]
pub struct StoreOptions {
    /// Where it listens; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Reads and watches it takes; more are refused.
    pub reads: CallsPerSecond,
    /// Writes and lease calls it takes; more are refused.
    pub writes: CallsPerSecond,
}

impl StoreOptions {
    /// The options given on the command line.
    pub fn from_args() -> Result<Self> {
        Self::from_matches(&Self::command().get_matches())
    }

    fn command() -> Command {
        Command::new("standin_store")
            .about("Stand-in for the platform's key-value service")
            .arg(
                Arg::new("listen")
                    .long("listen")
                    .value_parser(value_parser!(SocketAddr))
                    .default_value("127.0.0.1:0"),
            )
            .arg(
                Arg::new("reads")
                    .long("reads")
                    .value_parser(value_parser!(CallsPerSecond))
                    .default_value("2000/s"),
            )
            .arg(
                Arg::new("writes")
                    .long("writes")
                    .value_parser(value_parser!(CallsPerSecond))
                    .default_value("400/s"),
            )
    }

    fn from_matches(matches: &ArgMatches) -> Result<Self> {
        let rate = |name: &str| -> Result<CallsPerSecond> {
            matches.get_one(name).copied().ok_or_else(|| eyre!("--{name} is missing"))
        };
        Ok(Self {
            listen: *matches.get_one("listen").ok_or_else(|| eyre!("--listen is missing"))?,
            reads: rate("reads")?,
            writes: rate("writes")?,
        })
    }
}
