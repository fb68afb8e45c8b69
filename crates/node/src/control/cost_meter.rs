//! Measures the resources that this process uses.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use almondsail_core::report::Cost;
use almondsail_core::units::{ByteCount, Micros};

use crate::byte_counts::ByteCounts;

/// Linux reports the processor time of this process in this file.
const STAT_FILE: &str = "/proc/self/stat";
/// Unit of the processor times in [`STAT_FILE`]: Linux fixes it at 100 ticks/s (`USER_HZ`).
const CLOCK_TICK: Micros = Micros::new(10_000);
/// Index of the user time (`utime`) among the fields after the command name.
const USER_TIME_FIELD: usize = 11;
/// Index of the kernel time (`stime`) among the fields after the command name.
const KERNEL_TIME_FIELD: usize = 12;

/// Measures the processor time, peer traffic and store calls since the process started.
#[derive(Debug, Clone)]
pub struct CostMeter {
    bytes: ByteCounts,
    store_calls: Arc<AtomicU64>,
}

impl CostMeter {
    /// Creates a meter that takes the bytes exchanged with other nodes from `bytes`.
    pub fn new(bytes: ByteCounts) -> Self {
        Self { bytes, store_calls: Arc::default() }
    }

    /// Counts one request to the store, whatever its result.
    pub(crate) fn count_store_call(&self) {
        self.store_calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the totals since the start, or `None` if the processor time can't be read.
    pub(crate) fn read(&self) -> Option<Cost> {
        let stat = std::fs::read_to_string(STAT_FILE).ok()?;
        Some(Cost {
            cpu: processor_time(&stat)?,
            bytes: ByteCount::new(self.bytes.sent() + self.bytes.received()),
            store_calls: self.store_calls.load(Ordering::Relaxed),
        })
    }
}

/// Parses the processor time from the text of [`STAT_FILE`]. The command name is in
/// parentheses and may itself contain spaces and parentheses, so fields count from the last `)`.
fn processor_time(stat: &str) -> Option<Micros> {
    let (_, after_name) = stat.rsplit_once(')')?;
    let field = |i: usize| after_name.split_whitespace().nth(i)?.parse::<u64>().ok();
    Some(Micros::new((field(USER_TIME_FIELD)? + field(KERNEL_TIME_FIELD)?) * CLOCK_TICK.get()))
}
