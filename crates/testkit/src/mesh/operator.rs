//! An operator at the command-line tool.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};

use eyre::{Result, WrapErr, ensure};

use crate::harness::Binary;

/// An operator at the command-line tool, who talks to one node.
#[derive(Debug, Clone)]
pub struct Operator {
    node: SocketAddr,
    token_file: PathBuf,
}

impl Operator {
    /// An operator who talks to the node whose operators' address is `node`.
    pub fn new(node: SocketAddr, token_file: PathBuf) -> Self {
        Self { node, token_file }
    }

    /// Runs the tool with a statement and gives what it printed; an error if it fails.
    pub async fn run(&self, statement: &str) -> Result<String> {
        let output = self.output(statement).await?;
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        let stderr = String::from_utf8_lossy(&output.stderr);
        let status = output.status;
        ensure!(status.success(), "almondsail run {statement:?}: {status}\n{stdout}{stderr}");
        Ok(stdout)
    }

    /// Runs the tool with a statement, whatever its end is.
    pub async fn output(&self, statement: &str) -> Result<Output> {
        let mut command = Command::new(Binary::Cli.path()?);
        command.arg("--node").arg(self.node.to_string());
        command.arg("--token-file").arg(&self.token_file).args(["run", statement]);
        let output = tokio::task::spawn_blocking(move || command.output()).await?;
        output.wrap_err("the tool can't be started")
    }
}
