//! The limit on the calls of a cold server, at its queue and in the choice of endpoints.

mod fleet_common;

use std::collections::{BTreeMap, VecDeque};

use almondsail_core::RefusalReason;
use almondsail_core::fleet::{
    Admission, BackendWarmth, CallQueue, ColdLimiter, ColdRule, LoadBalancer, LoadBalancerContext,
    ServiceEndpoints, TrafficRamp, VersionRule,
};
use almondsail_core::units::{CallRate, Instant, Micros, Millis};
use almondsail_seeded::properties;
use fleet_common::{at, endpoint, requirements, route};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

/// The rate that a cold server bears, and the calls that are admitted in a second: 125% of it.
const RATE: CallRate = CallRate::from_milli(6_400);
const CALLS_PER_SECOND: usize = 8;
const LIMITED: ColdRule = ColdRule::Limited(RATE);

fn announced(is_cold: bool, ms: u64) -> Option<BackendWarmth> {
    Some(BackendWarmth { is_cold, announced_at: at(ms) })
}

fn limiter(is_cold: bool) -> ColdLimiter {
    let mut limiter = ColdLimiter::default();
    limiter.update(at(0), LIMITED, announced(is_cold, 0));
    limiter
}

/// Counts the calls that `limiter` admits at `ms` if it is asked many times.
fn burst(limiter: &mut ColdLimiter, ms: u64) -> usize {
    (0..100).filter(|_| limiter.try_admit(at(ms))).count()
}

/// A node and the server beside it, whose process numbers all calls that reach the server.
#[derive(Default)]
struct ColdNode {
    limiter: ColdLimiter,
    now: u64,
    process_start: u64,
    warmth: Option<BackendWarmth>,
    sent: VecDeque<u64>,
}

impl ColdNode {
    fn local(&self) -> Instant {
        at(self.now - self.process_start)
    }

    /// Plays an event. Returns false if a cold server gets too many calls.
    fn play(&mut self, event: u8) -> bool {
        match event % 16 {
            0 => {
                let start = Self { now: self.now, process_start: self.now, ..Self::default() };
                let sent = std::mem::take(&mut self.sent);
                *self = Self { sent, ..start };
                self.limiter.update(at(0), LIMITED, None);
            }
            1 => {
                self.limiter.doubt(self.local());
            }
            kind @ (2 | 3) => {
                let announced_at = self.local();
                self.warmth = Some(BackendWarmth { is_cold: kind == 2, announced_at });
                self.limiter.update(announced_at, LIMITED, self.warmth);
            }
            _ => return self.call(),
        }
        true
    }

    fn call(&mut self) -> bool {
        let is_cold = self.limiter.is_limiting();
        let local = self.local();
        let window = self.now.saturating_sub(999);
        while self.sent.front().is_some_and(|sent| *sent < window) {
            self.sent.pop_front();
        }
        if self.limiter.try_admit(local) {
            self.sent.push_back(self.now);
            return !is_cold || self.sent.len() <= CALLS_PER_SECOND;
        }
        true
    }
}

properties! {
    /// Guards against more calls in any second to a server that is cold, or may be, than it bears:
    /// also after a restart of the node, after calls to the warm server, and while it is doubted.
    fn admitted_any_events(events: Vec<(u8, u8)>) -> bool {
        let mut node = ColdNode::default();
        node.limiter.update(at(0), LIMITED, None);
        events.iter().cycle().take(20 * events.len()).all(|(delay, event)| {
            node.now += u64::from(delay % 64);
            node.play(*event)
        })
    }

    /// Guards against expected waits that differ from the times at which calls are admitted.
    fn wait_any_events(calls: Vec<u8>, ahead: u8) -> bool {
        let mut limiter = limiter(true);
        let mut now = at(900);
        for delay in calls {
            now = now + Millis::new(delay.into());
            limiter.try_admit(now);
        }
        let expected = now + limiter.wait(now, (ahead % 32).into()).unwrap();
        for _ in 0..ahead % 32 {
            now = now + limiter.wait(now, 0).unwrap();
            assert!(limiter.try_admit(now));
        }
        let wait = limiter.wait(now, 0).unwrap();
        let is_early = wait.get() > 0 && limiter.try_admit(now + Micros::new(wait.get() - 1));
        now + wait == expected && !is_early && limiter.try_admit(expected)
    }
}

/// Guards against a new process that sends as many calls as the former one, in the same second.
#[test]
fn admit_first_second() {
    let mut limiter = limiter(true);
    assert_eq!(burst(&mut limiter, 999), 0);
    assert_eq!(burst(&mut limiter, 1_000), CALLS_PER_SECOND);
    assert_eq!(burst(&mut limiter, 1_999), 0);
}

/// Guards against a full load on a server that has restarted, because an announcement of its former
/// process arrives after the connection was reset.
#[test]
fn admit_announced_while_restarting() {
    let mut limiter = limiter(false);
    limiter.doubt(at(5_000));
    limiter.update(at(5_010), LIMITED, announced(false, 5_010));
    assert_eq!(burst(&mut limiter, 5_011), CALLS_PER_SECOND);
    limiter.update(at(6_400), LIMITED, announced(false, 6_400));
    assert_eq!(burst(&mut limiter, 6_400), 100);
}

/// Guards against a limit on services that have none, and one that is never lifted.
#[test]
fn admit_without_limit() {
    let mut limiter = ColdLimiter::default();
    limiter.update(at(0), ColdRule::Unlimited, announced(true, 0));
    limiter.doubt(at(0));
    assert_eq!(burst(&mut limiter, 1), 100);
}

/// Guards against full load on a cold server while the node does not know the limit yet.
#[test]
fn admit_unknown_limit() {
    let mut limiter = ColdLimiter::default();
    limiter.update(at(0), ColdRule::Unknown, announced(true, 0));
    assert_eq!(burst(&mut limiter, 1), 0);
    limiter.update(at(2), ColdRule::Unknown, announced(false, 2));
    assert_eq!(burst(&mut limiter, 2), 100);
}

fn cold_queue() -> CallQueue {
    let mut queue = CallQueue::new();
    queue.set_cold(at(0), LIMITED, announced(true, 0));
    queue.set_slots(at(0), 12);
    queue
}

/// Guards against calls that are refused though a cold server could run them in time, and against
/// calls that wait in vain.
#[test]
fn admit_cold_server_full() {
    let mut queue = cold_queue();
    let mut admit =
        |ms, deadline| queue.admit(at(ms), requirements("r1", 1, at(ms), 500, deadline));
    for _ in 0..CALLS_PER_SECOND {
        assert_eq!(admit(2_000, 3_000), Admission::Run);
    }
    assert!(matches!(admit(2_500, 3_000), Admission::Wait(_)));
    let Admission::Refused { reason, retry_after } = admit(2_500, 400) else {
        panic!("the call can't be run in time");
    };
    assert_eq!((reason, retry_after), (RefusalReason::ColdServer, Micros::new(500_000)));
    assert_eq!(queue.next_cold_admission(at(2_500)), Some(Micros::new(500_000)));
    assert!(queue.admit_waiting(at(2_999)).is_empty());
    let woken = queue.admit_waiting(at(3_000));
    assert_eq!(woken.iter().map(|wakeup| wakeup.refused).collect::<Vec<_>>(), [None]);
}

/// Guards against calls that wait for a server that has become cold until after their deadlines.
#[test]
fn doubt_with_waiting_calls() {
    let mut queue = CallQueue::new();
    queue.set_cold(at(0), LIMITED, announced(false, 0));
    queue.set_slots(at(0), 12);
    for _ in 0..12 {
        queue.admit(at(5_000), requirements("r1", 1, at(5_000), 500, 900));
    }
    let call = requirements("r1", 1, at(5_001), 500, 900);
    assert!(matches!(queue.admit(at(5_001), call), Admission::Wait(_)));
    let (is_limited, woken) = queue.doubt_server(at(5_002));
    let reasons: Vec<_> = woken.iter().filter_map(|wakeup| wakeup.refused).collect();
    assert!(is_limited && reasons.len() == 1);
    assert_eq!(reasons[0].0, RefusalReason::ColdServer);
}

/// Returns endpoints of which the first `cold` are cold.
fn cold_endpoints(count: usize, cold: usize) -> ServiceEndpoints {
    let mut endpoints: Vec<_> =
        (0..count).map(|n| endpoint(&format!("n{n}"), "dc-a", "v1")).collect();
    for endpoint in endpoints.iter_mut().take(cold) {
        endpoint.is_cold = true;
        endpoint.cold_rate = Some(RATE);
    }
    ServiceEndpoints { endpoints, rule: VersionRule::Any }
}

/// Returns how many of `calls` go to each node, or are refused. Each endpoint takes 12 calls at a
/// time for 100 ms and is as busy as the others.
fn chosen(endpoints: &ServiceEndpoints, now: Instant, calls: usize) -> BTreeMap<String, usize> {
    let route = route("r1", "/x/", "bays");
    let mut balancer = LoadBalancer::new("dc-a".parse().unwrap());
    for endpoint in &endpoints.endpoints {
        let load = balancer.load(&endpoint.node);
        load.record_run_time(&route.name, Micros::new(100_000), Micros::new(0));
        let ahead = if endpoint.is_cold { 0 } else { 30 };
        load.record_report(now, &route.name, ahead, Some(Micros::new(100_000)));
    }
    let call = LoadBalancerContext {
        route: &route,
        target_left: route.target_latency.into(),
        deadline_left: route.timeout.into(),
        to_new: false,
        tried_nodes: &[],
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts = BTreeMap::new();
    for _ in 0..calls {
        let name = match balancer.choose(now, &call, endpoints, &mut rng) {
            Some(endpoint) => endpoint.node.to_string(),
            None => balancer.refusal(now, &call, endpoints).unwrap().0.to_string(),
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}

/// Guards against entry nodes that all send their calls to the cold endpoint without a queue, which
/// refuses them. Four endpoints take 480 calls a second; a cold one is to get 6.4 of these.
#[test]
fn choose_cold_endpoint() {
    let counts = chosen(&cold_endpoints(4, 2), at(2_000), 48_000);
    for node in ["n0", "n1"] {
        assert!((540..=740).contains(&counts[node]), "{counts:?}");
    }
}

/// Guards against refusals at the entry node while a cold endpoint could take the call, and against
/// calls in vain after it has refused one.
#[test]
fn choose_only_cold_endpoints() {
    let endpoints = cold_endpoints(1, 1);
    assert_eq!(chosen(&endpoints, at(2_000), 100)["n0"], 100);
    let route = route("r1", "/x/", "bays");
    let mut balancer = LoadBalancer::new("dc-a".parse().unwrap());
    balancer.load(&"n0".parse().unwrap()).record_cold_refusal(at(2_000), Micros::new(300_000));
    let call = LoadBalancerContext {
        route: &route,
        target_left: route.target_latency.into(),
        deadline_left: route.timeout.into(),
        to_new: false,
        tried_nodes: &[],
    };
    let mut rng = SmallRng::seed_from_u64(1);
    assert_eq!(balancer.choose(at(2_100), &call, &endpoints, &mut rng), None);
    let refusal = balancer.refusal(at(2_100), &call, &endpoints);
    assert_eq!(refusal, Some((RefusalReason::ColdServer, Micros::new(200_000))));
    assert!(balancer.choose(at(2_300), &call, &endpoints, &mut rng).is_some());
}

/// Guards against calls that leave an evacuated data centre all at once, or not at all.
#[test]
fn choose_during_evacuation() {
    let mut endpoints = cold_endpoints(2, 0);
    endpoints.endpoints[0].ramp = TrafficRamp::OPEN.close(at(10_000));
    let share = |ms| {
        let mut alone = endpoints.clone();
        alone.endpoints[1].is_silent = true;
        let counts = chosen(&alone, at(ms), 2_000);
        counts.get("n0").copied().unwrap_or_default()
    };
    assert_eq!(share(10_000), 2_000);
    assert!((900..=1_100).contains(&share(11_000)), "{}", share(11_000));
    assert_eq!(share(12_000), 0);
}

/// Guards against calls to a data centre whose evacuation is ordered because no other one is left,
/// and against refusals of these calls before the order takes effect.
#[test]
fn choose_all_evacuated() {
    let mut endpoints = cold_endpoints(2, 0);
    for endpoint in &mut endpoints.endpoints {
        endpoint.ramp = TrafficRamp::OPEN.close(at(10_000));
    }
    assert!(!chosen(&endpoints, at(11_900), 100).contains_key("evacuated"));
    assert_eq!(chosen(&endpoints, at(12_000), 100)["evacuated"], 100);
}
