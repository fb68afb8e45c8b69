//! The question to one node.

use std::net::SocketAddr;

use almondsail_wire::operator as wire;
use serde::de::DeserializeOwned;

use crate::exchange::{ExchangeError, NodeClient, NodeRequest, NodeResponse};

/// What came of asking one node.
pub(super) enum Attempt<T> {
    Answered(T),
    Refused(wire::Error),
    NotSent(String),
    AnswerLost(String),
}

/// Asks `node`.
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
            Err(e) => Attempt::AnswerLost(format!("gave an answer of another form: {e}")),
        };
    }
    match serde_json::from_slice::<wire::Error>(&response.body) {
        Ok(e) if !e.code.is_empty() => Attempt::Refused(e),
        _ => Attempt::AnswerLost(format!("answered with status {}", response.status)),
    }
}
