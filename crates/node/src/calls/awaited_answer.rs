//! How the answer to a request is recognised.

use http::header::{HeaderName, HeaderValue};

/// The header that names the request in the awaited answer, and its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AwaitedAnswer {
    pub(crate) header: HeaderName,
    pub(crate) id: HeaderValue,
}
