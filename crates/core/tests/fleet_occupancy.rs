//! The calls at a backend server and its rate, by what the server tells.

mod fleet_common;

use almondsail_core::fleet::{
    Admission, CallEnd, CallQueue, EndpointLoad, SentCall, ServerLoad, ServerOccupancy, ServiceRate,
};
use almondsail_core::units::{Instant, Micros, Millis, Percent};
use almondsail_seeded::properties;
use fleet_common::{at, requirements};

const SLOTS: u32 = 6;

fn told(calls: u32, service_time: Option<u32>) -> Option<ServerLoad> {
    let (running, waiting) = (calls.min(SLOTS), calls.saturating_sub(SLOTS));
    Some(ServerLoad {
        running,
        waiting,
        slots: SLOTS,
        service_time: service_time.map(Percent::new),
    })
}

/// Sends a call at `ms` with a deadline a second later.
fn send(occupancy: &mut ServerOccupancy, ms: u64) -> SentCall {
    let call = occupancy.begin(at(ms), at(ms + 1_000), false);
    occupancy.record_sent(at(ms), call);
    call
}

/// Answers `call` at `ms` and ends it. Returns the calls that were found hanging.
fn answer(
    occupancy: &mut ServerOccupancy,
    ms: u64,
    call: SentCall,
    load: Option<ServerLoad>,
) -> Vec<SentCall> {
    let hanging = occupancy.record_response(at(ms), call, load, true);
    occupancy.end(at(ms), call, CallEnd::Finished);
    hanging
}

/// Returns the occupancy of an idle server after its first answer, which counts no call.
fn idle() -> ServerOccupancy {
    let mut occupancy = ServerOccupancy::default();
    let call = send(&mut occupancy, 0);
    answer(&mut occupancy, 1, call, told(0, None));
    occupancy
}

/// Guards against a call that holds a slot although the server neither runs nor answers it, and
/// against one that is given up after a single answer, which may have overtaken its own.
#[test]
fn record_response_call_hangs() {
    let mut occupancy = idle();
    let hung = send(&mut occupancy, 100);
    let (first, second) = (send(&mut occupancy, 130), send(&mut occupancy, 135));
    assert_eq!(answer(&mut occupancy, 150, first, told(0, None)), []);
    assert_eq!(answer(&mut occupancy, 151, second, told(0, None)), [], "sent before the first");
    assert_eq!(occupancy.limit(at(151), SLOTS), SLOTS);
    let third = send(&mut occupancy, 152);
    assert_eq!(answer(&mut occupancy, 170, third, told(0, None)), [hung]);
    assert_eq!(occupancy.limit(at(170), SLOTS), SLOTS + 1, "the hanging call holds no slot");
    occupancy.end(at(1_100), hung, CallEnd::Abandoned);
    assert_eq!(occupancy.limit(at(1_100), SLOTS), SLOTS);
    assert_eq!(occupancy.hanging_calls(), 1);
}

/// Guards against calls taken for hanging that the server runs, counts late because of their large
/// bodies, or was sent after it wrote the answer.
#[test]
fn record_response_call_runs() {
    let mut occupancy = idle();
    let large = occupancy.begin(at(100), at(9_000), true);
    occupancy.record_sent(at(100), large);
    let running = send(&mut occupancy, 100);
    for round in 0..5 {
        let ms = 200 + 50 * round;
        let call = send(&mut occupancy, ms);
        send(&mut occupancy, ms + 5);
        let counted = 1 + round as u32;
        assert_eq!(answer(&mut occupancy, ms + 40, call, told(counted, None)), [], "{round}");
    }
    answer(&mut occupancy, 500, running, told(5, None));
    assert_eq!(occupancy.hanging_calls(), 0);
}

/// Guards against a process that sends more calls than fit beside those that an earlier process
/// left at the server.
#[test]
fn limit_start_beside_busy_server() {
    let mut occupancy = ServerOccupancy::default();
    assert_eq!(occupancy.limit(at(0), SLOTS), 1);
    let first = send(&mut occupancy, 0);
    assert_eq!(occupancy.limit(at(1), SLOTS), 1);
    assert_eq!(occupancy.limit(at(2), SLOTS), 2);
    assert_eq!(occupancy.limit(at(900), SLOTS), SLOTS / 2, "the server has not answered");
    occupancy.record_response(at(900), first, told(5, None), true);
    assert_eq!(occupancy.limit(at(900), SLOTS), 2, "four calls besides the answered one");
    occupancy.end(at(900), first, CallEnd::Finished);
    let second = send(&mut occupancy, 901);
    answer(&mut occupancy, 1_000, second, told(2, None));
    assert_eq!(occupancy.limit(at(1_000), SLOTS), 5);
    let third = send(&mut occupancy, 1_001);
    answer(&mut occupancy, 1_100, third, told(0, None));
    assert_eq!(occupancy.limit(at(1_100), SLOTS), SLOTS);
}

/// Guards against a start beside an idle server that holds calls up: half of its slots are in use
/// after few milliseconds, and all of them after its first answer, also if it tells nothing.
#[test]
fn limit_start_beside_idle_server() {
    for load in [None, told(1, None), told(0, Some(100))] {
        let mut occupancy = ServerOccupancy::default();
        let first = send(&mut occupancy, 0);
        assert_eq!(occupancy.limit(at(4), SLOTS), SLOTS / 2);
        answer(&mut occupancy, 5, first, load);
        assert_eq!(occupancy.limit(at(5), SLOTS), SLOTS, "{load:?}");
    }
}

/// Guards against a server that gets a call in place of one whose connection the node closed and
/// that it still runs. Servers that tell no service time keep the count that they had.
#[test]
fn limit_after_abandoned_call() {
    for (service_time, expected) in [(None, SLOTS), (Some(100), SLOTS - 1)] {
        let mut occupancy = idle();
        let call = send(&mut occupancy, 100);
        answer(&mut occupancy, 110, call, told(0, service_time));
        let abandoned = send(&mut occupancy, 200);
        let other = send(&mut occupancy, 201);
        occupancy.end(at(210), abandoned, CallEnd::Abandoned);
        assert_eq!(occupancy.limit(at(210), SLOTS), expected);
        assert_eq!(occupancy.limit(at(1_200), SLOTS), SLOTS, "its deadline has passed");
        answer(&mut occupancy, 240, other, told(0, service_time));
        assert_eq!(occupancy.limit(at(240), SLOTS), SLOTS, "the server has dropped it");
    }
}

/// A node and its server, which counts its calls and hangs some of them.
struct Model {
    occupancy: ServerOccupancy,
    now: Instant,
    /// The calls at the server; `None` for those of an earlier process.
    running: Vec<Option<SentCall>>,
    /// The answers on their way, each with the number of calls at the server and the time when it
    /// was written.
    written: Vec<(SentCall, u32, Instant)>,
    /// The calls that the node holds.
    held: Vec<SentCall>,
}

impl Model {
    fn new(earlier: u32) -> Self {
        Self {
            occupancy: ServerOccupancy::default(),
            now: at(0),
            running: vec![None; earlier as usize],
            written: Vec::new(),
            held: Vec::new(),
        }
    }

    /// Sends a call if the node may. A server that hangs it neither queues nor answers it.
    fn send(&mut self, hangs: bool) {
        if self.held.len() as u32 >= self.occupancy.limit(self.now, SLOTS) {
            return;
        }
        let call = self.occupancy.begin(self.now, self.now + Millis::new(60_000), false);
        self.occupancy.record_sent(self.now, call);
        self.held.push(call);
        if !hangs {
            self.running.push(Some(call));
        }
    }

    /// Writes the answer to a call at the server.
    fn write(&mut self, pick: usize) {
        if self.running.is_empty() {
            return;
        }
        let ended = self.running.swap_remove(pick % self.running.len());
        let count = self.running.len() as u32;
        self.written.extend(ended.map(|call| (call, count, self.now)));
    }

    /// Reads an answer that was written.
    fn read(&mut self, pick: usize) {
        if self.written.is_empty() {
            return;
        }
        let (call, count, _) = self.written.swap_remove(pick % self.written.len());
        self.occupancy.record_response(self.now, call, told(count, Some(100)), true);
        self.occupancy.end(self.now, call, CallEnd::Finished);
        self.held.retain(|held| *held != call);
    }

    /// Closes the connection of a call, which the server may go on running.
    fn abandon(&mut self, pick: usize) {
        if self.held.is_empty() {
            return;
        }
        let call = self.held.swap_remove(pick % self.held.len());
        self.occupancy.end(self.now, call, CallEnd::Abandoned);
        self.written.retain(|(written, ..)| *written != call);
    }

    fn step(&mut self, kind: u8, pick: usize) {
        match kind % 8 {
            0..=3 => self.send(pick.is_multiple_of(7)),
            4 | 5 => self.write(pick),
            6 => self.read(pick),
            _ if pick.is_multiple_of(3) => self.abandon(pick),
            _ => {}
        }
    }
}

properties! {
    /// Guards against more calls at the server than it has slots, whatever calls hang, and in
    /// whatever order and however late the answers are read.
    fn limit_any_order(steps: Vec<(u8, u8)>) -> bool {
        let mut model = Model::new(0);
        steps.into_iter().all(|(kind, number)| {
            model.now = model.now + Millis::new(u64::from(number % 40));
            model.step(kind % 7, number.into());
            model.running.len() as u32 <= SLOTS
        })
    }

    /// Guards against more calls at the server than it has slots, or beside those of an earlier
    /// process more than the calls of half of the slots, whatever calls hang or are abandoned, and
    /// in whatever order the answers are read, up to 19 ms after they were written.
    fn limit_start_any_order(steps: Vec<(u8, u8)>, earlier: u8) -> bool {
        const READ_TIME: Millis = Millis::new(19);
        let earlier = u32::from(earlier) % (SLOTS + 1);
        let most = if earlier == 0 { SLOTS } else { SLOTS + SLOTS.div_ceil(2) };
        let mut model = Model::new(earlier);
        steps.into_iter().all(|(kind, number)| {
            let next = model.now + Millis::new(u64::from(number % 40));
            while let Some(n) = model.written.iter().position(|(.., at)| *at + READ_TIME < next) {
                model.now = model.now.max(model.written[n].2 + READ_TIME);
                model.read(n);
            }
            model.now = next;
            model.step(kind, number.into());
            model.running.len() as u32 <= most
        })
    }

    /// Guards against a relative service time that grows with age, falls below the usual one, or
    /// does not halve its distance from 100% with each half-life.
    fn factor_any_age(percent: u16, age: u16) -> bool {
        let percent = Percent::new(u32::from(percent % 990) + 10);
        let rate = ServiceRate::new(percent, at(0));
        let distance = |now: Instant| (rate.factor(now) - 1.0).abs();
        let now = at(u64::from(age));
        let later = now + ServiceRate::HALF_LIFE;
        (distance(at(0)) - (percent.factor() - 1.0).abs()).abs() < 1e-9
            && (distance(later) - distance(now) / 2.0).abs() < 1e-9
    }
}

/// Guards against answers that come together after a pause of the node and out of order, and are
/// taken for a sign that the calls between them hang.
#[test]
fn record_response_answers_in_reverse() {
    let mut occupancy = idle();
    let calls: Vec<SentCall> = (0..6).map(|n| send(&mut occupancy, 100 + 30 * n)).collect();
    for (n, call) in calls.iter().rev().enumerate() {
        assert_eq!(answer(&mut occupancy, 900, *call, told(n as u32 % 2, None)), []);
    }
    assert_eq!(occupancy.limit(at(900), SLOTS), SLOTS);
}

/// Guards against a slow spell that is learned as the server's usual run time, and against a queue
/// that does not expect calls to run longer in a spell: here the call would miss its deadline.
#[test]
fn admit_in_slow_spell() {
    let mut queue = CallQueue::new();
    queue.set_slots(at(0), 1);
    let call = requirements("r", 1, at(0), 500, 1_000);
    for spell in [100, 250] {
        queue.record_rate(at(0), Percent::new(spell));
        assert_eq!(queue.admit(at(0), call.clone()), Admission::Run);
        let took = Millis::new(spell.into());
        queue.end(at(0), &call, Some(took.into()));
    }
    assert_eq!(queue.mean_time(), Some(Micros::from(Millis::new(100))));
    assert_eq!(queue.admit(at(0), call.clone()), Admission::Run);
    let short = requirements("r", 1, at(0), 150, 370);
    assert!(matches!(queue.admit(at(0), short.clone()), Admission::Refused { .. }), "250 + 125 ms");
    let later = requirements("r", 1, at(3_000), 150, 370);
    assert!(matches!(queue.admit(at(3_000), later), Admission::Wait(_)), "the spell is long past");
}

/// Guards against an entry node that scales the way to an endpoint with the rate of its server, or
/// uses a rate beyond its time.
#[test]
fn expected_at_any_rate() {
    let (route, way) = ("r".parse().unwrap(), Micros::new(40_000));
    let mut load = EndpointLoad::default();
    load.record_rate(at(0), Percent::new(250));
    load.record_run_time_at(at(0), &route, Micros::new(250_000), way);
    let expected = |ms| load.expected_at(at(ms), &route).unwrap().get() / 1_000;
    assert_eq!(expected(0), 250 + 40);
    assert_eq!(expected(300), 175 + 40);
    assert_eq!(expected(60_000), 100 + 40);
}
