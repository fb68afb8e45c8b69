//! Runs the operators' command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};

use eyre::{Result, WrapErr, ensure};

use crate::harness::Binary;

/// Runs the operators' command line against one node.
#[derive(Debug, Clone)]
pub struct Operator {
    node: SocketAddr,
    token_file: PathBuf,
}

impl Operator {
    /// Creates an operator for the node that accepts commands at `node`.
    pub fn new(node: SocketAddr, token_file: PathBuf) -> Self {
        Self { node, token_file }
    }

    /// Runs a statement and returns what the command printed; returns an error if it fails.
    pub async fn run(&self, statement: &str) -> Result<String> {
        let output = self.output(statement).await?;
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        let stderr = String::from_utf8_lossy(&output.stderr);
        let status = output.status;
        ensure!(status.success(), "almondsail run {statement:?}: {status}\n{stdout}{stderr}");
        Ok(stdout)
    }

    /// Runs a statement and returns the output and status of the command, also if it fails.
    pub async fn output(&self, statement: &str) -> Result<Output> {
        let mut command = Command::new(Binary::Cli.path()?);
        command.arg("--node").arg(self.node.to_string());
        command.arg("--token-file").arg(&self.token_file).args(["run", statement]);
        let output = tokio::task::spawn_blocking(move || command.output()).await?;
        output.wrap_err("the command line cannot be started")
    }
}
