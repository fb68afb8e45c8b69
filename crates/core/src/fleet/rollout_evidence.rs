//! What was observed of a version during a rollout.

use crate::fleet::{EvidenceWindow, RouteEvidence, RouteKey, VersionEvidence};

/// What one node, or several together, observed of a version during a rollout.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutEvidence {
    /// The calls since the order, by route. Holds [`Self::MAX_ROUTES`] routes of a node at most.
    pub all: VersionEvidence,
    /// Those of `all` that began while the new version got calls as well. Both versions met the
    /// same load in these, so a peak that slows both doesn't count against the new one alone. Empty
    /// for the new version, as it would equal `all`.
    pub concurrent: VersionEvidence,
    /// The calls since the order on all routes, by the window in which they began. Holds
    /// [`EvidenceWindow::MAX_WINDOWS`] at most. Empty in a report if the routes have enough calls to
    /// be judged alone.
    pub windows: Vec<EvidenceWindow>,
}

impl RolloutEvidence {
    /// The largest number of routes of a node that are counted apart. The calls of further ones only
    /// count in their windows.
    pub const MAX_ROUTES: usize = 2_048;
    /// Routes with fewer calls than this in the mean are judged together as well.
    const SPARSE_CALLS: u64 = 8;

    /// Counts a call of `route` that began in `window`.
    pub(super) fn record(
        &mut self,
        route: RouteKey,
        window: usize,
        is_concurrent: bool,
        count: impl Fn(&mut RouteEvidence),
    ) {
        let window = window.min(EvidenceWindow::MAX_WINDOWS - 1);
        if self.windows.len() <= window {
            self.windows.resize_with(window + 1, EvidenceWindow::default);
        }
        let is_counted =
            self.all.routes.contains_key(&route) || self.all.routes.len() < Self::MAX_ROUTES;
        if is_counted {
            count(self.all.routes.entry(route).or_default());
        }
        count(&mut self.windows[window].all);
        if is_concurrent {
            if is_counted {
                count(self.concurrent.routes.entry(route).or_default());
            }
            count(&mut self.windows[window].concurrent);
        }
    }

    /// Adds what another node observed.
    pub fn add(&mut self, other: &Self) {
        self.all.add(&other.all);
        self.concurrent.add(&other.concurrent);
        self.add_windows(&other.windows);
    }

    /// Adds windows of another node.
    pub fn add_windows(&mut self, windows: &[EvidenceWindow]) {
        if self.windows.len() < windows.len() {
            self.windows.resize_with(windows.len(), EvidenceWindow::default);
        }
        self.windows.iter_mut().zip(windows).for_each(|(sum, window)| sum.add(window));
    }

    /// Replaces the counts that a later report of the same node names.
    pub(super) fn merge_part(&mut self, part: &Self) {
        let merge = |known: &mut VersionEvidence, part: &VersionEvidence| {
            for (route, counts) in &part.routes {
                if known.routes.len() < Self::MAX_ROUTES || known.routes.contains_key(route) {
                    known.routes.insert(*route, counts.clone());
                }
            }
        };
        merge(&mut self.all, &part.all);
        merge(&mut self.concurrent, &part.concurrent);
        if !part.windows.is_empty() {
            self.windows.clone_from(&part.windows);
        }
    }

    /// Removes the evidence of single routes. Returns whether there was some.
    pub(super) fn leave_out_routes(&mut self) -> bool {
        let had_routes = !self.all.routes.is_empty();
        self.all.routes.clear();
        self.concurrent.routes.clear();
        had_routes
    }

    /// Returns the evidence of `routes`, with the windows unless each route has enough calls.
    pub(super) fn part(&self, routes: &[RouteKey]) -> Self {
        let pick = |evidence: &VersionEvidence| {
            let counts = |route: &RouteKey| Some((*route, evidence.routes.get(route)?.clone()));
            VersionEvidence { routes: routes.iter().filter_map(counts).collect() }
        };
        let windows = if self.is_sparse() { self.windows.clone() } else { Vec::new() };
        Self { all: pick(&self.all), concurrent: pick(&self.concurrent), windows }
    }

    /// Returns whether there are so many routes that the evidence isn't worth a judgement at each
    /// event.
    pub(super) fn is_large(&self) -> bool {
        const FEW_ROUTES: usize = 64;
        self.all.routes.len() > FEW_ROUTES
    }

    /// Returns whether the routes have few calls in the mean.
    fn is_sparse(&self) -> bool {
        let calls: u64 = self.windows.iter().map(|window| window.all.calls()).sum();
        calls < Self::SPARSE_CALLS * self.all.routes.len() as u64
    }
}
