//! A child process.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};

use eyre::{Result, WrapErr, ensure, eyre};
use rustix::process::{Pid, Signal, kill_process};
use tokio::sync::oneshot;

use super::{CEILING, Launch, wait_until};
use crate::BoundAddresses;

/// A child process, which is killed when dropped.
#[derive(Debug)]
pub(super) struct Process {
    child: Child,
    addresses: BoundAddresses,
}

impl Process {
    /// Starts a process and waits for the line with its addresses.
    pub(super) async fn start(launch: &Launch, folder: &Path) -> Result<Self> {
        let stderr_path = folder.join(format!("{}.stderr", launch.name));
        let stderr = File::options().create(true).append(true).open(&stderr_path)?;
        let mut child = Command::new(launch.binary.path()?)
            .args(&launch.args)
            .current_dir(folder)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()
            .wrap_err_with(|| format!("{} can't be started", launch.name))?;
        let first_line = child.stdout.take().map(first_line);
        let mut process = Self { child, addresses: BoundAddresses::default() };
        let line = first_line.ok_or_else(|| eyre!("{} has no stdout", launch.name))?;
        let line = tokio::time::timeout(CEILING, line).await.wrap_err("no first line")??;
        process.addresses = serde_json::from_str(&line).wrap_err_with(|| {
            let stderr = std::fs::read_to_string(&stderr_path).unwrap_or_default();
            format!("{}: first line {line:?}, stderr:\n{stderr}", launch.name)
        })?;
        Ok(process)
    }

    /// The addresses that it printed.
    pub(super) fn addresses(&self) -> &BoundAddresses {
        &self.addresses
    }

    /// The system's id of the process.
    pub(super) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub(super) fn signal(&self, signal: Signal) -> Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// Kills the process and waits for its end.
    pub(super) fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits for the process to end by itself.
    pub(super) async fn ended(&mut self) -> Result<ExitStatus> {
        let child = std::cell::RefCell::new(&mut self.child);
        wait_until("the end of a process", || async {
            let ended = child.borrow_mut().try_wait()?;
            ended.ok_or_else(|| eyre!("it still runs"))
        })
        .await
    }

    /// An error unless the process still runs.
    pub(super) fn check_running(&mut self) -> Result<()> {
        let ended = self.child.try_wait()?;
        ensure!(ended.is_none(), "it ended: {ended:?}");
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended already.
        let _killed = self.kill();
    }
}

/// Reads stdout to its end, so that the process never blocks on it, and gives
/// the first line.
fn first_line(stdout: ChildStdout) -> oneshot::Receiver<String> {
    let (tx, rx) = oneshot::channel();
    std::thread::spawn(move || {
        let mut lines = BufReader::new(stdout).lines();
        let _waiting = tx.send(lines.next().and_then(Result::ok).unwrap_or_default());
        lines.map_while(Result::ok).for_each(drop);
    });
    rx
}
