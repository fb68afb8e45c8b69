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
        let memory = parse_memory(&read("status")?).ok_or_else(|| eyre!("no VmRSS of {pid}"))?;
        let cpu = parse_cpu(&read("stat")?).ok_or_else(|| eyre!("no processor time of {pid}"))?;
        Ok(Self { memory, cpu })
    }
}

fn parse_memory(status: &str) -> Option<ByteCount> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
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
