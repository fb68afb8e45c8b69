//! Soak runs: a fleet of node processes under faults drawn from a seed, and a checker of what the
//! nodes promise.
//!
//! [`Plan`], [`ConfigHistory`], [`Timeline`] and [`Checker`] perform no input or output. [`run_plan`]
//! carries out a plan: it sends signals to the processes that it started, puts a [`FaultyProxy`]
//! between each node and the store, and feeds the checker with what callers, backend servers and
//! the operator see. Nodes advertise the address on which they listen, so the links between them
//! are not proxied; pauses of processes stand for silence between nodes.

mod action;
mod call;
mod call_end;
mod caller;
mod checker;
mod config_history;
mod finding;
mod link_mode;
mod node_timeline;
mod plan;
mod proxy;
mod run;
mod runner;
mod shared;
mod timeline;
mod violation;
mod windows;

pub use action::{Action, Step};
pub use call::{Call, CallKind};
pub use call_end::CallEnd;
pub use checker::Checker;
pub use config_history::ConfigHistory;
pub use finding::Finding;
pub use link_mode::LinkMode;
pub use node_timeline::NodeTimeline;
pub use plan::Plan;
pub use proxy::FaultyProxy;
pub use run::Run;
pub use runner::{SoakReport, run_plan};
pub use timeline::Timeline;
pub use violation::Violation;
pub use windows::Windows;

/// Data centres of a soak's fleet.
pub const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];
/// Services of a soak's fleet; each data centre has a node with a server of each.
pub const SERVICES: [&str; 2] = ["bays", "traslados"];
/// Number of nodes of a soak's fleet.
pub const NODES: usize = DATA_CENTRES.len() * SERVICES.len();
