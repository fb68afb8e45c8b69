//! Replays load patterns at one server, without a network, for several queueing policies. Shared by
//! the tests of the queue and the example `queue_experiment`.

#![allow(dead_code)]

mod call;
mod kind;
pub mod outcomes;
mod pattern;
mod policy;
mod queue;
mod replay;
mod site;

pub use pattern::Pattern;
pub use policy::Policy;
pub use replay::{Replay, Report};
pub use site::Site;
