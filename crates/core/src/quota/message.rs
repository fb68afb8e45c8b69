//! Messages about quotas.

use super::{QuotaGrant, QuotaRequest};

/// A message about quotas between two nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuotaMessage {
    /// Requests tokens from the owner of a quota or its deputy.
    Request(QuotaRequest),
    /// Answers a request.
    Grant(QuotaGrant),
}
