//! A child process with its output.

use std::fs::File;
use std::io::{BufRead, BufReader, Write as _};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use eyre::{Result, WrapErr, ensure, eyre};
use rustix::process::{Pid, Signal, kill_process};
use tokio::sync::oneshot;

use super::{Launch, WAIT_TIMEOUT, wait_until};
use crate::BoundAddresses;

/// How often a paused reader checks whether to continue.
const PAUSED_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A child process that is killed when dropped.
#[derive(Debug)]
pub(super) struct Process {
    child: Child,
    addresses: BoundAddresses,
    /// Whether the thread of the reader reads the process's stdout.
    is_reading: Arc<AtomicBool>,
}

impl Process {
    /// Starts a process and waits until it has printed its addresses.
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
            .wrap_err_with(|| format!("{} cannot be started", launch.name))?;
        let is_reading = Arc::new(AtomicBool::new(true));
        let kept = match launch.keeps_stdout {
            true => {
                let path = folder.join(format!("{}.stdout", launch.name));
                Some(File::options().create(true).append(true).open(path)?)
            }
            false => None,
        };
        let first_line =
            child.stdout.take().map(|stdout| read_stdout(stdout, kept, Arc::clone(&is_reading)));
        let mut process = Self { child, addresses: BoundAddresses::default(), is_reading };
        let line = first_line.ok_or_else(|| eyre!("{} has no stdout", launch.name))?;
        let line = tokio::time::timeout(WAIT_TIMEOUT, line)
            .await
            .wrap_err("the process printed no first line")??;
        process.addresses = serde_json::from_str(&line).wrap_err_with(|| {
            let stderr = std::fs::read_to_string(&stderr_path).unwrap_or_default();
            format!("{}: first line {line:?}, stderr:\n{stderr}", launch.name)
        })?;
        Ok(process)
    }

    /// Returns the addresses that the process printed.
    pub(super) fn addresses(&self) -> &BoundAddresses {
        &self.addresses
    }

    /// Stops reading stdout, so that the pipe fills up.
    pub(super) fn stop_reading(&self) {
        self.is_reading.store(false, Ordering::Relaxed);
    }

    /// Returns the process id that the operating system assigned.
    pub(super) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends `signal` to the process.
    pub(super) fn signal(&self, signal: Signal) -> Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// Kills the process and waits for it to exit.
    pub(super) fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits for the process to exit without being killed.
    pub(super) async fn wait_for_exit(&mut self) -> Result<ExitStatus> {
        let child = std::cell::RefCell::new(&mut self.child);
        wait_until("the end of a process", || async {
            let ended = child.borrow_mut().try_wait()?;
            ended.ok_or_else(|| eyre!("the process is still running"))
        })
        .await
    }

    /// Returns the status of the process if it has exited by now.
    pub(super) fn try_exit(&mut self) -> Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// Returns an error if the process has exited.
    pub(super) fn check_running(&mut self) -> Result<()> {
        let ended = self.child.try_wait()?;
        ensure!(ended.is_none(), "the process exited unexpectedly: {ended:?}");
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Killing fails if the process has already exited.
        let _killed = self.kill();
        self.is_reading.store(true, Ordering::Relaxed);
    }
}

/// Reads stdout in a thread, so that the process never blocks on a full pipe, and
/// sends the first line to the receiver. Writes all lines to `kept`. Pauses while `is_reading` is
/// false.
fn read_stdout(
    stdout: ChildStdout,
    mut kept: Option<File>,
    is_reading: Arc<AtomicBool>,
) -> oneshot::Receiver<String> {
    let (tx, rx) = oneshot::channel();
    let mut keep = move |line: &str| {
        // Without room on the disk the rest is lost, which the reader of the file sees.
        let _full = kept.as_mut().map(|file| writeln!(file, "{line}"));
    };
    std::thread::spawn(move || {
        let mut lines = BufReader::new(stdout).lines();
        let first = lines.next().and_then(Result::ok).unwrap_or_default();
        keep(&first);
        let _waiting = tx.send(first);
        while let Some(Ok(line)) = lines.next() {
            keep(&line);
            while !is_reading.load(Ordering::Relaxed) {
                std::thread::sleep(PAUSED_POLL_INTERVAL);
            }
        }
    });
    rx
}
