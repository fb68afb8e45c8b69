//! Tests of the admission control of a backend server.

use std::collections::{BTreeMap, BTreeSet};

use almondsail_core::RefusalReason;
use almondsail_core::config::Priority;
use almondsail_core::traffic::{
    Admission, AdmissionController, AdmissionLimits, Deadline, Ticket, Wakeup,
};
use almondsail_core::units::{Instant, Micros, Millis};
use almondsail_seeded::properties;
use quickcheck::{Arbitrary, Gen};

#[derive(Debug, Clone, Copy)]
enum Op {
    Admit { background: bool, left_ms: u8 },
    End { took_ms: u8 },
    Cancel(u8),
    Limits { slots: u8, connections: u8 },
    Close,
    Open,
    Advance(u8),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let n = u8::arbitrary(g);
        match u8::arbitrary(g) % 16 {
            0..=6 => Self::Admit { background: bool::arbitrary(g), left_ms: n },
            7..=10 => Self::End { took_ms: n },
            11 => Self::Cancel(n),
            12 => Self::Limits { slots: n % 6, connections: u8::arbitrary(g) % 6 },
            13 => Self::Close,
            14 => Self::Open,
            _ => Self::Advance(n),
        }
    }
}

/// A controller with a model of its state, derived from its decisions.
struct ModelledController {
    controller: AdmissionController,
    limits: AdmissionLimits,
    now: Instant,
    closed: bool,
    running: Vec<Priority>,
    waiting: BTreeMap<Ticket, (Priority, Deadline)>,
}

impl ModelledController {
    fn new(slots: u16, connections: u16) -> Self {
        let limits = AdmissionLimits { slots, connections };
        Self {
            controller: AdmissionController::new(limits),
            limits,
            now: Instant::new(1),
            closed: false,
            running: Vec::new(),
            waiting: BTreeMap::new(),
        }
    }

    fn run(&mut self, op: Op) {
        let before = self.running.len();
        match op {
            Op::Admit { background, left_ms } => self.admit(background, left_ms),
            Op::End { took_ms } => self.end(took_ms),
            Op::Cancel(n) => self.cancel(n),
            Op::Limits { slots, connections } => {
                self.limits =
                    AdmissionLimits { slots: slots.into(), connections: connections.into() };
                let wakeups = self.controller.set_limits(self.now, self.limits);
                self.wake(wakeups);
            }
            Op::Close => {
                self.controller.close(RefusalReason::Leaving);
                self.closed = true;
            }
            Op::Open => {
                self.controller.open();
                self.closed = false;
            }
            Op::Advance(ms) => self.now = self.now + Millis::new(ms.into()),
        }
        self.check(before);
    }

    fn admit(&mut self, background: bool, left_ms: u8) {
        let priority = if background { Priority::Background } else { Priority::Interactive };
        let remaining = Some(Millis::new(left_ms.into()));
        let deadline = Deadline::new(self.now, remaining, Deadline::MAX_TIMEOUT);
        let (admission, displaced) = self.controller.admit(self.now, priority, deadline);
        if let Some(wakeup) = displaced {
            assert_eq!(wakeup.refused, Some(RefusalReason::QueueFull));
            let (displaced, _) = self.waiting.remove(&wakeup.ticket).expect("it waited");
            assert_eq!((displaced, priority), (Priority::Background, Priority::Interactive));
        }
        let may_be_admitted = !self.closed && left_ms > 0;
        assert!(may_be_admitted || matches!(admission, Admission::Refused(_)));
        match admission {
            Admission::Run => self.running.push(priority),
            Admission::Wait(ticket) => {
                assert!(self.waiting.insert(ticket, (priority, deadline)).is_none());
            }
            Admission::Refused(_) => {}
        }
    }

    fn end(&mut self, took_ms: u8) {
        if let Some(priority) = self.running.pop() {
            let took = (took_ms > 100).then(|| Micros::from(Millis::new(took_ms.into())));
            let wakeups = self.controller.end(self.now, priority, took);
            self.wake(wakeups);
        }
    }

    fn cancel(&mut self, n: u8) {
        let ticket = self.waiting.keys().nth(usize::from(n % 4)).copied();
        if let Some(ticket) = ticket {
            assert!(self.controller.cancel(ticket));
            assert!(!self.controller.cancel(ticket));
            self.waiting.remove(&ticket);
        }
    }

    fn wake(&mut self, wakeups: Vec<Wakeup>) {
        for wakeup in wakeups {
            let first = self.waiting.iter().min_by_key(|(t, (p, _))| (*p, **t)).map(|(t, _)| *t);
            assert_eq!(first, Some(wakeup.ticket), "interactive calls and earlier calls go first");
            let (priority, deadline) = self.waiting.remove(&wakeup.ticket).expect("it waited");
            if wakeup.refused.is_none() {
                assert!(!deadline.has_passed(self.now));
                self.running.push(priority);
            }
        }
    }

    fn check(&self, running_before: usize) {
        let counts = self.controller.counts();
        assert_eq!(counts.running, self.running.len() as u64);
        assert_eq!(counts.queued, self.waiting.len() as u64);
        let sum = counts.refused + counts.cancelled + counts.queued + counts.running + counts.ended;
        assert_eq!(counts.arrived, sum);
        // A lower limit does not interrupt running calls, but no further ones start.
        assert!(self.limits.running() > 0 || self.waiting.is_empty());
        let limit = usize::from(self.limits.slots.min(self.limits.connections));
        assert!(self.running.len() <= limit.max(running_before));
    }
}

properties! {
    /// Guards against more running calls than slots or connections, wrong counts, calls admitted
    /// by a closed controller, and background calls that go before interactive ones.
    fn controller_any_sequence(slots: u8, connections: u8, ops: Vec<Op>) -> bool {
        let mut model = ModelledController::new(u16::from(slots % 6), u16::from(connections % 6));
        for op in ops {
            model.run(op);
        }
        true
    }
}

fn far_deadline(now: Instant) -> Deadline {
    Deadline::new(now, None, Deadline::MAX_TIMEOUT)
}

/// Guards against an unbounded queue, and against interactive calls that are refused because
/// background calls fill it.
#[test]
fn controller_queue_bounded() {
    let now = Instant::new(1);
    let limits = AdmissionLimits { slots: 2, connections: 9 };
    let mut controller = AdmissionController::new(limits);
    let mut displaced = BTreeSet::new();
    let mut refused = 0;
    for i in 0..60 {
        let priority = if i < 30 { Priority::Background } else { Priority::Interactive };
        let (admission, wakeup) = controller.admit(now, priority, far_deadline(now));
        displaced.extend(wakeup.map(|wakeup| wakeup.ticket));
        refused += usize::from(admission == Admission::Refused(RefusalReason::QueueFull));
        assert!(controller.counts().queued <= limits.queued() as u64);
    }
    assert_eq!(displaced.len(), limits.queued());
    assert_eq!(refused, 60 - 2 - 2 * limits.queued());
}

/// Guards against a call that waits although it can't end in time, and against an estimated
/// service time that is never corrected because every call is refused.
#[test]
fn controller_deadline_too_near() {
    let now = Instant::new(1);
    let mut controller = AdmissionController::new(AdmissionLimits { slots: 1, connections: 1 });
    let priority = Priority::Interactive;
    let near_deadline = Deadline::new(now, Some(Millis::new(50)), Deadline::MAX_TIMEOUT);
    assert_eq!(controller.admit(now, priority, far_deadline(now)).0, Admission::Run);
    controller.end(now, priority, Some(Micros::new(100_000)));
    assert_eq!(controller.admit(now, priority, near_deadline).0, Admission::Run);
    let refused = Admission::Refused(RefusalReason::DeadlineTooNear);
    assert_eq!(controller.admit(now, priority, near_deadline).0, refused);
    let enough = Deadline::new(now, Some(Millis::new(250)), Deadline::MAX_TIMEOUT);
    assert!(matches!(controller.admit(now, priority, enough).0, Admission::Wait(_)));
    assert_eq!(controller.admit(now, priority, enough).0, refused);
}
