//! The binary `almondsail`.

use std::process::ExitCode;

fn main() -> ExitCode {
    almondsail_cli::session::main().into()
}
