//! Entry point of the `almondsail` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    almondsail_cli::session::main().into()
}
