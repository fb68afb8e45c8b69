//! Replays a load pattern at one server for several queueing policies.
//!
//! `cargo run --release --example queue_experiment -p almondsail-core [PATTERN] [POLICY]` prints
//! for each class the numbers of calls served in time, late and refused, and a histogram of the
//! times of the answers. Without arguments, all patterns and policies are shown.

use std::collections::{BTreeMap, VecDeque};
use std::process::ExitCode;

use almondsail_core::fleet::{Admission, CallQueue, CallRank, CallRequirements, QueueTicket};
use almondsail_core::units::{Instant, Millis};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// The number of slots of the server.
const SLOTS: u32 = 12;
/// The length of a replay, in milliseconds.
const REPLAY_MS: u64 = 30_000;
/// The width of a row of the histogram, in milliseconds.
const ROW_MS: u64 = 100;
/// The number of calls for each mark of the histogram.
const CALLS_PER_MARK: usize = 40;

/// A class of calls with the same rate, run time and limits.
#[derive(Debug, Clone, Copy)]
struct Class {
    name: &'static str,
    /// The number of calls per second at load 1.
    rate: f64,
    /// The mean run time of a call at this server, in milliseconds.
    work: f64,
    target: u64,
    deadline: u64,
    priority: u8,
}

/// The calls of callers and of other services that the last fast server of cala-mesh's `fleetboard`
/// gets.
const CLASSES: [Class; 2] = [
    Class { name: "status", rate: 70.0, work: 130.0, target: 400, deadline: 1_000, priority: 2 },
    Class { name: "sync", rate: 150.0, work: 13.0, target: 60, deadline: 200, priority: 2 },
];

/// How the load and the speed of the server change over time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pattern {
    /// The usual rates all the time.
    Usual,
    /// Twice the usual rates all the time.
    Twice,
    /// Three times the usual rates from the tenth to the twentieth second.
    Burst,
    /// The server runs three times as slowly from the tenth second on.
    Slow,
}

/// A queueing policy: which calls wait and in which order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// The queue of this crate, [`CallQueue`].
    Product,
    /// In order of arrival, whatever the wait.
    Fifo,
    /// In order of arrival; calls are refused once forty wait.
    Bounded,
}

impl Pattern {
    const ALL: [Self; 4] = [Self::Usual, Self::Twice, Self::Burst, Self::Slow];

    const fn name(self) -> &'static str {
        match self {
            Self::Usual => "usual",
            Self::Twice => "twice",
            Self::Burst => "burst",
            Self::Slow => "slow",
        }
    }

    /// Returns the load at a time, and the factor by which calls run longer.
    const fn at(self, ms: u64) -> (f64, f64) {
        match self {
            Self::Usual => (1.0, 1.0),
            Self::Twice => (2.0, 1.0),
            Self::Burst if ms >= 10_000 && ms < 20_000 => (3.0, 1.0),
            Self::Slow if ms >= 10_000 => (1.0, 3.0),
            Self::Burst | Self::Slow => (1.0, 1.0),
        }
    }
}

impl Policy {
    const ALL: [Self; 3] = [Self::Product, Self::Fifo, Self::Bounded];

    const fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::Fifo => "fifo",
            Self::Bounded => "bounded",
        }
    }
}

/// A call in the replay, with times in milliseconds.
#[derive(Debug, Clone)]
struct Call {
    class: usize,
    arrived_at: u64,
    /// The run time of the call, in milliseconds.
    work: u64,
    requirements: CallRequirements,
}

/// A queue that follows one of the policies.
enum Queue {
    Product(Box<CallQueue>, BTreeMap<QueueTicket, Call>),
    Fifo { waiting: VecDeque<Call>, max_waiting: usize, running: u32 },
}

impl Queue {
    fn new(policy: Policy) -> Self {
        let fifo = |max_waiting| Self::Fifo { waiting: VecDeque::new(), max_waiting, running: 0 };
        match policy {
            Policy::Product => {
                let mut queue = CallQueue::new();
                queue.set_slots(Instant::new(0), SLOTS);
                Self::Product(Box::new(queue), BTreeMap::new())
            }
            Policy::Fifo => fifo(usize::MAX),
            Policy::Bounded => fifo(40),
        }
    }

    /// Handles a call that arrives. Returns the calls that begin to run, and those that are
    /// refused.
    fn arrive(&mut self, now: u64, call: Call) -> (Vec<Call>, Vec<Call>) {
        match self {
            Self::Product(queue, waiting) => {
                match queue.admit(at(now), call.requirements.clone()) {
                    Admission::Run => (vec![call], Vec::new()),
                    Admission::Wait(ticket) => {
                        waiting.insert(ticket, call);
                        (Vec::new(), Vec::new())
                    }
                    Admission::Refused { .. } => (Vec::new(), vec![call]),
                }
            }
            Self::Fifo { running, .. } if *running < SLOTS => {
                *running += 1;
                (vec![call], Vec::new())
            }
            Self::Fifo { waiting, max_waiting, .. } if waiting.len() < *max_waiting => {
                waiting.push_back(call);
                (Vec::new(), Vec::new())
            }
            Self::Fifo { .. } => (Vec::new(), vec![call]),
        }
    }

    /// Ends a call. Returns the calls that begin to run, and those that are refused.
    fn end(&mut self, now: u64, call: &Call) -> (Vec<Call>, Vec<Call>) {
        match self {
            Self::Product(queue, waiting) => {
                let took = Millis::new(call.work).into();
                let (mut begun, mut refused) = (Vec::new(), Vec::new());
                for wakeup in queue.end(at(now), &call.requirements, Some(took)) {
                    let Some(call) = waiting.remove(&wakeup.ticket) else { continue };
                    if wakeup.refused.is_none() { &mut begun } else { &mut refused }.push(call);
                }
                (begun, refused)
            }
            Self::Fifo { waiting, running, .. } => match waiting.pop_front() {
                Some(next) => (vec![next], Vec::new()),
                None => {
                    *running -= 1;
                    (Vec::new(), Vec::new())
                }
            },
        }
    }
}

/// How the calls of a class ended.
#[derive(Debug, Default, Clone)]
struct Outcomes {
    in_time: usize,
    late: usize,
    refused: usize,
    lost: usize,
    /// The number of answers in each row of the histogram.
    times: BTreeMap<u64, usize>,
}

impl Outcomes {
    fn record_end(&mut self, took: u64, class: &Class) {
        match took {
            _ if took <= class.target => self.in_time += 1,
            _ if took <= class.deadline => self.late += 1,
            _ => self.lost += 1,
        }
        *self.times.entry(took / ROW_MS).or_default() += 1;
    }
}

fn replay(pattern: Pattern, policy: Policy) -> [Outcomes; CLASSES.len()] {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut queue = Queue::new(policy);
    let mut outcomes: [Outcomes; CLASSES.len()] = Default::default();
    let mut running: Vec<(u64, Call)> = Vec::new();
    for now in 0..REPLAY_MS + 10_000 {
        let (ended, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|(end, _)| *end <= now);
        running = rest;
        let mut results = Vec::new();
        for (_, call) in ended {
            outcomes[call.class].record_end(now - call.arrived_at, &CLASSES[call.class]);
            results.push(queue.end(now, &call));
        }
        let (load, slowness) = pattern.at(now);
        for (index, class) in CLASSES.iter().enumerate().filter(|_| now < REPLAY_MS) {
            if rng.random_bool((load * class.rate / 1_000.0).min(1.0)) {
                let work = class.work * slowness * rng.random_range(0.5..1.5);
                results.push(queue.arrive(now, call(now, index, class, work as u64)));
            }
        }
        for (begun, refused) in results {
            running.extend(begun.into_iter().map(|call| (now + call.work.max(1), call)));
            refused.iter().for_each(|call| outcomes[call.class].refused += 1);
        }
    }
    outcomes
}

fn call(now: u64, index: usize, class: &Class, work: u64) -> Call {
    let requirements = CallRequirements {
        route: class.name.parse().expect("a valid name"),
        rank: CallRank { team: 0, route: class.priority },
        team: None,
        target: at(now + class.target),
        deadline: at(now + class.deadline),
        target_latency: Millis::new(class.target),
    };
    Call { class: index, arrived_at: now, work, requirements }
}

const fn at(ms: u64) -> Instant {
    Instant::new(ms * 1_000)
}

fn print(pattern: Pattern, policy: Policy) {
    println!("pattern {}, policy {}", pattern.name(), policy.name());
    for (class, outcomes) in CLASSES.iter().zip(replay(pattern, policy)) {
        let Outcomes { in_time, late, refused, lost, times } = outcomes;
        let name = class.name;
        println!("  {name}: {in_time} in time, {late} late, {refused} refused, {lost} lost");
        for (row, count) in times {
            let marks = "#".repeat(count.div_ceil(CALLS_PER_MARK));
            println!("    {:>5} ms {count:>5} {marks}", row * ROW_MS);
        }
    }
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (pattern, policy) = (arguments.next(), arguments.next());
    let is_wanted =
        |name: &str, wanted: &Option<String>| wanted.as_deref().is_none_or(|wanted| wanted == name);
    let mut printed = 0;
    for (a, b) in Pattern::ALL.iter().flat_map(|a| Policy::ALL.iter().map(move |b| (*a, *b))) {
        if is_wanted(a.name(), &pattern) && is_wanted(b.name(), &policy) {
            print(a, b);
            printed += 1;
        }
    }
    if printed == 0 {
        let patterns = Pattern::ALL.map(Pattern::name).join(", ");
        let policies = Policy::ALL.map(Policy::name).join(", ");
        eprintln!("patterns: {patterns}; policies: {policies}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
