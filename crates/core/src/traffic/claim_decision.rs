//! Whether a call with an idempotency key may run.

use crate::ids::NodeId;
use crate::traffic::ClaimAnswer;

/// The decision on a call after its registrars were asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The call may run; it holds its key.
    Run,
    /// Another call holds the key.
    Held {
        /// The node that runs or ran that call.
        holder: NodeId,
    },
    /// The call is a repeat, and the first one may have run without the registrars knowing.
    InDoubt,
    /// Less than half of the registrars, or just half, granted the key.
    Unreachable,
}

impl ClaimDecision {
    /// Decides by the `answers` of the registrars; `None` stands for no answer.
    ///
    /// Most of the registrars have to grant the key, and none may hold it for another call: with
    /// fewer grants, a repeat that reaches only the other registrars would run again. A call that
    /// its caller marked as a repeat needs more, because its key must be known if the first call
    /// ran: every registrar has to be sure, and the set of nodes among which the registrars rank
    /// must not have changed for as long as a key is kept (`is_stable`).
    pub fn new(answers: &[Option<ClaimAnswer>], is_repeat: bool, is_stable: bool) -> Self {
        let holder = answers.iter().flatten().find_map(|answer| match answer {
            ClaimAnswer::Held { holder } => Some(holder.clone()),
            ClaimAnswer::Granted { .. } | ClaimAnswer::Full => None,
        });
        if let Some(holder) = holder {
            return Self::Held { holder };
        }
        let grants = answers.iter().filter_map(|answer| match answer {
            Some(ClaimAnswer::Granted { sure }) => Some(*sure),
            _ => None,
        });
        let sure = grants.clone().filter(|sure| *sure).count();
        if grants.count() * 2 <= answers.len() {
            Self::Unreachable
        } else if is_repeat && !(is_stable && sure == answers.len()) {
            Self::InDoubt
        } else {
            Self::Run
        }
    }
}
