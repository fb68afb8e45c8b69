//! The number of a request for tokens.

number_type!(
    /// Numbers the requests for tokens of one start of a node, so that it knows their grants.
    QuotaRequestId,
    "quota request id"
);
