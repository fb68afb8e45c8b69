//! Runs built binaries as child processes on loopback addresses.

mod binary;
mod launch;
mod process;
mod process_id;
mod process_set;
mod reserved_port;
mod temp_folder;
mod wait;

pub use binary::Binary;
pub use launch::Launch;
pub use process_id::ProcessId;
pub use process_set::Harness;
pub use wait::{WAIT_TIMEOUT, wait_until};
