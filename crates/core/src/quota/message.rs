//! Messages about quotas.

use super::{QuotaGrant, QuotaRequest};

/// A message about quotas between two nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuotaMessage {
    /// Asks the owner of a quota for tokens.
    Request(QuotaRequest),
    /// Answers a request.
    Grant(QuotaGrant),
}
