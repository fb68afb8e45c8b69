//! Sends a request to one node after another until one answers.

use std::net::SocketAddr;

use almondsail_wire::operator as wire;
use almondsail_wire::operator::outcome::Outcome;
use serde::de::DeserializeOwned;

use super::attempt::{Attempt, attempt};
use crate::delivery::{DeliveryResult, NodeFailure};
use crate::exchange::{NodeClient, NodeRequest};

/// Sends a request that changes nothing to the nodes in order, until one answers.
///
/// A refusal that another node may not share moves on to the next node; the last such refusal is
/// the result if no node answers.
pub async fn send_query<T: DeserializeOwned>(
    client: &NodeClient,
    nodes: &[SocketAddr],
    request: &NodeRequest,
) -> DeliveryResult<T> {
    let mut failures = Vec::new();
    let mut refusal = None;
    for &node in nodes {
        match attempt(client, node, request).await {
            Attempt::Answered(answer) => return DeliveryResult::Answered(answer),
            Attempt::Refused(e) if is_retryable(&e.code) => {
                failures.push(NodeFailure { node, problem: refusal_text(&e.message) });
                refusal = Some(e);
            }
            Attempt::Refused(e) => return DeliveryResult::Refused(e),
            Attempt::NotSent(problem) | Attempt::AnswerLost(problem) => {
                failures.push(NodeFailure { node, problem });
            }
        }
    }
    refusal.map_or(DeliveryResult::NoNode(failures), DeliveryResult::Refused)
}

/// Sends a command to the nodes in order, until one says how it ended.
///
/// Once an answer was lost, the change may still take effect at any time. From then on a refusal
/// by another node does not settle the outcome; only an acceptance does.
pub async fn send_command(
    client: &NodeClient,
    nodes: &[SocketAddr],
    request: &NodeRequest,
) -> DeliveryResult<Outcome> {
    let mut failures = Vec::new();
    let mut is_in_doubt = false;
    let mut refusal = None;
    for &node in nodes {
        let problem = match attempt::<wire::Outcome>(client, node, request).await {
            Attempt::Answered(wire::Outcome { outcome: Some(outcome) }) => match outcome {
                Outcome::Refused(e) if is_retryable(&e.code) || is_in_doubt => {
                    let problem = refusal_text(&e.message);
                    refusal = Some(DeliveryResult::Answered(Outcome::Refused(e)));
                    problem
                }
                outcome => return DeliveryResult::Answered(outcome),
            },
            Attempt::Refused(e) if is_retryable(&e.code) || is_in_doubt => {
                let problem = refusal_text(&e.message);
                refusal = Some(DeliveryResult::Refused(e));
                problem
            }
            Attempt::Refused(e) => return DeliveryResult::Refused(e),
            Attempt::NotSent(problem) => problem,
            Attempt::Answered(wire::Outcome { outcome: None }) => {
                is_in_doubt = true;
                "gave an answer without an outcome".to_owned()
            }
            Attempt::AnswerLost(problem) => {
                is_in_doubt = true;
                problem
            }
        };
        failures.push(NodeFailure { node, problem });
    }
    match refusal {
        _ if is_in_doubt => DeliveryResult::InDoubt(failures),
        Some(refusal) => refusal,
        None => DeliveryResult::NoNode(failures),
    }
}

/// Whether an error code is about the state of the node that refused, so that another node may
/// carry out the request.
fn is_retryable(code: &str) -> bool {
    matches!(code, "busy" | "stopping" | "no_answer" | "no_report" | "store_unreachable")
}

fn refusal_text(message: &str) -> String {
    format!("refused: {message}")
}
