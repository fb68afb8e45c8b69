//! Replays a load pattern at one server.

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::call::Call;
use super::kind::Kind;
use super::outcomes::Outcomes;
use super::pattern::Pattern;
use super::policy::Policy;
use super::queue::{Queue, Step};
use super::site::Site;

/// A replay of a load pattern at one server.
#[derive(Debug, Clone, Copy)]
pub struct Replay {
    pub site: Site,
    pub pattern: Pattern,
    pub policy: Policy,
    pub seed: u64,
}

/// How the calls ended that arrived while the pattern lasted.
#[derive(Debug, Clone)]
pub struct Report {
    pub kinds: Vec<Outcomes>,
    /// The calls of each team, the largest one first.
    pub teams: Vec<Outcomes>,
}

/// The state of a replay in progress.
struct Run {
    kinds: Vec<Kind>,
    queue: Queue,
    /// The running calls with the time of their end.
    running: Vec<(u64, Call)>,
    report: Report,
}

impl Replay {
    /// The time with the usual load before the pattern begins, in milliseconds.
    const USUAL_MS: u64 = 20_000;
    /// How long the pattern lasts, in milliseconds.
    const PATTERN_MS: u64 = 30_000;
    /// The exponent of the power law by which the sizes of the teams fall off.
    const TEAM_EXPONENT: f64 = 1.2;
    /// The time after the pattern until all calls have ended, in milliseconds.
    const END_MS: u64 = 20_000;

    pub fn run(self) -> Report {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let kinds = self.site.kinds();
        let report = Report {
            kinds: vec![Outcomes::default(); kinds.len()],
            teams: vec![Outcomes::default(); self.site.teams()],
        };
        let queue = Queue::new(self.site, self.policy);
        let mut run = Run { kinds, queue, running: Vec::new(), report };
        let utilization = utilization(self.site, &run.kinds);
        for now in 0..Self::USUAL_MS + Self::PATTERN_MS + Self::END_MS {
            run.end_calls(now);
            if now >= Self::USUAL_MS + Self::PATTERN_MS {
                continue;
            }
            let pattern = if now < Self::USUAL_MS { Pattern::Usual } else { self.pattern };
            let weights = team_weights(self.site, pattern);
            let surge = weights.iter().sum::<f64>().max(1.0);
            for index in 0..run.kinds.len() {
                let kind = run.kinds[index];
                let surge = if kind.is_made { 1.0 } else { surge };
                let rate = kind.rate * pattern.load(&kind, utilization) * surge;
                if rng.random_bool((rate / 1_000.0).min(1.0)) {
                    let team = (!kind.is_made).then(|| draw(&mut rng, &weights)).flatten();
                    let team = team.map(|team| (team, self.site.team_priority(team)));
                    let tail = if rng.random_bool(kind.tail) { Kind::TAIL_FACTOR } else { 1.0 };
                    let spread = rng.random_range(0.5..1.5);
                    let work = kind.work * pattern.slowness() * tail * spread;
                    run.arrive(now, Call::new(now, index, &kind, team, work as u64));
                }
            }
        }
        run.report
    }
}

impl Run {
    fn arrive(&mut self, now: u64, call: Call) {
        let step = self.queue.arrive(now, call);
        self.apply(now, step);
    }

    fn end_calls(&mut self, now: u64) {
        let is_over = |(end, _): &mut (u64, Call)| *end <= now;
        let ended: Vec<_> = self.running.extract_if(.., is_over).collect();
        for (_, call) in ended {
            let (kind, took) = (self.kinds[call.kind], now - call.arrived_at);
            self.record(&call, |outcomes| match took {
                _ if took <= kind.target => &mut outcomes.in_time,
                _ if took <= kind.deadline => &mut outcomes.late,
                _ => &mut outcomes.lost,
            });
            let step = self.queue.end(now, &call);
            self.apply(now, step);
        }
    }

    fn apply(&mut self, now: u64, step: Step) {
        for call in &step.refused {
            self.record(call, |outcomes| &mut outcomes.refused);
        }
        self.running.extend(step.begun.into_iter().map(|call| (now + call.work, call)));
    }

    fn record(&mut self, call: &Call, count: impl Fn(&mut Outcomes) -> &mut u32) {
        if call.arrived_at < Replay::USUAL_MS {
            return;
        }
        *count(&mut self.report.kinds[call.kind]) += 1;
        if let Some(team) = call.team {
            *count(&mut self.report.teams[team]) += 1;
        }
    }
}

impl Report {
    /// Returns the sum over all kinds.
    pub fn all(&self) -> Outcomes {
        self.kinds.iter().fold(Outcomes::default(), |sum, kind| sum.with(*kind))
    }

    /// Returns the sum over all teams but `excluded`.
    pub fn other_teams(&self, excluded: Option<usize>) -> Outcomes {
        let others = self.teams.iter().enumerate().filter(|(team, _)| Some(*team) != excluded);
        others.fold(Outcomes::default(), |sum, (_, team)| sum.with(*team))
    }

    /// Returns the lowest ratio of served calls of a kind or of a team with at least `min_calls`,
    /// relative to that of all calls.
    pub fn lowest_relative(&self, min_calls: u32) -> f64 {
        let counted = self.kinds.iter().chain(&self.teams).filter(|o| o.calls() >= min_calls);
        counted.map(|outcomes| outcomes.served()).fold(1.0, f64::min) / self.all().served()
    }
}

/// Returns the part of the slots that the usual load takes.
fn utilization(site: Site, kinds: &[Kind]) -> f64 {
    let work = kinds.iter().map(|kind| {
        kind.rate * kind.work * (1.0 + kind.tail * (Kind::TAIL_FACTOR - 1.0)) / 1_000.0
    });
    work.sum::<f64>() / f64::from(site.slots())
}

/// Returns the part of the usual calls that each team makes.
fn team_weights(site: Site, pattern: Pattern) -> Vec<f64> {
    let size = |team: usize| ((team + 1) as f64).powf(-Replay::TEAM_EXPONENT);
    let all: f64 = (0..site.teams()).map(size).sum();
    (0..site.teams()).map(|team| pattern.team_load(team) * size(team) / all).collect()
}

/// Draws a team; `None` if there are none.
fn draw(rng: &mut SmallRng, weights: &[f64]) -> Option<usize> {
    let mut rest = rng.random_range(0.0..weights.iter().sum::<f64>().max(f64::MIN_POSITIVE));
    for (team, weight) in weights.iter().enumerate() {
        rest -= weight;
        if rest < 0.0 {
            return Some(team);
        }
    }
    weights.len().checked_sub(1)
}
