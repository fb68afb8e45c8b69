//! The memory limit for answers that are being read.

use almondsail_core::traffic::AnswerBudget;
use almondsail_core::units::ByteCount;

const STEP: ByteCount = ByteCount::new(64 * 1024);
const MEGABYTE: u64 = 1024 * 1024;

/// Grows all `answers` in turn, each until it is cut or holds `max` bytes. Returns what they hold.
fn grow_together(budget: &AnswerBudget, answers: usize, max: u64) -> Vec<u64> {
    let mut held = vec![0; answers];
    let mut growing: Vec<usize> = (0..answers).collect();
    while !growing.is_empty() {
        growing.retain(|&n| {
            let may_grow = held[n] < max && budget.try_grow(ByteCount::new(held[n]), STEP);
            held[n] += if may_grow { STEP.get() } else { 0 };
            may_grow
        });
        assert!(budget.held() <= AnswerBudget::LIMIT);
    }
    held
}

/// Guards against endless answers that take more than the limit together, or leave nothing to short
/// ones.
#[test]
fn try_grow_endless_answers() {
    for answers in 1..40 {
        let budget = AnswerBudget::default();
        let held = grow_together(&budget, answers, u64::MAX);
        assert_eq!(budget.held().get(), held.iter().sum());
        assert!(held.iter().all(|held| *held <= AnswerBudget::MAX_ANSWER.get()));
        assert!(budget.try_grow(ByteCount::new(0), STEP), "{answers} answers leave nothing");
    }
}

/// Guards against answers of a megabyte that are cut although a worker's twelve slots hold no more.
#[test]
fn try_grow_twelve_of_a_megabyte() {
    let budget = AnswerBudget::default();
    assert_eq!(grow_together(&budget, 12, MEGABYTE), [MEGABYTE; 12]);
    budget.release(ByteCount::new(12 * MEGABYTE));
    assert_eq!(budget.held(), ByteCount::new(0));
}

/// Guards against sizes that overflow.
#[test]
fn try_grow_huge() {
    let budget = AnswerBudget::default();
    let huge = ByteCount::new(u64::MAX);
    assert!(!budget.try_grow(ByteCount::new(0), huge) && !budget.try_grow(huge, STEP));
    assert_eq!(budget.held(), ByteCount::new(0));
}
