//! The command line of the node.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// The action that the command line selects, with the path of the settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Invocation {
    /// Validates the settings file and exits, without starting a node.
    Check(PathBuf),
    /// Runs a node with the settings file.
    Run(PathBuf),
}

/// Defines the command-line arguments.
pub fn command() -> Command {
    Command::new("almondsail-node")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Carries calls and configuration beside one backend server")
        .arg(
            Arg::new("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file, JSON with comments"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Print every mistake in the settings file and end; status 1 if there is any"),
        )
}

impl Invocation {
    /// Converts the matches of [`command`].
    pub fn from_matches(mut matches: ArgMatches) -> Self {
        let check = matches.get_flag("check");
        let file = matches.remove_one("settings").unwrap_or_default();
        if check { Self::Check(file) } else { Self::Run(file) }
    }
}
