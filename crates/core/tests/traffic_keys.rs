//! Idempotency keys: claims, registrars and recorded answers.

use std::collections::BTreeMap;

use almondsail_core::ids::{CallKey, NodeId, ServiceName};
use almondsail_core::traffic::{
    CallId, CallKeys, ClaimAnswer, ClaimDecision, RecordedAnswers, Replay, registrars,
};
use almondsail_core::units::{ByteCount, Instant, Millis};
use quickcheck::{TestResult, quickcheck};

fn key(n: impl std::fmt::Display) -> CallKey {
    format!("key-{n}").parse().expect("a key")
}

fn node(n: impl std::fmt::Display) -> NodeId {
    format!("node-{n}").parse().expect("a name")
}

fn service() -> ServiceName {
    "bays".parse().expect("a name")
}

quickcheck! {
    /// Guards against two calls that hold one key at the same time, and a release by a call
    /// that does not hold it.
    fn claim_any_sequence(ops: Vec<(bool, u8, u8, u8, u16)>) -> bool {
        let mut now = Instant::new(0);
        let mut keys = CallKeys::new(now);
        let mut held: BTreeMap<u8, (u8, u8, Instant)> = BTreeMap::new();
        for (is_claim, k, call, holder, pass_s) in ops {
            let (k, call, holder) = (k % 4, call % 4, holder % 3);
            now = now + Millis::new(u64::from(pass_s % 200) * 1_000);
            let age = |at: Instant| now.since(at) > CallKeys::RETENTION.into();
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

    /// Guards against a registrar that loses its rank when another node goes: one of the two
    /// must stay, or the key is forgotten.
    fn registrars_one_node_lost(n: u8, lose_first: bool, k: u32) -> TestResult {
        let nodes: Vec<NodeId> = (0..n).map(node).collect();
        if nodes.len() < 3 {
            return TestResult::discard();
        }
        let (first, second) = registrars(&key(k), nodes.iter());
        let gone = if lose_first { first } else { second };
        let (new_first, new_second) =
            registrars(&key(k), nodes.iter().filter(|node| Some(*node) != gone));
        let mut known = [first, second].into_iter().filter(|node| *node != gone);
        let is_kept = known.all(|node| node == new_first || node == new_second);
        TestResult::from_bool(first != second && second.is_some() && is_kept)
    }

    /// Guards against recorded answers that take more memory than stated.
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

/// Guards against a call that runs while another holds its key or without a grant, and against
/// a marked repeat that runs although the first call may be unknown.
#[test]
fn decide_any_answers() {
    let answers = [
        None,
        Some(ClaimAnswer::Full),
        Some(ClaimAnswer::Granted { sure: false }),
        Some(ClaimAnswer::Granted { sure: true }),
        Some(ClaimAnswer::Held { holder: node(1) }),
    ];
    for (i, j) in (0..5).flat_map(|i| (0..5).map(move |j| (i, j))) {
        for (is_repeat, is_stable) in [(false, false), (false, true), (true, false), (true, true)] {
            let pair = [answers[i].clone(), answers[j].clone()];
            let expected = match (i.max(j), i.min(j)) {
                (4, _) => ClaimDecision::Held { holder: node(1) },
                (0 | 1, _) => ClaimDecision::Unreachable,
                (3, 3) if is_stable => ClaimDecision::Run,
                _ if is_repeat => ClaimDecision::InDoubt,
                _ => ClaimDecision::Run,
            };
            assert_eq!(ClaimDecision::new(&pair, is_repeat, is_stable), expected, "{pair:?}");
        }
    }
}

/// Guards against a full registrar that drops a key before its time.
#[test]
fn claim_full() {
    let mut keys = CallKeys::new(Instant::new(0));
    let mut claim = |at, n: usize, call| {
        keys.claim(Instant::new(at), &service(), &key(n), CallId::new(call), &node(0))
    };
    for n in 0..CallKeys::MAX_KEYS {
        assert_eq!(claim(0, n, 1), ClaimAnswer::Granted { sure: false });
    }
    assert_eq!(claim(0, CallKeys::MAX_KEYS, 1), ClaimAnswer::Full);
    assert_eq!(claim(0, 0, 2), ClaimAnswer::Held { holder: node(0) });
    let later = (Instant::new(1) + CallKeys::RETENTION).get();
    assert_eq!(claim(later, CallKeys::MAX_KEYS, 1), ClaimAnswer::Granted { sure: true });
}

/// Guards against an answer that is given after its key has expired.
#[test]
fn replay_expired() {
    let mut answers = RecordedAnswers::new();
    answers.record(Instant::new(0), key(1), ByteCount::new(1), "answer");
    assert_eq!(answers.replay(Instant::new(0), &key(1)), Replay::Answer("answer"));
    let later = Instant::new(1) + CallKeys::RETENTION;
    assert_eq!(answers.replay(later, &key(1)), Replay::InDoubt);
}
