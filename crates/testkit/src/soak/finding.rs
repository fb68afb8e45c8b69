//! Calls that show broken promises.

use std::fmt;

use super::{Call, CallEnd, Run, Violation};

/// A violation with the call that shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The broken promise.
    pub violation: Violation,
    /// The call.
    pub call: Call,
    /// How the call ended, if it did.
    pub end: Option<CallEnd>,
    /// The runs of the call.
    pub runs: Vec<Run>,
}

impl Finding {
    /// Returns whether this is `violation` by the call `id`.
    pub(super) fn is_about(&self, violation: Violation, id: &str) -> bool {
        self.violation == violation && self.call.id == id
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Call { id, kind, node, credential, sent, .. } = &self.call;
        write!(f, "{:?}: {id} {kind:?} at node {node}, {credential:?}, ", self.violation)?;
        write!(f, "sent {:.3}, ", sent.as_secs_f64())?;
        match &self.end {
            Some(CallEnd::Answer { status, reason, .. }) => write!(f, "{status} {reason}")?,
            other => write!(f, "{other:?}")?,
        }
        for run in &self.runs {
            write!(f, ", ran {:.3} at {} for {:?}", run.at.as_secs_f64(), run.server, run.team)?;
        }
        Ok(())
    }
}
