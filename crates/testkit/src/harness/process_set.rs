//! The processes of one test.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::ExitStatus;
use std::sync::atomic::{AtomicU8, Ordering};

use eyre::{Result, WrapErr, eyre};
use rustix::process::Signal;

use super::process::Process;
use super::temp_folder::TempFolder;
use super::{Launch, ProcessId};
use crate::BoundAddresses;

/// The processes of one test; they end when it is dropped.
///
/// Each harness listens on a loopback address of its own. A process that is
/// restarted on its former port can't meet another test's listener there, nor
/// the port of an outgoing connection, since these begin at 127.0.0.1.
#[derive(Debug)]
pub struct Harness {
    /// Declared before `folder`, so that processes end before it is removed.
    processes: Vec<ManagedProcess>,
    folder: TempFolder,
    ip: Ipv4Addr,
}

#[derive(Debug)]
struct ManagedProcess {
    launch: Launch,
    process: Option<Process>,
}

impl Harness {
    /// A harness without processes.
    pub fn new() -> Result<Self> {
        static CREATED: AtomicU8 = AtomicU8::new(0);
        let number = CREATED.fetch_add(1, Ordering::Relaxed) % 250 + 1;
        let [.., high, low] = std::process::id().to_be_bytes();
        let folder = TempFolder::create(&format!("{}-{number}", std::process::id()))?;
        let ip = Ipv4Addr::new(127, number, high, low);
        // The first and last address of the block are special.
        let ip = if low == 0 || low == 255 { Ipv4Addr::new(127, number, high, 77) } else { ip };
        Ok(Self { processes: Vec::new(), folder, ip })
    }

    /// Where a process listens whose port the system chooses.
    pub fn any_port(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 0)
    }

    /// The folder in which the processes run.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Writes a file in the folder.
    pub fn write_file(&self, name: &str, content: &str) -> Result<()> {
        std::fs::write(self.folder().join(name), content).wrap_err_with(|| name.to_owned())
    }

    /// What a process wrote to stderr.
    pub fn stderr(&self, id: ProcessId) -> Result<String> {
        let name = format!("{}.stderr", self.managed(id)?.launch.name);
        std::fs::read_to_string(self.folder().join(&name)).wrap_err(name)
    }

    /// Starts a process and waits until it has told its addresses.
    pub async fn start(&mut self, launch: Launch) -> Result<ProcessId> {
        let process = Process::start(&launch, self.folder.path()).await?;
        self.processes.push(ManagedProcess { launch, process: Some(process) });
        Ok(ProcessId(self.processes.len() - 1))
    }

    /// Starts a process that has ended again, with other arguments if given.
    pub async fn restart(&mut self, id: ProcessId, launch: Option<Launch>) -> Result<()> {
        let folder = self.folder.path().to_owned();
        let managed = self.managed_mut(id)?;
        managed.process = None;
        managed.launch = launch.unwrap_or_else(|| managed.launch.clone());
        managed.process = Some(Process::start(&managed.launch, &folder).await?);
        Ok(())
    }

    /// How a process was started.
    pub fn launch(&self, id: ProcessId) -> Result<&Launch> {
        Ok(&self.managed(id)?.launch)
    }

    /// The addresses that a process printed.
    pub fn addresses(&self, id: ProcessId) -> Result<&BoundAddresses> {
        Ok(self.process(id)?.addresses())
    }

    /// The address that a process printed under `name`.
    pub fn address(&self, id: ProcessId, name: &str) -> Result<SocketAddr> {
        self.process(id)?.addresses().get(name)
    }

    /// The system's id of a process.
    pub fn pid(&self, id: ProcessId) -> Result<u32> {
        Ok(self.process(id)?.pid())
    }

    /// Kills a process, as a crash would.
    pub fn kill(&mut self, id: ProcessId) -> Result<()> {
        self.managed_mut(id)?.process.take().ok_or_else(|| eyre!("{id} has ended"))?.kill()
    }

    /// Stops the execution of a process until it is thawed.
    pub fn suspend(&self, id: ProcessId) -> Result<()> {
        self.process(id)?.signal(Signal::STOP)
    }

    /// Continues the execution of a frozen process.
    pub fn resume(&self, id: ProcessId) -> Result<()> {
        self.process(id)?.signal(Signal::CONT)
    }

    /// Asks a process to stop, without waiting for it.
    pub fn request_stop(&self, id: ProcessId) -> Result<()> {
        self.process(id)?.signal(Signal::TERM)
    }

    /// Stops to read what a process prints.
    pub fn stop_reading(&self, id: ProcessId) -> Result<()> {
        self.process(id)?.stop_reading();
        Ok(())
    }

    /// Asks a process to stop and waits for its end.
    pub async fn stop(&mut self, id: ProcessId) -> Result<ExitStatus> {
        self.request_stop(id)?;
        self.wait_for_exit(id).await
    }

    /// Waits for a process to end by itself.
    pub async fn wait_for_exit(&mut self, id: ProcessId) -> Result<ExitStatus> {
        let managed = self.managed_mut(id)?;
        let process = managed.process.as_mut().ok_or_else(|| eyre!("{id} has ended"))?;
        let status = process.wait_for_exit().await?;
        managed.process = None;
        Ok(status)
    }

    /// An error that names the process that ended without being asked to.
    pub fn check_running(&mut self) -> Result<()> {
        for ManagedProcess { launch, process } in &mut self.processes {
            if let Some(process) = process {
                process.check_running().wrap_err_with(|| launch.name.clone())?;
            }
        }
        Ok(())
    }

    fn managed(&self, id: ProcessId) -> Result<&ManagedProcess> {
        self.processes.get(id.0).ok_or_else(|| eyre!("{id} is of another harness"))
    }

    fn managed_mut(&mut self, id: ProcessId) -> Result<&mut ManagedProcess> {
        self.processes.get_mut(id.0).ok_or_else(|| eyre!("{id} is of another harness"))
    }

    fn process(&self, id: ProcessId) -> Result<&Process> {
        self.managed(id)?.process.as_ref().ok_or_else(|| eyre!("{id} has ended"))
    }
}
