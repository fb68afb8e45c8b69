//! Which node is asked, and what its answer means.
//!
//! A question is asked again at the next node after any failure. A command is
//! sent again only with the same write id: every writer first looks for the id
//! in the configuration's history, and answers with the version that carries it
//! instead of writing again.

use std::net::SocketAddr;

use almondsail_wire::operator as wire;
use almondsail_wire::operator::outcome::Outcome;
use serde::de::DeserializeOwned;

use crate::node_client::{ExchangeError, NodeAnswer, NodeClient, NodeRequest};

/// What came of asking the nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Delivery<T> {
    /// A node answered.
    Answered(T),
    /// A node refused to carry out the request; nothing was changed.
    Refused(wire::Error),
    /// A command was sent, and no node said how it ended.
    InDoubt(Vec<Failure>),
    /// No node got the request.
    NoNode(Vec<Failure>),
}

/// A node that did not help, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// The node.
    pub node: SocketAddr,
    /// Why, as a part of a sentence.
    pub problem: String,
}

/// Asks the nodes in turn, until one answers.
pub async fn ask<T: DeserializeOwned>(
    client: &NodeClient,
    nodes: &[SocketAddr],
    request: &NodeRequest,
) -> Delivery<T> {
    let mut failures = Vec::new();
    let mut refusal = None;
    for &node in nodes {
        match attempt(client, node, request).await {
            Attempt::Answered(answer) => return Delivery::Answered(answer),
            Attempt::Refused(e) if is_passing(&e.code) => {
                failures.push(Failure { node, problem: e.message.clone() });
                refusal = Some(e);
            }
            Attempt::Refused(e) => return Delivery::Refused(e),
            Attempt::NotSent(problem) | Attempt::Lost(problem) => {
                failures.push(Failure { node, problem });
            }
        }
    }
    refusal.map_or(Delivery::NoNode(failures), Delivery::Refused)
}

/// Sends a command to the nodes in turn, until one says how it ended.
///
/// Once an answer was lost, the change may take effect at any time, so that
/// only an acceptance is a certain end; a refusal by another node is not.
pub async fn command(
    client: &NodeClient,
    nodes: &[SocketAddr],
    request: &NodeRequest,
) -> Delivery<Outcome> {
    let mut failures = Vec::new();
    let mut is_in_doubt = false;
    let mut refusal = None;
    for &node in nodes {
        let problem = match attempt::<wire::Outcome>(client, node, request).await {
            Attempt::Answered(wire::Outcome { outcome: Some(outcome) }) => match outcome {
                Outcome::Refused(e) if is_passing(&e.code) || is_in_doubt => {
                    refusal = Some(Delivery::Answered(Outcome::Refused(e.clone())));
                    e.message
                }
                outcome => return Delivery::Answered(outcome),
            },
            Attempt::Refused(e) if is_passing(&e.code) || is_in_doubt => {
                refusal = Some(Delivery::Refused(e.clone()));
                e.message
            }
            Attempt::Refused(e) => return Delivery::Refused(e),
            Attempt::NotSent(problem) => problem,
            Attempt::Answered(wire::Outcome { outcome: None }) => {
                is_in_doubt = true;
                "gave no outcome".to_owned()
            }
            Attempt::Lost(problem) => {
                is_in_doubt = true;
                problem
            }
        };
        failures.push(Failure { node, problem });
    }
    match refusal {
        _ if is_in_doubt => Delivery::InDoubt(failures),
        Some(refusal) => refusal,
        None => Delivery::NoNode(failures),
    }
}

/// Whether another node may well carry out what this one refused.
fn is_passing(code: &str) -> bool {
    matches!(code, "busy" | "stopping" | "no_answer" | "no_report" | "store_unreachable")
}

/// What came of asking one node.
enum Attempt<T> {
    Answered(T),
    Refused(wire::Error),
    NotSent(String),
    Lost(String),
}

async fn attempt<T: DeserializeOwned>(
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
