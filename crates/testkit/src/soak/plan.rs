//! Draws the faults of a run.

use std::ops::Range;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};

use crate::platform::{KvMode, WorkerFault};

use super::{Action, LinkMode, NODES, Step};

/// Run time of a server without a fault.
const RUN_TIME: Duration = Duration::from_millis(5);

/// The faults of a run, in the order of their times.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The seed from which the plan was drawn.
    pub seed: u64,
    /// How long callers send requests.
    pub length: Duration,
    /// What is done to the fleet.
    pub steps: Vec<Step>,
}

/// Draws steps of a plan one after another.
struct Drawing {
    rng: SmallRng,
    length: Duration,
    steps: Vec<Step>,
}

/// Draws a fault that begins at the given time.
type DrawFault = fn(&mut Drawing, Duration);

impl Plan {
    /// Draws the plan of `seed`. Each kind of fault is left out in about half of the plans, so that
    /// some runs show what the others would excuse.
    pub fn draw(seed: u64, length: Duration) -> Self {
        let mut drawing = Drawing { rng: SmallRng::seed_from_u64(seed), length, steps: Vec::new() };
        drawing.lane(800..2_500, Drawing::configure);
        let lanes: [(Range<u64>, DrawFault); 8] = [
            (500..4_000, Drawing::stop),
            (500..4_000, Drawing::stop),
            (2_000..6_000, Drawing::kill),
            (1_000..5_000, Drawing::pause),
            (1_000..4_000, Drawing::cut_links),
            (2_000..6_000, Drawing::fail_store),
            (1_000..4_000, Drawing::fail_server),
            (3_000..8_000, Drawing::depart),
        ];
        for (gap_ms, draw) in lanes {
            if drawing.rng.random() {
                drawing.lane(gap_ms, draw);
            }
        }
        let mut steps = drawing.steps;
        steps.sort_by_key(|step| step.at);
        Self { seed, length, steps }
    }
}

impl Drawing {
    /// Draws faults one after another, with `gap_ms` between their beginnings.
    fn lane(&mut self, gap_ms: Range<u64>, draw: DrawFault) {
        let mut at = self.millis(0..gap_ms.end);
        while at < self.length {
            draw(self, at);
            at += self.millis(gap_ms.clone());
        }
    }

    fn push(&mut self, at: Duration, action: Action) {
        self.steps.push(Step { at, action });
    }

    fn millis(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn node(&mut self) -> usize {
        self.rng.random_range(0..NODES)
    }

    fn configure(&mut self, at: Duration) {
        let (withdrawn, added) = (self.rng.random_range(0..=2), self.rng.random_range(0..=2));
        self.push(at, Action::Configure { withdrawn, added });
    }

    /// Stops one node or several in series. Sometimes a stop meets a pause, a kill or a reload.
    fn stop(&mut self, at: Duration) {
        let (first, nodes) =
            (self.node(), *[1, 1, 1, 2, NODES].choose(&mut self.rng).unwrap_or(&1));
        let gap = self.millis(0..1_500);
        for (n, node) in (first..first + nodes).map(|node| node % NODES).enumerate() {
            let at = at + gap * n as u32;
            let down = self.millis(0..1_500);
            self.push(at, Action::Stop(node, down));
            let during = at + self.millis(50..3_000);
            match self.rng.random_range(0..12) {
                0 => self.pause_node(during, node),
                1 => self.push(during, Action::Kill(node, down)),
                2 => self.push(during, Action::Reload(node)),
                _ => {}
            }
        }
    }

    fn kill(&mut self, at: Duration) {
        let (first, nodes) = (self.node(), *[1, 1, 1, 2, 3].choose(&mut self.rng).unwrap_or(&1));
        for node in (first..first + nodes).map(|node| node % NODES) {
            let down = self.millis(0..3_000);
            self.push(at, Action::Kill(node, down));
        }
    }

    fn pause(&mut self, at: Duration) {
        let node = self.node();
        self.pause_node(at, node);
    }

    fn pause_node(&mut self, at: Duration, node: usize) {
        let resumed = at + self.millis(100..3_500);
        self.push(at, Action::Pause(node));
        self.push(resumed, Action::Resume(node));
    }

    /// Cuts the links between the store and some nodes.
    fn cut_links(&mut self, at: Duration) {
        let delay = self.millis(5..120);
        let modes =
            [LinkMode::Stalled, LinkMode::LosesAnswers, LinkMode::Closed, LinkMode::Delayed(delay)];
        let mode = *modes.choose(&mut self.rng).unwrap_or(&LinkMode::Stalled);
        let healed = at + self.millis(500..4_000);
        let share = self.rng.random_range(0.2..0.9);
        for node in 0..NODES {
            if self.rng.random_bool(share) {
                self.push(at, Action::SetLink(node, mode));
                self.push(healed, Action::SetLink(node, LinkMode::Open));
            }
        }
    }

    fn fail_store(&mut self, at: Duration) {
        let modes = [KvMode::Down, KvMode::Busy, KvMode::Silent];
        let mode = *modes.choose(&mut self.rng).unwrap_or(&KvMode::Down);
        let healed = at + self.millis(300..2_500);
        self.push(at, Action::SetStore(mode));
        self.push(healed, Action::SetStore(KvMode::Up));
    }

    fn fail_server(&mut self, at: Duration) {
        let faults = [
            WorkerFault::None,
            WorkerFault::LosesAnswers,
            WorkerFault::Sheds,
            WorkerFault::WrongId,
            WorkerFault::ClaimsFailure,
            WorkerFault::Stalls,
        ];
        let fault = *faults.choose(&mut self.rng).unwrap_or(&WorkerFault::None);
        let (node, run_time) = (self.node(), self.millis(5..250));
        let healed = at + self.millis(200..2_500);
        self.push(at, Action::SetServer(node, fault, run_time));
        self.push(healed, Action::SetServer(node, WorkerFault::None, RUN_TIME));
    }

    fn depart(&mut self, at: Duration) {
        let node = self.node();
        let replaced = at + self.millis(1_000..6_000);
        self.push(at, Action::Depart(node));
        self.push(replaced, Action::Replace(node));
    }
}
