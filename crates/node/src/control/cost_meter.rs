//! What this process costs.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use almondsail_core::report::Cost;
use almondsail_core::units::{ByteCount, Micros};

use crate::byte_counts::ByteCounts;

/// Where Linux tells the processor time of this process.
const STAT_FILE: &str = "/proc/self/stat";
/// The length of the unit in which it is told: Linux fixes it at 100 a second.
const CLOCK_TICK: Micros = Micros::new(10_000);
/// The places of the time in user code and in the kernel after the command's name.
const USER_TIME_FIELD: usize = 11;
const KERNEL_TIME_FIELD: usize = 12;

/// Counts what this process costs from its start.
#[derive(Debug, Clone)]
pub struct CostMeter {
    bytes: ByteCounts,
    store_calls: Arc<AtomicU64>,
}

impl CostMeter {
    /// A meter of a process whose messages to other nodes are counted in `bytes`.
    pub fn new(bytes: ByteCounts) -> Self {
        Self { bytes, store_calls: Arc::default() }
    }

    /// Counts a call of the store.
    pub(crate) fn count_store_call(&self) {
        self.store_calls.fetch_add(1, Ordering::Relaxed);
    }

    /// The cost since the start; `None` if the system does not tell the processor time.
    pub(crate) fn read(&self) -> Option<Cost> {
        let stat = std::fs::read_to_string(STAT_FILE).ok()?;
        Some(Cost {
            cpu: processor_time(&stat)?,
            bytes: ByteCount::new(self.bytes.sent() + self.bytes.received()),
            store_calls: self.store_calls.load(Ordering::Relaxed),
        })
    }
}

/// The processor time in the text of [`STAT_FILE`]. The command's name stands in
/// brackets and may hold spaces and brackets itself.
fn processor_time(stat: &str) -> Option<Micros> {
    let (_, after_name) = stat.rsplit_once(')')?;
    let field = |i: usize| after_name.split_whitespace().nth(i)?.parse::<u64>().ok();
    Some(Micros::new((field(USER_TIME_FIELD)? + field(KERNEL_TIME_FIELD)?) * CLOCK_TICK.get()))
}
