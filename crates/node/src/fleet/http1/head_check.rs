//! Check of a request's head before its body is read.

use std::sync::Arc;

use almondsail_core::RefusalReason;
use http::Request;

/// Returns why a request with this head is refused whatever its body is; `None` if its body is
/// needed. Applies to requests with large bodies only.
pub(crate) type HeadCheck = Arc<dyn Fn(&Request<()>) -> Option<RefusalReason> + Send + Sync>;

/// Request extension of a request that a [`HeadCheck`] refused. Its body was not read, so the
/// handler must not run it, and the connection closes after the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RefusedHead(pub(crate) RefusalReason);
