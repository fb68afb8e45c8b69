//! An operator at the command-line tool.

use std::net::SocketAddr;
use std::process::{Command, Output};

use eyre::{Result, WrapErr, ensure};

use super::NodeSettings;
use crate::harness::Binary;

/// An operator at the command-line tool, who talks to one node.
#[derive(Debug, Clone, Copy)]
pub struct Operator {
    node: SocketAddr,
}

impl Operator {
    /// An operator who talks to the node whose operators' address is `node`.
    pub fn new(node: SocketAddr) -> Self {
        Self { node }
    }

    /// Runs the tool with `words` and gives what it printed; an error if it fails.
    pub async fn run(&self, words: &str) -> Result<String> {
        let output = self.output(words).await?;
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        let stderr = String::from_utf8_lossy(&output.stderr);
        let status = output.status;
        ensure!(status.success(), "almondsail {words}: {status}\n{stdout}{stderr}");
        Ok(stdout)
    }

    /// Runs the tool with `words`, whatever its end is.
    pub async fn output(&self, words: &str) -> Result<Output> {
        let mut command = Command::new(Binary::Tool.path()?);
        command.arg("--node").arg(self.node.to_string());
        command.env("ALMONDSAIL_TOKEN", NodeSettings::TOKEN);
        command.args(words.split_whitespace());
        let output = tokio::task::spawn_blocking(move || command.output()).await?;
        output.wrap_err("the tool can't be started")
    }
}
