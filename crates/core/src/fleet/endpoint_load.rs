//! The load and failures of an endpoint as this node observes them.

use std::collections::HashMap;

use crate::fleet::ServiceTimes;
use crate::ids::RouteName;
use crate::units::{Instant, Micros, Millis};

/// The load and failures of an endpoint as this node observes them.
#[derive(Debug, Default)]
pub struct EndpointLoad {
    /// The calls before a call of each route, as the endpoint last reported.
    reports: HashMap<RouteName, LoadReport>,
    /// Calls sent there.
    sent_calls: u64,
    /// Calls of this node that are there now.
    in_flight: u32,
    /// The mean time of a call there.
    mean_run_time: Option<Micros>,
    /// How long calls of each route run there.
    times: ServiceTimes,
    /// The share of failures, newest weighted most.
    failure_share: f64,
    /// When the last failure came.
    failed_at: Option<Instant>,
    /// Until then the endpoint is ejected: calls prefer all others.
    ejected_until: Instant,
}

/// The calls before a call of a route when the endpoint answered one.
#[derive(Debug, Clone, Copy)]
struct LoadReport {
    calls_ahead: u32,
    reported_at: Instant,
    /// The calls sent there until then.
    sent_calls: u64,
}

impl EndpointLoad {
    /// A report older than this says nothing of the present load.
    pub const MAX_REPORT_AGE: Millis = Millis::new(1_000);
    /// The weight of the newest call in the share of failures.
    const NEWEST_FAILURE_WEIGHT: f64 = 0.15;
    /// The time in which the share of failures halves without calls, so that an endpoint that is
    /// ejected is tried again.
    const FAILURE_HALF_LIFE: Millis = Millis::new(2_000);
    /// How long an endpoint that can't be reached is ejected.
    const UNREACHABLE_EJECTION_TIME: Millis = Millis::new(500);
    /// How long an endpoint that refuses is ejected, unless nothing else is left.
    const REFUSAL_EJECTION_TIME: Millis = Millis::new(100);

    /// A call is sent.
    pub fn sent(&mut self) {
        self.in_flight += 1;
        self.sent_calls += 1;
    }

    /// A call has ended, however.
    pub fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// The endpoint reported the calls before a call of `route`, and the mean time of a call.
    pub fn report(
        &mut self,
        now: Instant,
        route: &RouteName,
        calls_ahead: u32,
        mean: Option<Micros>,
    ) {
        let report = LoadReport { calls_ahead, reported_at: now, sent_calls: self.sent_calls };
        match self.reports.get_mut(route) {
            Some(known) => *known = report,
            None => {
                self.reports.insert(route.clone(), report);
            }
        }
        self.mean_run_time = mean.or(self.mean_run_time);
    }

    /// A call of `route` was answered and had run for `took`.
    pub fn ran(&mut self, route: &RouteName, took: Micros) {
        self.times.record(route, took);
    }

    /// How long a call of `route` runs there; `None` if no call was answered yet.
    pub fn expected(&self, route: &RouteName) -> Option<Micros> {
        self.times.route_mean(route)
    }

    /// A call was answered.
    pub fn answered(&mut self) {
        self.failure_share -= Self::NEWEST_FAILURE_WEIGHT * self.failure_share;
    }

    /// A call failed after it arrived.
    pub fn failed(&mut self, now: Instant) {
        self.failure_share = self.failure_share_at(now);
        self.failure_share += Self::NEWEST_FAILURE_WEIGHT * (1.0 - self.failure_share);
        self.failed_at = Some(now);
    }

    /// The endpoint could not be reached.
    pub fn unreachable(&mut self, now: Instant) {
        self.failed(now);
        self.ejected_until = now + Self::UNREACHABLE_EJECTION_TIME;
    }

    /// The endpoint refused a call unrun.
    pub fn refused(&mut self, now: Instant) {
        self.ejected_until = self.ejected_until.max(now + Self::REFUSAL_EJECTION_TIME);
    }

    /// Whether the endpoint is ejected at `now`.
    pub fn is_ejected(&self, now: Instant) -> bool {
        now < self.ejected_until
    }

    /// The calls that are likely to run, or to wait before a call of `route`.
    pub fn calls_ahead(&self, now: Instant, route: &RouteName) -> u32 {
        let is_fresh =
            |report: &&LoadReport| now.since(report.reported_at) < Self::MAX_REPORT_AGE.into();
        let report = self.reports.get(route).filter(is_fresh);
        let reported = report.map_or(0, |report| {
            report.calls_ahead
                + u32::try_from(self.sent_calls - report.sent_calls).unwrap_or(u32::MAX)
        });
        reported.max(self.in_flight)
    }

    /// When the endpoint last reported its load.
    pub fn reported_at(&self) -> Option<Instant> {
        self.reports.values().map(|report| report.reported_at).max()
    }

    /// The mean time of a call there; `None` if it is not known.
    pub const fn mean(&self) -> Option<Micros> {
        self.mean_run_time
    }

    /// The share of failures at `now`, from 0 to 1.
    pub fn failure_share_at(&self, now: Instant) -> f64 {
        let Some(failed_at) = self.failed_at else { return self.failure_share };
        let halvings =
            now.since(failed_at).get() as f64 / Micros::from(Self::FAILURE_HALF_LIFE).get() as f64;
        self.failure_share * (-halvings).exp2()
    }
}
