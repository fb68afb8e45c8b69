//! Limits on the calls of teams over all nodes together.
//!
//! Each team has one owner, the first of the live nodes by rendezvous hashing, with a
//! [`TokenBucket`] in its [`QuotaOwner`]. The nodes that receive the team's calls request tokens
//! from it; [`QuotaRequester`] holds what they were granted and decides on each call. While the
//! owner doesn't answer, its deputy, the second node, grants a few tokens; after a time each node
//! uses a local share of the quota.

mod balance;
mod decision;
mod demand;
mod grant;
mod grant_problem;
mod members;
mod message;
mod owner;
mod request;
mod requester;
mod settings;
mod team_requests;
mod token_bucket;
mod token_count;

pub use decision::{QuotaCall, QuotaDecision};
pub use grant::QuotaGrant;
pub use grant_problem::GrantProblem;
pub use members::{QuotaMembers, QuotaNode, QuotaNodeCounts, QuotaRole};
pub use message::QuotaMessage;
pub use owner::QuotaOwner;
pub use request::{OutgoingRequest, QuotaRequest};
pub use requester::QuotaRequester;
pub use settings::QuotaSettings;
pub use token_bucket::TokenBucket;
pub use token_count::TokenCount;
