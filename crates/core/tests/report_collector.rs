//! Tests of a data centre's collector against a faulty store.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use almondsail_core::ids::{ConfigVersion, TeamName};
use almondsail_core::report::{
    AccountingRecord, CallCounts, CallEnd, Collector, EndedCalls, Gaps, Hour, HourKey, HourValue,
    MAX_BUFFERED_HOURS, MINUTE_WRITE_DELAY, Minute, StoredHours, Sums,
};
use almondsail_core::store::{Revision, StoreError, StoreReply, StoreRequest, StoredHour};
use almondsail_core::units::{Instant, Millis};
use almondsail_core::{RefusalReason, control::Event};
use common::{Sim, checker, create_service, name, submission};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const FIRST: Minute = Minute::new(6_000);
const NODES: usize = 3;

/// A store that loses answers and delays writes.
#[derive(Default)]
struct Store {
    hours: BTreeMap<HourKey, (u64, HourValue)>,
    delayed: Vec<StoreRequest>,
}

impl Store {
    fn execute(&mut self, request: StoreRequest) -> StoreReply {
        match request {
            StoreRequest::ReadHour(key) => {
                let (revision, value) = self.hours.get(&key).cloned().unzip();
                let revision = Revision::new(revision.unwrap_or_default());
                StoreReply::Hour(StoredHour { revision, value })
            }
            StoreRequest::SwapHour { key, revision, value } => {
                let held = self.hours.get(&key).map_or(0, |(held, _)| *held);
                if held != revision.get() {
                    return StoreReply::Failed(StoreError::Conflict);
                }
                self.hours.insert(key, (held + 1, (*value).clone()));
                StoreReply::Written(Revision::new(held + 1))
            }
            other => panic!("a collector does not send {other:?}"),
        }
    }

    /// Executes a request, with a random fault in `fault_percent` percent of the cases: the store
    /// refuses it, loses it, delays it or loses its answer.
    fn ask(&mut self, request: StoreRequest, fault_percent: u32, rng: &mut SmallRng) -> StoreReply {
        if rng.random_range(0..100) >= fault_percent {
            return self.execute(request);
        }
        match rng.random_range(0..4) {
            0 => return StoreReply::Failed(StoreError::NoEffect),
            1 => drop(self.execute(request)),
            2 => self.delayed.push(request),
            _ => {}
        }
        StoreReply::Failed(StoreError::Unknown)
    }

    fn execute_delayed(&mut self) {
        for request in std::mem::take(&mut self.delayed) {
            self.execute(request);
        }
    }

    fn stored(&self) -> StoredHours {
        let mut hours = StoredHours::new([name("dc")]);
        for (key, (_, value)) in &self.hours {
            hours.insert(key.clone(), value.sums.clone());
        }
        hours
    }
}

/// Two nodes that may collect, each of which may be replaced.
struct CollectorSim {
    collectors: Vec<Collector>,
    store: Store,
    rng: SmallRng,
    now: u64,
}

impl CollectorSim {
    fn new(seed: u64) -> Self {
        let collectors = vec![Collector::new(name("dc"), FIRST.start()); 2];
        let store = Store::default();
        Self { collectors, store, rng: SmallRng::seed_from_u64(seed), now: 0 }
    }

    /// Simulates a minute in which each node sends its record to the collector at `index`.
    fn run_minute(&mut self, minute: Minute, index: usize, fault_percent: u32) {
        self.collect(minute, index);
        self.write(fault_percent);
    }

    fn collect(&mut self, minute: Minute, index: usize) {
        let start = minute.start();
        for (i, collector) in self.collectors.iter_mut().enumerate() {
            collector.tick(start, || i == index, all_nodes);
        }
        for node in 0..NODES {
            let record = record(node, Minute::new(minute.get() - 1));
            // A record may be delivered twice.
            for _ in 0..self.rng.random_range(1..3) {
                self.collectors[index].add_record(&record, NODES as u64, start);
            }
        }
        for (i, collector) in self.collectors.iter_mut().enumerate() {
            collector.tick(start + MINUTE_WRITE_DELAY, || i == index, all_nodes);
        }
    }

    /// Lets both collectors write for a minute. Delayed requests take effect at random times.
    fn write(&mut self, fault_percent: u32) {
        for _ in 0..40 {
            self.now += 1_500_000;
            let now = Instant::new(self.now);
            for collector in &mut self.collectors {
                let mut request = collector.poll(now, &mut self.rng);
                while let Some(asked) = request {
                    if self.rng.random() {
                        self.store.execute_delayed();
                    }
                    let reply = self.store.ask(asked, fault_percent, &mut self.rng);
                    request = collector.reply(reply, now, &mut self.rng);
                }
            }
        }
    }

    fn gaps(&self, to: Minute) -> Gaps {
        self.store.stored().gaps(FIRST, to)
    }

    fn delivered(&self) -> u64 {
        let teams = self.store.stored().total().teams;
        teams.get(&depots()).map_or(0, |counts| counts.delivered)
    }
}

fn depots() -> TeamName {
    name("depots")
}

fn all_nodes() -> BTreeSet<almondsail_core::ids::NodeId> {
    (0..NODES).map(common::node_id).collect()
}

/// Returns the record of a node with one delivered call.
fn record(node: usize, minute: Minute) -> AccountingRecord {
    let counts = CallCounts { delivered: 1, ..CallCounts::default() };
    let sums = Sums { teams: [(depots(), counts)].into(), ..Sums::default() };
    AccountingRecord { node: common::node_id(node), minute, covers_minute: true, sums }
}

fn minute(n: u64) -> Minute {
    Minute::new(FIRST.get() + n)
}

/// Guards against sums that are added twice or not at all after the store's answer was lost.
#[test]
fn write_lost_answers_added_once() {
    fn property(seed: u64, indices: Vec<bool>) -> bool {
        let mut run = CollectorSim::new(seed);
        for (n, index) in (1..).zip(&indices) {
            run.run_minute(minute(n), usize::from(*index), 50);
        }
        run.store.execute_delayed();
        run.write(0);
        let sent = (indices.len() * NODES) as u64;
        let gaps = run.gaps(minute(indices.len() as u64));
        run.delivered() == sent && gaps.is_empty() && gaps.expected_records == sent
    }
    checker(200).quickcheck(property as fn(_, _) -> _);
}

/// Guards against hours that pass as complete although a collector died before it wrote
/// its sums. Every record is either in the sums or counted as missing.
#[test]
fn write_replaced_collector_leaves_gaps() {
    fn property(seed: u64, steps: Vec<(bool, u8)>) -> bool {
        let mut run = CollectorSim::new(seed);
        let mut max_lost = 0;
        for (n, (index, event)) in (1..).zip(&steps) {
            let index = usize::from(*index);
            run.run_minute(minute(n), index, 30);
            if event % 3 == 0 {
                let unwritten = run.delivered();
                run.collectors[index] = Collector::new(name("dc"), minute(n).start());
                max_lost = (n * NODES as u64).saturating_sub(unwritten);
            }
        }
        run.store.execute_delayed();
        run.write(0);
        let sent = (steps.len() * NODES) as u64;
        let gaps = run.gaps(minute(steps.len() as u64));
        let missing = gaps.missing_records + gaps.missing_minutes * NODES as u64;
        run.delivered() + missing == sent && missing <= max_lost
    }
    checker(200).quickcheck(property as fn(_, _) -> _);
}

/// Guards against sums that grow without bound while the store is down, whether its
/// requests fail or never end, and against dropped hours that are not reported as gaps.
#[test]
fn tick_store_down() {
    const HOURS: u64 = 5;
    let minutes = HOURS * Hour::MINUTES;
    for does_answer in [false, true] {
        let mut run = CollectorSim::new(1);
        for n in 1..=minutes {
            run.collect(minute(n), 0);
            if does_answer {
                run.write(100);
                run.store = Store::default();
            }
        }
        run.write(0);
        let gaps = run.gaps(minute(minutes));
        let kept = (run.delivered() / NODES as u64, gaps.minutes - gaps.missing_minutes);
        assert_eq!(kept, (MAX_BUFFERED_HOURS * Hour::MINUTES, MAX_BUFFERED_HOURS * Hour::MINUTES));
    }
}

/// Guards against a planned stop of the collector that loses its unwritten sums.
#[test]
fn handle_stop_writes_at_once() {
    let mut sim = Sim::new(4, 1);
    // The records of the first minute have arrived and are due for writing in 5 s.
    sim.run(45_000);
    assert!(sim.store.hours.is_empty());
    (0..4).for_each(|index| sim.event(index, Event::StopRequested));
    sim.run(1_000);
    assert_eq!(sim.store.hours.len(), 2, "both data centres have written");
}

/// Guards against more than one read and one write per data centre and minute.
#[test]
fn poll_two_calls_a_minute() {
    let mut collector = Collector::new(name("dc"), FIRST.start());
    let (mut store, mut rng) = (Store::default(), SmallRng::seed_from_u64(1));
    let mut calls = 0;
    for second in 1..=600 {
        let wall = FIRST.start() + Millis::new(second * 1_000);
        let now = Instant::new(second * 1_000_000);
        if second > 60 && second % 60 == 2 {
            collector.add_record(&record(0, Minute::new(Minute::at(wall).get() - 1)), 1, wall);
        }
        collector.tick(wall, || true, all_nodes);
        let mut request = collector.poll(now, &mut rng);
        while let Some(asked) = request {
            calls += 1;
            request = collector.reply(store.execute(asked), now, &mut rng);
        }
    }
    // The tenth minute would be written 10 s after its end, when the loop is over.
    assert_eq!(calls, 9 * 2);
}

/// Guards against a call that is counted in no field or in two, and against a call that
/// may have run being counted as one that certainly did not.
#[test]
fn record_every_end() {
    use RefusalReason::{BadAnswer, BrokenExchange, DeadlinePassed, RepeatInDoubt, RetryBudget};
    let failed = RefusalReason::ALL.map(CallEnd::Failed);
    for end in failed.into_iter().chain([CallEnd::Answered, CallEnd::Cancelled]) {
        for is_idempotent in [false, true] {
            let mut counts = CallCounts::default();
            counts.record(end, is_idempotent, 3);
            assert_eq!(counts.total(), 3, "{end:?}");
            let may_have_run = match end {
                CallEnd::Answered => false,
                CallEnd::Cancelled => true,
                CallEnd::Failed(RetryBudget) => is_idempotent,
                CallEnd::Failed(reason) => {
                    [BadAnswer, BrokenExchange, DeadlinePassed, RepeatInDoubt].contains(&reason)
                }
            };
            let open = if is_idempotent { counts.late } else { counts.in_doubt };
            assert_eq!(open, if may_have_run { 3 } else { 0 }, "{end:?} {is_idempotent}");
            assert_eq!(counts.delivered == 3, end == CallEnd::Answered, "{end:?}");
        }
    }
}

/// Runs four nodes of two data centres for five whole minutes with one call per node and
/// minute. Returns the stored hours and whether all nodes knew the service before the calls.
fn simulate(sim: &mut Sim) -> (StoredHours, bool) {
    sim.run(6_500);
    sim.submit(1, submission(1, create_service("bays")));
    // The calls come 10 s after the start of a minute, from the nodes' second minute on.
    sim.run(43_500);
    let knows = |sim: &Sim, index| sim.published(index) == ConfigVersion::new(1);
    let all_know = (0..4).all(|index| knows(sim, index));
    for _ in 0..5 {
        for index in 0..4 {
            let (service, route) = (name("bays"), name("r"));
            let calls = EndedCalls { service, route, end: CallEnd::Answered, count: 1 };
            sim.event(index, Event::CallsEnded(vec![calls]));
        }
        sim.run(60_000);
    }
    sim.run(10_000);
    let mut hours = StoredHours::new([name("dc0"), name("dc1")]);
    for (key, (_, value)) in &sim.store.hours {
        hours.insert(key.clone(), value.sums.clone());
    }
    (hours, all_know)
}

/// Guards against records that do not reach the store, and against changes whose time
/// until they were in force on every node is not recorded.
#[test]
fn handle_minutes_reach_store() {
    let mut sim = Sim::new(4, 1);
    let start = Minute::at(sim.wall());
    let (hours, _) = simulate(&mut sim);
    let first = Minute::new(start.get() + 1);
    assert_eq!(hours.gaps(start, first).missing_records, 4, "the first minute is partial");
    let gaps = hours.gaps(first, Minute::new(first.get() + 5));
    assert!(gaps.is_empty(), "{gaps:?}");
    assert_eq!(gaps.expected_records, 5 * 4);
    let delivered = hours.total().teams.get(&depots()).map(|counts| counts.delivered);
    assert_eq!(delivered, Some(5 * 4));
    let changes = hours.changes();
    let (change, time) = &changes[&ConfigVersion::new(1)];
    assert_eq!(change.team, Some(depots()));
    assert!(time.is_some_and(|time| time <= Millis::new(1_000)), "{change:?} {time:?}");
    let writes: Vec<u64> = sim.store.hours.values().map(|(writes, _)| *writes).collect();
    assert_eq!(writes, [6, 6], "one write for each data centre and minute");
}

/// Guards against lost or duplicated messages that change the figures without being counted as
/// missing.
#[test]
fn handle_faults_count_as_missing() {
    fn property(seed: u64) -> bool {
        let mut sim = Sim::new(4, seed);
        (sim.loss, sim.duplication) = (20, 30);
        (sim.store.lost, sim.store.lost_writes) = (20, 30);
        let (hours, all_know) = simulate(&mut sim);
        let received: u64 = sim
            .store
            .hours
            .values()
            .flat_map(|(_, value)| value.sums.minutes.values())
            .map(|minute| minute.received)
            .sum();
        let teams = hours.total().teams;
        let delivered = teams.get(&depots()).map_or(0, |counts| counts.delivered);
        received <= 5 * 4 && (delivered == received || !all_know && delivered <= received)
    }
    checker(8).quickcheck(property as fn(_) -> _);
}
