//! One try to have a request carried out by one node.

use std::net::SocketAddr;

use almondsail_wire::operator as wire;
use serde::de::DeserializeOwned;

use crate::exchange::{ExchangeError, NodeClient, NodeRequest, NodeResponse};

/// The result of sending a request to one node.
pub(super) enum Attempt<T> {
    /// The node answered with a success status.
    Answered(T),
    /// The node answered with an error status and an error code.
    Refused(wire::Error),
    /// The node did not get the request, for the reason in the text.
    NotSent(String),
    /// The node may have carried out the request; the text says why its answer can't be used.
    AnswerLost(String),
}

/// Sends a request to `node` once and classifies what comes back.
pub(super) async fn attempt<T: DeserializeOwned>(
    client: &NodeClient,
    node: SocketAddr,
    request: &NodeRequest,
) -> Attempt<T> {
    match client.exchange(node, request).await {
        Ok(response) => parse_response(&response),
        Err(e @ ExchangeError::NotSent(_)) => Attempt::NotSent(e.to_string()),
        Err(e @ ExchangeError::AnswerLost(_)) => Attempt::AnswerLost(e.to_string()),
    }
}

fn parse_response<T: DeserializeOwned>(response: &NodeResponse) -> Attempt<T> {
    if response.status.is_success() {
        return match serde_json::from_slice(&response.body) {
            Ok(value) => Attempt::Answered(value),
            Err(e) => Attempt::AnswerLost(format!("gave an answer that can't be parsed: {e}")),
        };
    }
    match serde_json::from_slice::<wire::Error>(&response.body) {
        Ok(e) if !e.code.is_empty() => Attempt::Refused(e),
        _ => Attempt::AnswerLost(format!("answered with status {}", response.status)),
    }
}
