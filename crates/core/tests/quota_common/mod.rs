//! A fleet of nodes that keep the quota of one team, in simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;

use almondsail_core::fleet::{Quota, Team};
use almondsail_core::ids::{ConfigVersion, QuotaRequestId};
use almondsail_core::quota::{
    QuotaCall, QuotaDecision, QuotaMembers, QuotaMessage, QuotaNode, QuotaNodeCounts, QuotaOwner,
    QuotaRequester, QuotaSettings,
};
use almondsail_core::units::{CallRate, Instant, Micros, Millis};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// Largest number of nodes that all hear each other directly, as in `PeerDirectory`.
const MAX_MESH_NODES: usize = 80;
const HEARTBEAT_INTERVAL: Millis = Millis::new(300);
const MEMBERS_INTERVAL: Millis = Millis::new(100);
/// How long a node that starts has no configuration.
const START_TIME: Millis = Millis::new(300);
/// How long a call may wait for a token.
const MAX_WAIT: Millis = Millis::new(120);

/// The network between the nodes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Network {
    pub lost: f64,
    pub doubled: f64,
    /// The share of datagrams that take up to half a second.
    pub late: f64,
}

/// What is simulated.
#[derive(Debug, Clone)]
pub struct Setting {
    pub nodes: usize,
    pub data_centres: usize,
    pub quota: Quota,
    /// Calls per second of the team over all nodes.
    pub demand: f64,
    /// The nodes that the calls arrive at.
    pub callers: Range<usize>,
    pub network: Network,
    pub seed: u64,
}

impl Setting {
    pub fn new(nodes: usize, rate: f64, burst: u32, demand: f64, seed: u64) -> Self {
        Self {
            nodes,
            data_centres: 4,
            quota: quota(rate, burst),
            demand,
            callers: 0..nodes,
            network: Network::default(),
            seed,
        }
    }
}

pub fn quota(rate: f64, burst: u32) -> Quota {
    Quota { rate: CallRate::from_milli((rate * 1e3) as u64), burst }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call,
    Arrive { node: usize, call: usize },
    Decide { node: usize, call: usize },
    Datagram { from: usize, to: usize, message: usize },
    Heartbeat(usize),
    Members(usize),
    Restart(usize),
}

struct Node {
    is_up: bool,
    frozen_until: Instant,
    started: Instant,
    members: QuotaMembers,
    requester: QuotaRequester,
    owner: QuotaOwner,
    heartbeats: u64,
    /// Waiting calls with the ends of their waits.
    waiting: Vec<(usize, Instant)>,
}

impl Node {
    fn start(n: usize, now: Instant, starts: u64) -> Self {
        Self {
            is_up: true,
            frozen_until: now,
            started: now,
            members: QuotaMembers::new(node_name(n).parse().unwrap(), now),
            requester: QuotaRequester::new(QuotaRequestId::new((n as u64) << 32 | starts << 24)),
            owner: QuotaOwner::new(QuotaSettings::default()),
            heartbeats: 0,
            waiting: Vec::new(),
        }
    }
}

/// Returns the heartbeat timeout, and how long a node counts at an owner, as in `PeerDirectory`.
fn times(is_mesh: bool, is_local: bool) -> (Micros, Micros) {
    let (timeout, counted_for) = match (is_mesh, is_local) {
        (true, true) => (1_300, 700),
        (true, false) => (3_300, 1_300),
        (false, true) => (2_300, 1_700),
        (false, false) => (5_800, 3_800),
    };
    (Millis::new(timeout).into(), Millis::new(counted_for).into())
}

fn node_name(n: usize) -> String {
    format!("node-{n:04}")
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(10, 0, (n >> 8) as u8, n as u8).into(), 7_000)
}

/// A fleet in simulated time.
pub struct Fleet {
    pub setting: Setting,
    pub now: Instant,
    /// When calls got a token.
    pub admitted: Vec<Instant>,
    pub offered: u64,
    pub refused: u64,
    pub unknown: u64,
    pub datagrams: u64,
    team: Team,
    nodes: Vec<Node>,
    /// The nodes as those of other data centres and of the same one see them.
    candidates: [Vec<QuotaNode>; 2],
    /// The sides of a cut network, by node.
    sides: Vec<u8>,
    /// When each node last heard each other.
    heard: Vec<Vec<Instant>>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    messages: Vec<QuotaMessage>,
    next: u64,
    calls: usize,
    rng: SmallRng,
}

impl Fleet {
    /// Starts a fleet whose nodes know each other.
    pub fn start(setting: Setting) -> Self {
        let now = Instant::new(1_000_000_000);
        let n = setting.nodes;
        let team = Team { name: "acme".parse().unwrap(), priority: 0, quota: Some(setting.quota) };
        let candidates = [false, true].map(|is_local| {
            let counted_for = times(n <= MAX_MESH_NODES, is_local).1;
            let node = |i| QuotaNode::new(node_name(i).parse().unwrap(), address(i), counted_for);
            (0..n).map(node).collect()
        });
        let mut fleet = Self {
            candidates,
            now,
            admitted: Vec::new(),
            offered: 0,
            refused: 0,
            unknown: 0,
            datagrams: 0,
            team,
            nodes: (0..n).map(|i| Node::start(i, Instant::new(990_000_000), 0)).collect(),
            sides: vec![0; n],
            heard: vec![vec![now; n]; n],
            events: BinaryHeap::new(),
            messages: Vec::new(),
            next: 0,
            calls: 0,
            rng: SmallRng::seed_from_u64(setting.seed),
            setting,
        };
        for i in 0..n {
            let offset = Micros::new(fleet.rng.random_range(0..100_000));
            fleet.push(now + offset, Event::Heartbeat(i));
            fleet.push(now + Micros::new(1), Event::Members(i));
        }
        fleet.push(now + Millis::new(200), Event::Call);
        fleet
    }

    pub fn run_for(&mut self, span: Millis) {
        let end = self.now + span;
        while let Some(Reverse((at, _, _))) = self.events.peek()
            && *at <= end
        {
            let Some(Reverse((at, _, event))) = self.events.pop() else { return };
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Returns the node that keeps the quota by the view of the first node that is up.
    pub fn owner(&self) -> usize {
        let node = self.nodes.iter().find(|node| node.is_up).expect("a node");
        let keepers = node.members.keepers("acme");
        let name = keepers[0].node.as_str().strip_prefix("node-").unwrap();
        name.parse().unwrap()
    }

    pub fn kill(&mut self, n: usize, restart_after: Millis) {
        self.nodes[n].is_up = false;
        self.push(self.now + restart_after, Event::Restart(n));
    }

    pub fn freeze(&mut self, n: usize, span: Millis) {
        self.nodes[n].frozen_until = self.now + span;
    }

    /// Cuts the nodes for which `is_cut` holds off from the others.
    pub fn cut(&mut self, is_cut: impl Fn(usize) -> bool) {
        for (n, side) in self.sides.iter_mut().enumerate() {
            *side = u8::from(is_cut(n));
        }
    }

    pub fn set_quota(&mut self, quota: Quota) {
        self.setting.quota = quota;
        self.team.quota = Some(quota);
    }

    pub fn data_centre(&self, n: usize) -> usize {
        n % self.setting.data_centres
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at, self.next, event)));
    }

    fn handle(&mut self, event: Event) {
        let node = match &event {
            Event::Call | Event::Restart(_) => None,
            Event::Arrive { node, .. } | Event::Decide { node, .. } => Some(*node),
            Event::Datagram { to, .. } => Some(*to),
            Event::Heartbeat(n) | Event::Members(n) => Some(*n),
        };
        if let Some(n) = node {
            let node = &self.nodes[n];
            if node.is_up && node.frozen_until > self.now {
                self.push(node.frozen_until, event);
                return;
            }
        }
        match event {
            Event::Call => self.handle_call(),
            Event::Arrive { node, call } => self.decide(node, call, true),
            Event::Decide { node, call } => self.decide(node, call, false),
            Event::Datagram { from, to, message } => self.handle_datagram(from, to, message),
            Event::Heartbeat(n) => self.send_heartbeat(n),
            Event::Members(n) => self.update_members(n),
            Event::Restart(n) => self.restart(n),
        }
    }

    fn handle_call(&mut self) {
        let gap = -self.rng.random::<f64>().max(1e-9).ln() / self.setting.demand;
        self.push(self.now + Micros::new((gap * 1e6) as u64 + 1), Event::Call);
        let n = self.rng.random_range(self.setting.callers.clone());
        if !self.nodes[n].is_up || self.now < self.nodes[n].started + START_TIME {
            return;
        }
        self.offered += 1;
        self.calls += 1;
        self.push(self.now, Event::Arrive { node: n, call: self.calls });
    }

    fn decide(&mut self, n: usize, call: usize, is_new: bool) {
        let node = &mut self.nodes[n];
        if !node.is_up {
            return;
        }
        let waiting = node.waiting.iter().position(|(other, _)| *other == call);
        let is_known = waiting.is_some();
        let latest = match waiting {
            Some(i) => node.waiting.swap_remove(i).1,
            None if is_new => self.now + MAX_WAIT,
            // A grant has ended the wait before its end.
            None => return,
        };
        let mut quota_call = QuotaCall { latest, is_waiting: is_known };
        let version = ConfigVersion::new(1);
        let decision = loop {
            let node = &mut self.nodes[n];
            let (decision, request) =
                node.requester.decide(self.now, &self.team, quota_call, &node.members, version);
            let Some(request) = request else { break decision };
            if request.to != address(n) {
                let to = (0..self.nodes.len()).find(|i| address(*i) == request.to).unwrap();
                self.send(n, to, QuotaMessage::Request(request.request));
                break decision;
            }
            let quota = self.team.quota.as_ref();
            let grant = node.owner.answer(self.now, &node.members, quota, &request.request);
            let _ = node.requester.receive(self.now, address(n), &grant);
            quota_call.is_waiting = matches!(decision, QuotaDecision::Wait(_));
            if !quota_call.is_waiting {
                break decision;
            }
        };
        match decision {
            QuotaDecision::Granted(_) | QuotaDecision::LocalShare => self.admitted.push(self.now),
            QuotaDecision::Refused(_) => self.refused += 1,
            QuotaDecision::Unknown(_) => self.unknown += 1,
            QuotaDecision::Wait(until) => {
                self.nodes[n].waiting.push((call, latest));
                let until = until.max(self.now + Micros::new(1));
                self.push(until, Event::Decide { node: n, call });
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: QuotaMessage) {
        self.datagrams += 1;
        self.messages.push(message);
        let message = self.messages.len() - 1;
        let network = self.setting.network;
        let copies = 1 + usize::from(self.rng.random_bool(network.doubled));
        for _ in 0..copies {
            if self.sides[from] != self.sides[to] || self.rng.random_bool(network.lost) {
                continue;
            }
            let most = if self.rng.random_bool(network.late) { 500_000 } else { 2_000 };
            let delay = Micros::new(self.rng.random_range(200..most));
            self.push(self.now + delay, Event::Datagram { from, to, message });
        }
    }

    fn handle_datagram(&mut self, from: usize, to: usize, message: usize) {
        let node = &mut self.nodes[to];
        if !node.is_up {
            return;
        }
        match &self.messages[message] {
            QuotaMessage::Request(request) => {
                let quota = self.team.quota.as_ref();
                let grant = node.owner.answer(self.now, &node.members, quota, request);
                self.send(to, from, QuotaMessage::Grant(grant));
            }
            QuotaMessage::Grant(grant) => {
                if node.requester.receive(self.now, address(from), grant).is_ok() {
                    let calls: Vec<usize> = node.waiting.iter().map(|(call, _)| *call).collect();
                    for call in calls {
                        self.decide(to, call, false);
                    }
                }
            }
        }
    }

    fn send_heartbeat(&mut self, n: usize) {
        if !self.nodes[n].is_up {
            return;
        }
        let interval = Micros::from(HEARTBEAT_INTERVAL).get();
        let next = self.rng.random_range(interval * 9 / 10..interval);
        self.push(self.now + Micros::new(next), Event::Heartbeat(n));
        self.nodes[n].heartbeats += 1;
        let is_remote_due = self.nodes[n].heartbeats % 3 == 1;
        for other in 0..self.nodes.len() {
            let is_local = self.data_centre(other) == self.data_centre(n);
            let is_heard = is_local || is_remote_due;
            if is_heard && self.sides[n] == self.sides[other] {
                self.heard[other][n] = self.now;
            }
        }
    }

    fn update_members(&mut self, n: usize) {
        if !self.nodes[n].is_up {
            return;
        }
        self.push(self.now + MEMBERS_INTERVAL, Event::Members(n));
        let is_mesh = self.nodes.len() <= MAX_MESH_NODES;
        let (mut candidates, mut fresh, mut local) = (Vec::new(), 0, 0);
        for other in 0..self.nodes.len() {
            let is_local = self.data_centre(other) == self.data_centre(n);
            let silence = self.now.since(self.heard[n][other]);
            let (timeout, counted_for) = times(is_mesh, is_local);
            if other == n || silence <= counted_for {
                fresh += 1;
                local += u32::from(is_local);
            }
            let is_ready = other != n || self.now >= self.nodes[n].started + START_TIME;
            if is_ready && (other == n || silence <= timeout) {
                candidates.push(self.candidates[usize::from(is_local)][other].clone());
            }
        }
        let known = self.nodes.len() as u32;
        let node = &mut self.nodes[n];
        let counts = QuotaNodeCounts { fresh, local, known };
        let members = node.members.update(self.now, candidates, counts, |_| false);
        if members.version != node.members.version {
            node.owner.update_members(self.now, &members);
        }
        node.members = members;
    }

    fn restart(&mut self, n: usize) {
        self.nodes[n] = Node::start(n, self.now, 1 + self.next % 200);
        self.heard[n].fill(Instant::default());
        // Others answer the first heartbeat of a node at once.
        for other in 0..self.nodes.len() {
            if self.sides[n] == self.sides[other] && self.nodes[other].is_up {
                self.heard[other][n] = self.now;
                self.heard[n][other] = self.now;
            }
        }
        self.push(self.now, Event::Heartbeat(n));
        self.push(self.now, Event::Members(n));
    }
}

/// Returns the largest number of calls in a sliding window of `span`.
pub fn most_in_window(times: &[Instant], span: Millis) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (i, time) in times.iter().enumerate() {
        while times[first] + span < *time {
            first += 1;
        }
        most = most.max(i + 1 - first);
    }
    most
}

/// Returns the largest number of calls in a window that the quota allows.
pub fn bound(quota: Quota) -> f64 {
    let settings = QuotaSettings::default();
    let window = settings.window.get() as f64 / 1e3;
    let calls = quota.rate.per_second() * window + f64::from(quota.burst);
    calls * (1.0 + f64::from(settings.overage.get()) / 1e3) + f64::from(settings.tolerance)
}
