//! Memory and processor time used by a process.

use std::time::Duration;

use almondsail_core::units::ByteCount;
use eyre::{Result, WrapErr, eyre};

/// Clock ticks per second in `/proc`, which Linux fixes at 100 for user space.
const TICKS_PER_SECOND: u64 = 100;

/// Memory and processor time used by a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessUsage {
    /// The resident set size of the process.
    pub memory: ByteCount,
    /// The largest resident set size since the process started.
    pub peak_memory: ByteCount,
    /// The user and system processor time since the process started.
    pub cpu: Duration,
}

impl ProcessUsage {
    /// Reads the usage of the process `pid` from `/proc`.
    pub fn of(pid: u32) -> Result<Self> {
        let read = |name: &str| {
            let path = format!("/proc/{pid}/{name}");
            std::fs::read_to_string(&path).wrap_err(path)
        };
        let status = read("status")?;
        let memory = |name: &str| {
            parse_memory(&status, name).ok_or_else(|| eyre!("no {name} of the process {pid}"))
        };
        let cpu = parse_cpu(&read("stat")?).ok_or_else(|| eyre!("no processor time of {pid}"))?;
        Ok(Self { memory: memory("VmRSS:")?, peak_memory: memory("VmHWM:")?, cpu })
    }
}

fn parse_memory(status: &str, name: &str) -> Option<ByteCount> {
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    let kilobytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(ByteCount::new(kilobytes * 1_024))
}

fn parse_cpu(stat: &str) -> Option<Duration> {
    // The second field is the process name in parentheses and may contain spaces.
    let (_, rest) = stat.rsplit_once(") ")?;
    // `utime` and `stime` are fields 14 and 15; `rest` begins with field 3.
    let fields: Vec<&str> = rest.split(' ').collect();
    let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    Some(Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND))
}
