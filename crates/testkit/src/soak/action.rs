//! Steps of a plan.

use std::time::Duration;

use crate::platform::{KvMode, WorkerFault};

use super::LinkMode;

/// Something that is done to the fleet at a moment of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// When it is done, since the start of the run.
    pub at: Duration,
    /// What is done.
    pub action: Action,
}

/// Something that is done to the fleet. Nodes are named by their number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Accepts a configuration with the next version: withdraws the credentials and adds as many
    /// new ones as given.
    Configure {
        /// The number of credentials that are withdrawn, the oldest first.
        withdrawn: usize,
        /// The number of new credentials.
        added: usize,
    },
    /// Stops a node with SIGTERM and starts it again this long after its exit.
    Stop(usize, Duration),
    /// Kills a node with SIGKILL and starts it again after this time.
    Kill(usize, Duration),
    /// Suspends a node with SIGSTOP.
    Pause(usize),
    /// Resumes a suspended node with SIGCONT.
    Resume(usize),
    /// Sends SIGHUP to a node.
    Reload(usize),
    /// Sets the link between a node and the store.
    SetLink(usize, LinkMode),
    /// Sets how the store answers all nodes.
    SetStore(KvMode),
    /// Sets the fault and the run time of the server beside a node.
    SetServer(usize, WorkerFault, Duration),
    /// The server beside a node drains and leaves.
    Depart(usize),
    /// Another server takes the place of the one that left.
    Replace(usize),
}
