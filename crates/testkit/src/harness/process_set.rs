//! Starts, signals and stops the processes of one test.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::ExitStatus;
use std::sync::atomic::{AtomicU8, Ordering};

use eyre::{Result, WrapErr, eyre};
use rustix::process::Signal;

use super::process::Process;
use super::reserved_port::ReservedPort;
use super::temp_folder::TempFolder;
use super::{Launch, ProcessId};
use crate::BoundAddresses;

/// Starts, signals and stops the processes of one test; kills them when dropped.
///
/// Each harness uses a loopback address of its own. A process that is restarted on
/// its former port finds it neither taken by another test's listener nor by an
/// outgoing connection, because those use 127.0.0.1 as their source address.
#[derive(Debug)]
pub struct Harness {
    /// Declared before `folder`, so that the processes exit before it is removed.
    processes: Vec<ManagedProcess>,
    folder: TempFolder,
    ip: Ipv4Addr,
    reserved_ports: Vec<ReservedPort>,
}

#[derive(Debug)]
struct ManagedProcess {
    launch: Launch,
    process: Option<Process>,
}

impl Harness {
    /// Creates a harness without processes, with a temporary folder and a loopback address.
    pub fn new() -> Result<Self> {
        static CREATED: AtomicU8 = AtomicU8::new(0);
        let number = CREATED.fetch_add(1, Ordering::Relaxed) % 250 + 1;
        let [.., high, low] = std::process::id().to_be_bytes();
        let folder = TempFolder::create(&format!("{}-{number}", std::process::id()))?;
        let ip = Ipv4Addr::new(127, number, high, low);
        // Addresses that end in 0 or 255 are network and broadcast addresses.
        let ip = if low == 0 || low == 255 { Ipv4Addr::new(127, number, high, 77) } else { ip };
        Ok(Self { processes: Vec::new(), folder, ip, reserved_ports: Vec::new() })
    }

    /// Returns the harness's loopback address with port 0, so that the system chooses a port.
    pub fn any_port(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 0)
    }

    /// Returns an address that refuses connections until a process of the harness listens on
    /// it. Its port is given to no other socket while the harness exists.
    pub fn reserve_port(&mut self) -> Result<SocketAddr> {
        let port = ReservedPort::bind(self.any_port())?;
        let address = port.address();
        self.reserved_ports.push(port);
        Ok(address)
    }

    /// Returns the temporary folder in which the processes run.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Writes a file into the folder in which the processes run.
    pub fn write_file(&self, name: &str, content: &str) -> Result<()> {
        std::fs::write(self.folder().join(name), content).wrap_err_with(|| name.to_owned())
    }

    /// Returns what a process has written to stderr, including earlier starts.
    pub fn stderr(&self, id: ProcessId) -> Result<String> {
        let name = format!("{}.stderr", self.managed(id)?.launch.name);
        std::fs::read_to_string(self.folder().join(&name)).wrap_err(name)
    }

    /// Returns what a process that [keeps](Launch::keeping_stdout) its stdout has written to it,
    /// including earlier starts.
    pub fn stdout(&self, id: ProcessId) -> Result<String> {
        let name = format!("{}.stdout", self.managed(id)?.launch.name);
        let bytes = std::fs::read(self.folder().join(&name)).wrap_err(name)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Starts a process and waits until it has printed its addresses.
    pub async fn start(&mut self, launch: Launch) -> Result<ProcessId> {
        let process = Process::start(&launch, self.folder.path()).await?;
        self.processes.push(ManagedProcess { launch, process: Some(process) });
        Ok(ProcessId(self.processes.len() - 1))
    }

    /// Starts a process again, with `launch` if given; kills it first if it still runs.
    pub async fn restart(&mut self, id: ProcessId, launch: Option<Launch>) -> Result<()> {
        let folder = self.folder.path().to_owned();
        let managed = self.managed_mut(id)?;
        managed.process = None;
        managed.launch = launch.unwrap_or_else(|| managed.launch.clone());
        managed.process = Some(Process::start(&managed.launch, &folder).await?);
        Ok(())
    }

    /// Returns the command with which a process was last started.
    pub fn launch(&self, id: ProcessId) -> Result<&Launch> {
        Ok(&self.managed(id)?.launch)
    }

    /// Returns the addresses that a running process printed.
    pub fn addresses(&self, id: ProcessId) -> Result<&BoundAddresses> {
        Ok(self.process(id)?.addresses())
    }

    /// Returns the address that a running process printed under `name`.
    pub fn address(&self, id: ProcessId, name: &str) -> Result<SocketAddr> {
        self.process(id)?.addresses().get(name)
    }

    /// Returns the id that the operating system assigned to a running process.
    pub fn pid(&self, id: ProcessId) -> Result<u32> {
        Ok(self.process(id)?.pid())
    }

    /// Kills a process with SIGKILL, like a crash.
    pub fn kill(&mut self, id: ProcessId) -> Result<()> {
        self.managed_mut(id)?.process.take().ok_or_else(|| eyre!("{id} is not running"))?.kill()
    }

    /// Suspends a process with SIGSTOP until it is resumed.
    pub fn suspend(&self, id: ProcessId) -> Result<()> {
        self.process(id)?.signal(Signal::STOP)
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self, id: ProcessId) -> Result<()> {
        self.process(id)?.signal(Signal::CONT)
    }

    /// Sends SIGHUP to a process, which announces a change of its settings.
    pub fn request_reload(&self, id: ProcessId) -> Result<()> {
        self.process(id)?.signal(Signal::HUP)
    }

    /// Sends SIGTERM to a process without waiting for it to exit.
    pub fn request_stop(&self, id: ProcessId) -> Result<()> {
        self.process(id)?.signal(Signal::TERM)
    }

    /// Stops reading the stdout of a process, so that its pipe fills up.
    pub fn stop_reading(&self, id: ProcessId) -> Result<()> {
        self.process(id)?.stop_reading();
        Ok(())
    }

    /// Sends SIGTERM to a process and waits for it to exit.
    pub async fn stop(&mut self, id: ProcessId) -> Result<ExitStatus> {
        self.request_stop(id)?;
        self.wait_for_exit(id).await
    }

    /// Waits for a process to exit and returns its status.
    pub async fn wait_for_exit(&mut self, id: ProcessId) -> Result<ExitStatus> {
        let managed = self.managed_mut(id)?;
        let process = managed.process.as_mut().ok_or_else(|| eyre!("{id} is not running"))?;
        let status = process.wait_for_exit().await?;
        managed.process = None;
        Ok(status)
    }

    /// Returns the status of a process that has exited by now.
    pub fn try_exit(&mut self, id: ProcessId) -> Result<Option<ExitStatus>> {
        let managed = self.managed_mut(id)?;
        let process = managed.process.as_mut().ok_or_else(|| eyre!("{id} is not running"))?;
        let status = process.try_exit()?;
        if status.is_some() {
            managed.process = None;
        }
        Ok(status)
    }

    /// Returns an error with the name of a process that exited unexpectedly, if any.
    pub fn check_running(&mut self) -> Result<()> {
        for ManagedProcess { launch, process } in &mut self.processes {
            if let Some(process) = process {
                process.check_running().wrap_err_with(|| launch.name.clone())?;
            }
        }
        Ok(())
    }

    fn managed(&self, id: ProcessId) -> Result<&ManagedProcess> {
        self.processes.get(id.0).ok_or_else(|| eyre!("{id} does not belong to this harness"))
    }

    fn managed_mut(&mut self, id: ProcessId) -> Result<&mut ManagedProcess> {
        self.processes.get_mut(id.0).ok_or_else(|| eyre!("{id} does not belong to this harness"))
    }

    fn process(&self, id: ProcessId) -> Result<&Process> {
        self.managed(id)?.process.as_ref().ok_or_else(|| eyre!("{id} is not running"))
    }
}
