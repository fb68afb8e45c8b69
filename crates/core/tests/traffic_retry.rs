//! Tests of retries, deadlines and the memory limit for bodies.

use almondsail_core::traffic::{
    BodyBudget, CallId, Deadline, FailedAttempt, LoadReport, RetryBudget, RetryDecision,
    RetryPolicy,
};
use almondsail_core::units::{ByteCount, Instant, Micros, Millis};
use almondsail_core::{RefusalReason, RetryReason, Verdict};
use almondsail_seeded::properties;

properties! {
    /// Guards against retries that multiply the load: more than a tenth of the calls and ten a
    /// second.
    fn budget_any_sequence(steps: Vec<(u8, u16)>) -> bool {
        let mut now = Instant::new(5);
        let budget = RetryBudget::new(now);
        let (mut calls, mut retries) = (0_u64, 0_u64);
        for (n, pass_ms) in steps {
            now = now + Millis::new(u64::from(pass_ms % 500));
            for _ in 0..n {
                budget.count_call();
                calls += 1;
                retries += u64::from(budget.try_acquire(now));
            }
        }
        let seconds = now.get() as f64 / 1e6;
        retries as f64 <= calls as f64 * 0.1 + 10.0 + seconds * 10.0 + 0.1
    }

    /// Guards against a retry of a non-idempotent call that may have run, a retry after the last
    /// attempt or without enough time, and a retry that isn't taken out of the budget.
    fn decide_any_failure(v: u8, r: u8, idempotent: bool, attempts: u8, remaining: u32) -> bool {
        let now = Instant::new(5);
        let budget = RetryBudget::new(now);
        let failed = FailedAttempt {
            verdict: Verdict::ALL[usize::from(v) % Verdict::ALL.len()],
            reason: RefusalReason::ALL[usize::from(r) % RefusalReason::ALL.len()],
            idempotent,
            attempts: attempts % 5 + 1,
            remaining: Micros::new(remaining.into()),
        };
        let RetryDecision::Retry(_) = RetryPolicy.decide(failed, &budget, now) else { return true };
        let remaining = (0..20).filter(|_| budget.try_acquire(now)).count();
        (idempotent || failed.verdict.is_safe_to_retry())
            && failed.attempts < RetryPolicy::MAX_ATTEMPTS
            && failed.remaining >= RetryPolicy::MIN_LEFT
            && failed.reason != RefusalReason::RepeatInDoubt
            && remaining == 9
    }

    /// Guards against a deadline that exceeds the limits, or grows at the next hop.
    fn deadline_any(now: u32, asked: Option<u32>, limit: u32, later: u32) -> bool {
        let now = Instant::new(now.into());
        let asked = asked.map(|ms| Millis::new(ms.into()));
        let deadline = Deadline::new(now, asked, Millis::new(limit.into()));
        let later = now + Micros::new(later.into());
        let next = deadline.for_next_hop(later);
        deadline.remaining(now)
            <= Micros::from(Deadline::MAX_TIMEOUT.min(Millis::new(limit.into())))
            && next.remaining(later) <= deadline.remaining(later)
            && (deadline.remaining(later).get() < 10
                || next.remaining(later) < deadline.remaining(later))
    }

    /// Guards against more held bytes than the limit, and bytes that are not released.
    fn body_budget_any_sequence(limit: u16, takes: Vec<u16>) -> bool {
        let budget = BodyBudget::new(ByteCount::new(limit.into()));
        let mut held = Vec::new();
        for take in takes {
            let take = ByteCount::new(take.into());
            if budget.try_acquire(take) {
                held.push(take);
            } else if let Some(last) = held.pop() {
                budget.release(last);
            }
            let sum: u64 = held.iter().map(|bytes| bytes.get()).sum();
            assert!(budget.held().get() == sum && sum <= limit.into());
        }
        true
    }

    /// Guards against written loads and call ids that parse to other values.
    fn texts_round_trip(in_flight: u32, slots: u16, id: u128) -> bool {
        let load = LoadReport { in_flight, slots };
        let id = CallId::new(id);
        load.to_string().parse() == Ok(load) && id.to_string().parse() == Ok(id)
    }
}

/// Guards against a retry of a call that may have run. Checks all combinations of verdict,
/// reason, idempotency and number of attempts.
#[test]
fn decide_every_failure() {
    let now = Instant::new(5);
    for verdict in Verdict::ALL {
        for reason in RefusalReason::ALL {
            for idempotent in [false, true] {
                for attempts in 1..=RetryPolicy::MAX_ATTEMPTS {
                    let remaining = RetryPolicy::MIN_LEFT;
                    let failed = FailedAttempt { verdict, reason, idempotent, attempts, remaining };
                    let decision = RetryPolicy.decide(failed, &RetryBudget::new(now), now);
                    let expected = match retry_expected(failed) {
                        Some(reason) => RetryDecision::Retry(reason),
                        None => RetryDecision::Report,
                    };
                    assert_eq!(decision, expected, "{failed:?}");
                }
            }
        }
    }
}

/// Returns the reason for which `failed` is sent again, from rules written independently of the
/// policy.
fn retry_expected(failed: FailedAttempt) -> Option<RetryReason> {
    use RefusalReason as R;
    if failed.attempts == RetryPolicy::MAX_ATTEMPTS {
        return None;
    }
    match (failed.verdict, failed.reason) {
        (Verdict::MayHaveRun, R::BrokenExchange | R::BadAnswer) => {
            failed.idempotent.then_some(RetryReason::IdempotentBroken)
        }
        (Verdict::MayHaveRun, _) => None,
        (_, R::ConnectFailed | R::BrokenExchange) => Some(RetryReason::ConnectFailed),
        (_, R::Leaving) => Some(RetryReason::Leaving),
        (
            _,
            R::NoBackend
            | R::BackendDown
            | R::Evacuated
            | R::ColdServer
            | R::StoppedVersion
            | R::QueueFull
            | R::Displaced
            | R::DeadlineTooNear
            | R::BackendShed
            | R::BodyMemory
            | R::NoConfig
            | R::OutdatedConfig
            | R::PartialConfig,
        ) => Some(RetryReason::RefusedUnrun),
        _ => None,
    }
}

/// Guards against a retry after the budget is used up, and against a decision that hides it.
#[test]
fn decide_budget_used_up() {
    let now = Instant::new(5);
    let budget = RetryBudget::new(now);
    while budget.try_acquire(now) {}
    let failed = FailedAttempt {
        verdict: Verdict::NotSent,
        reason: RefusalReason::ConnectFailed,
        idempotent: false,
        attempts: 1,
        remaining: Micros::new(1_000_000),
    };
    assert_eq!(RetryPolicy.decide(failed, &budget, now), RetryDecision::BudgetUsedUp);
}
