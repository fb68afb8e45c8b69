//! What happened to one node in a run.

use super::Windows;

/// What happened to one node.
#[derive(Debug, Clone, Default)]
pub struct NodeTimeline {
    /// From each SIGTERM to the exit.
    pub stops: Windows,
    /// From each SIGKILL until the node is ready again.
    pub crashes: Windows,
    /// From each SIGSTOP to the SIGCONT or the end of the process.
    pub pauses: Windows,
    /// When the server beside the node has a fault.
    pub server_faults: Windows,
}
