//! Whether a call with an idempotency key may run.

use crate::ids::NodeId;
use crate::traffic::ClaimAnswer;

/// The decision on a call with an idempotency key, from the answers of the key's registrars.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The call holds its key and may run.
    Run,
    /// The key belongs to another call.
    Held {
        /// The node that runs or ran the call to which the key belongs.
        holder: NodeId,
    },
    /// The call is a repeat, and the first call may have run although the registrars don't know
    /// its key.
    InDoubt,
    /// No majority of the registrars granted the key.
    Unreachable,
}

impl ClaimDecision {
    /// Decides from the `answers` of the registrars; `None` stands for a missing answer.
    ///
    /// A majority of the registrars has to grant the key, and none may hold it for another call:
    /// with fewer grants, a repeat that reaches only the other registrars would run again. A call
    /// that its caller marked as a repeat needs more, because its key must be known if the first
    /// call ran: every registrar must answer that it is certain, and the set of nodes from which
    /// registrars are chosen must not have changed for as long as a key is kept (`is_stable`).
    pub fn new(answers: &[Option<ClaimAnswer>], is_repeat: bool, is_stable: bool) -> Self {
        let holder = answers.iter().flatten().find_map(|answer| match answer {
            ClaimAnswer::Held { holder } => Some(holder.clone()),
            ClaimAnswer::Granted { .. } | ClaimAnswer::Full => None,
        });
        if let Some(holder) = holder {
            return Self::Held { holder };
        }
        let grants = answers.iter().filter_map(|answer| match answer {
            Some(ClaimAnswer::Granted { is_certain }) => Some(*is_certain),
            _ => None,
        });
        let certain = grants.clone().filter(|is_certain| *is_certain).count();
        if grants.count() * 2 <= answers.len() {
            Self::Unreachable
        } else if is_repeat && !(is_stable && certain == answers.len()) {
            Self::InDoubt
        } else {
            Self::Run
        }
    }
}
