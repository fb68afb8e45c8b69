//! The command `almondsail-node`, which runs beside each backend server.

use std::process::ExitCode;

use almondsail_node::cli::{self, Invocation};
use almondsail_node::settings::SettingsFile;

fn main() -> ExitCode {
    let result = match Invocation::from_matches(cli::command().get_matches()) {
        Invocation::Check(file) => SettingsFile::read(&file)
            .map(|_| println!("{}: no mistakes", file.display()))
            .map_err(Into::into),
        Invocation::Run(file) => {
            SettingsFile::read(&file).map_err(Into::into).and_then(|settings| settings.run())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::FAILURE
        }
    }
}
