//! Command-line options of the test store.

use std::net::SocketAddr;

use almondsail_core::units::CallsPerSecond;
use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, eyre};

/// Command-line options of the test store.
#[derive(Debug, Clone)]
pub struct StoreOptions {
    /// The address on which calls are accepted; with port 0 the system chooses a port.
    pub listen: SocketAddr,
    /// The highest rate of reads and watches; calls above it are rejected.
    pub reads: CallsPerSecond,
    /// The highest rate of writes and lease calls; calls above it are rejected.
    pub writes: CallsPerSecond,
}

impl StoreOptions {
    /// Reads the options from the command line; exits with a usage message if they are invalid.
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
