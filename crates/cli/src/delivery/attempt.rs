//! The question to one node.

use std::net::SocketAddr;

use almondsail_wire::operator as wire;
use serde::de::DeserializeOwned;

use crate::exchange::{ExchangeError, NodeAnswer, NodeClient, NodeRequest};

/// What came of asking one node.
pub(super) enum Attempt<T> {
    Answered(T),
    Refused(wire::Error),
    NotSent(String),
    Lost(String),
}

/// Asks `node`.
pub(super) async fn attempt<T: DeserializeOwned>(
    client: &NodeClient,
    node: SocketAddr,
    request: &NodeRequest,
) -> Attempt<T> {
    match client.exchange(node, request).await {
        Ok(answer) => read(&answer),
        Err(e @ ExchangeError::NotSent(_)) => Attempt::NotSent(e.to_string()),
        Err(e @ ExchangeError::Lost(_)) => Attempt::Lost(e.to_string()),
    }
}

fn read<T: DeserializeOwned>(answer: &NodeAnswer) -> Attempt<T> {
    if answer.status.is_success() {
        return match serde_json::from_slice(&answer.body) {
            Ok(value) => Attempt::Answered(value),
            Err(e) => Attempt::Lost(format!("gave an answer of another form: {e}")),
        };
    }
    match serde_json::from_slice::<wire::Error>(&answer.body) {
        Ok(e) if !e.code.is_empty() => Attempt::Refused(e),
        _ => Attempt::Lost(format!("answered with status {}", answer.status)),
    }
}
