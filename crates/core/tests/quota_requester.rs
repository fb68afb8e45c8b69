//! Grants that a node must not spend, and calls that must not wait.

use std::net::SocketAddr;

use almondsail_core::fleet::{Quota, Team};
use almondsail_core::ids::{ConfigVersion, QuotaRequestId};
use almondsail_core::quota::{
    GrantProblem, OutgoingRequest, QuotaCall, QuotaDecision, QuotaGrant, QuotaMembers, QuotaNode,
    QuotaNodeCounts, QuotaRequester, TokenCount,
};
use almondsail_core::units::{CallRate, Instant, Micros, Millis};

const START: Instant = Instant::new(1_000_000_000);

/// A node that asks the only other one for tokens.
struct Requester {
    requester: QuotaRequester,
    members: QuotaMembers,
    team: Team,
}

fn owner() -> SocketAddr {
    "10.0.0.2:7000".parse().unwrap()
}

impl Requester {
    fn new() -> Self {
        let node = QuotaNode::new("other".parse().unwrap(), owner(), Micros::new(700_000));
        let counts = QuotaNodeCounts { fresh: 2, local: 2, known: 2 };
        let members = QuotaMembers::new("own".parse().unwrap(), START);
        let quota = Quota { rate: CallRate::from_milli(10_000), burst: 5 };
        Self {
            requester: QuotaRequester::new(QuotaRequestId::new(1)),
            members: members.update(START, vec![node], counts, |_| false),
            team: Team { name: "acme".parse().unwrap(), priority: 0, quota: Some(quota) },
        }
    }

    fn decide(&mut self, now: Instant, wait: Millis) -> (QuotaDecision, Option<OutgoingRequest>) {
        let call = QuotaCall { latest: now + wait, is_waiting: false };
        self.requester.decide(now, &self.team, call, &self.members, ConfigVersion::new(1))
    }

    /// Returns the request that a call makes the node send, with a grant of one token.
    fn ask(&mut self, now: Instant) -> QuotaGrant {
        let (decision, request) = self.decide(now, Millis::new(100));
        assert!(matches!(decision, QuotaDecision::Wait(_)), "{decision:?}");
        let request = request.unwrap().request;
        QuotaGrant {
            id: request.id,
            team: request.team,
            granted: TokenCount::new(1),
            expires: QuotaGrant::MAX_LIFETIME,
            retry_after: Millis::new(0),
        }
    }

    fn receive(&mut self, now: Instant, grant: &QuotaGrant) -> Result<(), GrantProblem> {
        self.requester.receive(now, owner(), grant)
    }
}

/// Guards against tokens that are spent although another node, or nobody, was asked for them.
#[test]
fn receive_every_problem() {
    let mut requester = Requester::new();
    let grant = requester.ask(START);
    let stranger = "10.0.0.9:7000".parse().unwrap();
    let from_stranger = requester.requester.receive(START, stranger, &grant);
    assert_eq!(from_stranger, Err(GrantProblem::WrongSender));
    let never_asked = QuotaGrant { id: QuotaRequestId::new(99), ..grant.clone() };
    assert_eq!(requester.receive(START, &never_asked), Err(GrantProblem::Unsolicited));
    let other_team = QuotaGrant { team: "other".parse().unwrap(), ..grant.clone() };
    assert_eq!(requester.receive(START, &other_team), Err(GrantProblem::Unsolicited));
    assert_eq!(requester.receive(START, &grant), Ok(()));
    assert_eq!(requester.receive(START, &grant), Err(GrantProblem::Unsolicited));
    let (first, _) = requester.decide(START, Millis::new(100));
    assert!(matches!(first, QuotaDecision::Granted(_)), "{first:?}");
    let (second, _) = requester.decide(START, Millis::new(100));
    assert!(matches!(second, QuotaDecision::Wait(_)), "{second:?}");
}

/// Guards against a grant of more tokens than were asked for.
#[test]
fn receive_too_many_tokens() {
    let mut requester = Requester::new();
    let grant = QuotaGrant { granted: TokenCount::MAX, ..requester.ask(START) };
    assert_eq!(requester.receive(START, &grant), Err(GrantProblem::OutOfRange));
    let (decision, _) = requester.decide(START, Millis::new(100));
    assert!(matches!(decision, QuotaDecision::Wait(_)), "{decision:?}");
}

/// Guards against a late grant that is spent after its tokens have expired, and against tokens that
/// are kept beyond that.
#[test]
fn receive_late_grant() {
    let mut requester = Requester::new();
    let grant = requester.ask(START);
    assert_eq!(requester.receive(START + Millis::new(399), &grant), Ok(()));
    let (decision, _) = requester.decide(START + Millis::new(400), Millis::new(100));
    assert!(matches!(decision, QuotaDecision::Wait(_)), "{decision:?}");
    let mut requester = Requester::new();
    let grant = requester.ask(START);
    let late = requester.receive(START + Millis::new(400), &grant);
    assert_eq!(late, Err(GrantProblem::Unsolicited));
}

/// Guards against calls that wait although they would miss their target, and against calls beyond the
/// quota that ask the owner again and again.
#[test]
fn decide_without_wait() {
    let mut requester = Requester::new();
    let (decision, _) = requester.decide(START, Millis::new(0));
    assert!(matches!(decision, QuotaDecision::Unknown(_)), "{decision:?}");
    let mut requester = Requester::new();
    let denial = QuotaGrant {
        granted: TokenCount::new(0),
        retry_after: Millis::new(250),
        ..requester.ask(START)
    };
    requester.receive(START, &denial).unwrap();
    let expected = (QuotaDecision::Refused(Micros::new(250_000)), None);
    assert_eq!(requester.decide(START, Millis::new(100)), expected);
}

/// Guards against an owner that doesn't answer and stops the team, and against a local share above
/// the rate divided by the nodes.
#[test]
fn decide_owner_silent() {
    let mut requester = Requester::new();
    let mut admitted = 0;
    for n in 0..1_000 {
        let (decision, _) = requester.decide(START + Millis::new(10 * n), Millis::new(0));
        admitted += u32::from(decision == QuotaDecision::LocalShare);
    }
    // 5 calls a second, from 0.8 s on.
    assert!((40..=46).contains(&admitted), "{admitted}");
}
