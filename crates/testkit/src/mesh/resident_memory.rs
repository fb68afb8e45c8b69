//! The memory of a process.

use almondsail_core::units::ByteCount;
use eyre::{Result, WrapErr, eyre};

/// The resident memory of the process with this system id.
pub fn resident_memory(pid: u32) -> Result<ByteCount> {
    let path = format!("/proc/{pid}/status");
    let text = std::fs::read_to_string(&path).wrap_err_with(|| path.clone())?;
    let kilobytes: u64 = text
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().strip_suffix("kB"))
        .and_then(|number| number.trim().parse().ok())
        .ok_or_else(|| eyre!("no VmRSS in {path}"))?;
    Ok(ByteCount::new(kilobytes * 1_024))
}
