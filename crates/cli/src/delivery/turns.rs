//! The nodes in turn.

use std::net::SocketAddr;

use almondsail_wire::operator as wire;
use almondsail_wire::operator::outcome::Outcome;
use serde::de::DeserializeOwned;

use super::attempt::{Attempt, attempt};
use crate::delivery::{Delivery, Failure};
use crate::exchange::{NodeClient, NodeRequest};

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
                failures.push(Failure { node, problem: refused(&e.message) });
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
                    let problem = refused(&e.message);
                    refusal = Some(Delivery::Answered(Outcome::Refused(e)));
                    problem
                }
                outcome => return Delivery::Answered(outcome),
            },
            Attempt::Refused(e) if is_passing(&e.code) || is_in_doubt => {
                let problem = refused(&e.message);
                refusal = Some(Delivery::Refused(e));
                problem
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

fn refused(message: &str) -> String {
    format!("refused: {message}")
}
