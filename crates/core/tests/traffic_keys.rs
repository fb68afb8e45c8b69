//! Tests of idempotency keys: claims, registrars and recorded answers.

use std::collections::{BTreeMap, BTreeSet};

use almondsail_core::ids::{CallKey, NodeId, ServiceName};
use almondsail_core::traffic::{
    CallId, ClaimAnswer, ClaimDecision, HandoverClaim, KeyClaims, REGISTRARS_PER_KEY,
    RecordedAnswers, Replay, handover, registrars,
};
use almondsail_core::units::{ByteCount, Instant, Millis};
use almondsail_seeded::properties;
use quickcheck::TestResult;

fn key(n: impl std::fmt::Display) -> CallKey {
    format!("key-{n}").parse().expect("a key")
}

fn node(n: impl std::fmt::Display) -> NodeId {
    format!("node-{n}").parse().expect("a name")
}

fn service() -> ServiceName {
    "bays".parse().expect("a name")
}

properties! {
    /// Guards against two calls that hold one key at the same time, and a release by a call
    /// that does not hold it.
    fn claim_any_sequence(ops: Vec<(bool, u8, u8, u8, u16)>) -> bool {
        let mut now = Instant::new(0);
        let mut keys = KeyClaims::new(now);
        let mut held: BTreeMap<u8, (u8, u8, Instant)> = BTreeMap::new();
        for (is_claim, k, call, holder, pass_s) in ops {
            let (k, call, holder) = (k % 4, call % 4, holder % 3);
            now = now + Millis::new(u64::from(pass_s % 200) * 1_000);
            let age = |at: Instant| now.since(at) > KeyClaims::RETENTION.into();
            held.retain(|_, (_, _, at)| !age(*at));
            let id = CallId::new(call.into());
            if !is_claim {
                keys.release(&service(), &key(k), id, &node(holder));
                if held.get(&k).is_some_and(|h| (h.0, h.1) == (call, holder)) {
                    held.remove(&k);
                }
                continue;
            }
            let answer = keys.claim(now, &service(), &key(k), id, &node(holder));
            match held.get_mut(&k) {
                Some((other, at_node, _)) if *other != call => {
                    assert_eq!(answer, ClaimAnswer::Held { holder: node(*at_node) });
                }
                Some(same) => same.1 = holder,
                None => {
                    assert!(matches!(answer, ClaimAnswer::Granted { .. }));
                    held.insert(k, (call, holder, now));
                }
            }
        }
        true
    }

    /// Guards against keys that are lost when one node leaves because the other registrars of the
    /// key change too.
    fn registrars_one_node_lost(n: u8, lost: usize, k: u32) -> TestResult {
        let nodes: Vec<NodeId> = (0..n).map(node).collect();
        if nodes.len() < REGISTRARS_PER_KEY {
            return TestResult::discard();
        }
        let before = registrars(&key(k), nodes.iter(), nodes.iter());
        let gone = before[lost % before.len()];
        let left = nodes.iter().filter(|node| *node != gone);
        let after = registrars(&key(k), left.clone(), left);
        let mut known = before.iter().filter(|node| **node != gone);
        let is_kept = known.all(|node| after.contains(node));
        let distinct: BTreeSet<_> = before.iter().collect();
        TestResult::from_bool(distinct.len() == REGISTRARS_PER_KEY && is_kept)
    }

    /// Guards against recorded answers that take more memory than
    /// [`RecordedAnswers::MAX_TOTAL`].
    fn record_bounded(sizes: Vec<u16>) -> bool {
        let mut answers = RecordedAnswers::<usize>::new();
        let mut total = 0;
        for (i, size) in sizes.iter().cycle().take(sizes.len() * 20).enumerate() {
            answers.record(Instant::new(1), key(i), ByteCount::new((*size).into()), i);
        }
        for (i, size) in sizes.iter().cycle().take(sizes.len() * 20).enumerate() {
            match answers.replay(Instant::new(1), &key(i)) {
                Replay::Answer(answer) => {
                    assert_eq!(answer, i);
                    total += u64::from(*size);
                }
                Replay::InDoubt => {}
            }
        }
        total <= RecordedAnswers::<usize>::MAX_TOTAL.get()
    }
}

/// Simulated registrars that restart one after the other and hand their claims over.
struct RestartingRegistrars {
    now: Instant,
    nodes: BTreeMap<NodeId, KeyClaims>,
    /// The leaving node, and the number of its first claim that is still to be handed over.
    leaving: Option<(NodeId, u64)>,
}

impl RestartingRegistrars {
    /// The number of claims in a batch; small, so that a handover takes several batches.
    const BATCH: usize = 2;

    fn new(n: u8) -> Self {
        let now = Instant::new(0);
        let nodes = (0..n).map(|i| (node(i), KeyClaims::new(now))).collect();
        Self { now, nodes, leaving: None }
    }

    /// Returns the nodes of the service in the view of a node, without the leaving one if
    /// `has_heard`.
    fn service_nodes(&self, has_heard: bool) -> BTreeSet<NodeId> {
        let leaving = self.leaving.as_ref().filter(|_| has_heard).map(|(node, _)| node);
        self.nodes.keys().filter(|node| Some(*node) != leaving).cloned().collect()
    }

    fn claim(&mut self, k: u8, call: u128, has_heard: bool) -> ClaimDecision {
        let service_nodes = self.service_nodes(has_heard);
        let mut answers = Vec::new();
        for registrar in registrars(&key(k), service_nodes.iter(), service_nodes.iter()) {
            let keys = self.nodes.get_mut(registrar).expect("a node");
            let id = CallId::new(call);
            answers.push(Some(keys.claim(self.now, &service(), &key(k), id, &node(0))));
        }
        ClaimDecision::new(&answers, false, false)
    }

    /// Hands one batch over and returns whether it held any claim.
    fn hand_over(&mut self) -> bool {
        let Some((own, number)) = self.leaving.clone() else { return false };
        let service_nodes = self.service_nodes(true);
        let keys = self.nodes.get_mut(&own).expect("a node");
        let (claims, next) = keys.claims_from(self.now, number, Self::BATCH);
        for (to, part) in handover(&own, &claims, |_| Some(&service_nodes), service_nodes.iter()) {
            let keys = self.nodes.get_mut(&to).expect("a node");
            part.into_iter().for_each(|claim| keys.take_over(self.now, claim));
        }
        self.leaving = Some((own, next));
        !claims.is_empty()
    }

    /// Lets the leaving node hand its remaining claims over and restart without keys.
    fn restart(&mut self) {
        while self.hand_over() {}
        if let Some((own, _)) = self.leaving.take() {
            self.nodes.insert(own, KeyClaims::new(self.now));
        }
    }
}

properties! {
    /// Guards against a key that is lost when its registrars restart one after the other.
    fn handover_any_restarts(n: u8, ops: Vec<(u8, u8, bool, u8)>) -> bool {
        let mut mesh = RestartingRegistrars::new(3 + n % 4);
        let mut granted: BTreeMap<u8, Instant> = BTreeMap::new();
        for (call, (op, k, has_heard, pass_s)) in ops.into_iter().cycle().take(400).enumerate() {
            mesh.now = mesh.now + Millis::new(u64::from(pass_s % 40) * 1_000);
            let k = k % 8;
            match op % 6 {
                0 if mesh.leaving.is_none() => {
                    mesh.leaving = Some((node(k % (3 + n % 4)), 0));
                }
                0 => mesh.restart(),
                1 => {
                    mesh.hand_over();
                }
                _ if mesh.claim(k, call as u128, has_heard) == ClaimDecision::Run => {
                    let before = granted.insert(k, mesh.now);
                    let is_kept = |at| mesh.now.since(at) <= KeyClaims::RETENTION.into();
                    assert!(!before.is_some_and(is_kept), "key {k} was granted to two calls");
                }
                _ => {}
            }
        }
        true
    }

    /// Guards against a handed over claim that expires early or late, replaces an earlier one, or
    /// makes the registrar report that keys it can't know were certainly not used.
    fn take_over_time_left(left_s: u16, is_held: bool) -> bool {
        let remaining = Millis::new(u64::from(left_s % 601) * 1_000);
        let mut keys = KeyClaims::new(Instant::new(0));
        let (old, new, late) = (CallId::new(1), CallId::new(2), CallId::new(3));
        if is_held {
            keys.claim(Instant::new(0), &service(), &key(0), old, &node(1));
        }
        let claim = HandoverClaim {
            service: service(),
            key: key(0),
            call: new,
            holder: node(2),
            remaining: remaining.into(),
        };
        keys.take_over(Instant::new(0), claim);
        let (holder, end) = if is_held { (1, KeyClaims::RETENTION) } else { (2, remaining) };
        let end = Instant::new(0) + end;
        let at_end = keys.claim(end, &service(), &key(0), late, &node(3));
        let after = Instant::new(end.get() + 1);
        let is_certain = after.since(Instant::new(0)) > KeyClaims::RETENTION.into();
        at_end == ClaimAnswer::Held { holder: node(holder) }
            && keys.claim(after, &service(), &key(0), late, &node(3))
                == ClaimAnswer::Granted { is_certain }
    }
}

/// Guards against a registrar that lost a handed over claim since it was full, and still reports
/// that unknown keys were certainly not used.
#[test]
fn take_over_full() {
    let start = Instant::new(0);
    let mut keys = KeyClaims::new(start);
    for n in 0..KeyClaims::MAX_KEYS {
        keys.claim(start, &service(), &key(n), CallId::new(1), &node(0));
    }
    let (key, call) = (key(KeyClaims::MAX_KEYS), CallId::new(2));
    let remaining = KeyClaims::RETENTION.into();
    let claim =
        HandoverClaim { service: service(), key: key.clone(), call, holder: node(0), remaining };
    let lost = Instant::new(1_000);
    keys.take_over(lost, claim);
    let end = lost + KeyClaims::RETENTION;
    let answer = keys.claim(end, &service(), &key, call, &node(0));
    assert_eq!(answer, ClaimAnswer::Granted { is_certain: false });
    let answer = keys.claim(Instant::new(end.get() + 1), &service(), &key, call, &node(0));
    assert_eq!(answer, ClaimAnswer::Granted { is_certain: true });
}

/// Guards against a call that runs while another call holds its key or without the grant of a
/// majority, and against a marked repeat that runs although the first call's key may be lost.
#[test]
fn decide_any_answers() {
    let answers = [
        None,
        Some(ClaimAnswer::Full),
        Some(ClaimAnswer::Granted { is_certain: false }),
        Some(ClaimAnswer::Granted { is_certain: true }),
        Some(ClaimAnswer::Held { holder: node(1) }),
    ];
    // Every combination of the answers of one, two and three registrars.
    let combinations = (1..=3).flat_map(|len| (0..5_usize.pow(len)).map(move |n| (len, n)));
    for (len, n) in combinations {
        let picked: Vec<usize> = (0..len).map(|place| n / 5_usize.pow(place) % 5).collect();
        let given: Vec<_> = picked.iter().map(|&i| answers[i].clone()).collect();
        let granted = picked.iter().filter(|&&i| i == 2 || i == 3).count();
        for (is_repeat, is_stable) in [(false, false), (false, true), (true, false), (true, true)] {
            let expected = if picked.contains(&4) {
                ClaimDecision::Held { holder: node(1) }
            } else if granted < given.len() / 2 + 1 {
                ClaimDecision::Unreachable
            } else if is_repeat && !(is_stable && picked.iter().all(|&i| i == 3)) {
                ClaimDecision::InDoubt
            } else {
                ClaimDecision::Run
            };
            assert_eq!(ClaimDecision::new(&given, is_repeat, is_stable), expected, "{given:?}");
        }
    }
}

/// Guards against a full registrar that drops a key before it expires.
#[test]
fn claim_full() {
    let mut keys = KeyClaims::new(Instant::new(0));
    let mut claim = |at, n: usize, call| {
        keys.claim(Instant::new(at), &service(), &key(n), CallId::new(call), &node(0))
    };
    for n in 0..KeyClaims::MAX_KEYS {
        assert_eq!(claim(0, n, 1), ClaimAnswer::Granted { is_certain: false });
    }
    assert_eq!(claim(0, KeyClaims::MAX_KEYS, 1), ClaimAnswer::Full);
    assert_eq!(claim(0, 0, 2), ClaimAnswer::Held { holder: node(0) });
    let later = (Instant::new(1) + KeyClaims::RETENTION).get();
    assert_eq!(claim(later, KeyClaims::MAX_KEYS, 1), ClaimAnswer::Granted { is_certain: true });
}

/// Guards against an answer that is given after its key has expired.
#[test]
fn replay_expired() {
    let mut answers = RecordedAnswers::new();
    answers.record(Instant::new(0), key(1), ByteCount::new(1), "answer");
    assert_eq!(answers.replay(Instant::new(0), &key(1)), Replay::Answer("answer"));
    let later = Instant::new(1) + KeyClaims::RETENTION;
    assert_eq!(answers.replay(later, &key(1)), Replay::InDoubt);
}
