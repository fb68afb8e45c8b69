//! The load and failures of an endpoint as this node observes them.

use std::collections::HashMap;

use crate::fleet::{ServiceRate, ServiceTimes};
use crate::ids::RouteName;
use crate::units::{Instant, Micros, Millis, Percent};

/// The load and failures of an endpoint as this node observes them.
#[derive(Debug, Default)]
pub struct EndpointLoad {
    /// The endpoint's last load report for each route.
    reports: HashMap<RouteName, LoadReport>,
    /// The number of calls sent to the endpoint so far.
    sent_calls: u64,
    /// The calls of this node that the endpoint has not ended yet.
    in_flight: u32,
    /// The mean run time of a call, as the endpoint last reported it.
    mean_run_time: Option<Micros>,
    /// The observed times of each route's calls at the endpoint and on the network. The run times
    /// of a server that reports its rate are normalised to 100%.
    times: ServiceTimes,
    /// The network times of calls to a server that reports its rate. The rate does not affect them.
    network_times: ServiceTimes,
    /// The server's rate as it was last reported; `None` if the server does not report it.
    rate: Option<ServiceRate>,
    /// The moving mean of failures, from 0 to 1, in which the newest call weighs most.
    failure_share: f64,
    /// When the last failure occurred, from which the share of failures decays.
    failed_at: Option<Instant>,
    /// The endpoint is ejected until this instant: calls prefer all others.
    ejected_until: Instant,
    /// The endpoint refuses further calls until this instant, because its server is cold.
    cold_until: Instant,
}

/// The calls ahead of a call of a route when the endpoint answered one.
#[derive(Debug, Clone, Copy)]
struct LoadReport {
    calls_ahead: u32,
    reported_at: Instant,
    /// The number of calls sent to the endpoint before the report.
    sent_calls: u64,
}

impl EndpointLoad {
    /// Reports older than this are ignored, because they say nothing about the present load.
    pub const MAX_REPORT_AGE: Millis = Millis::new(1_000);
    /// The weight of the newest call in the share of failures.
    const NEWEST_FAILURE_WEIGHT: f64 = 0.15;
    /// The time in which the share of failures halves without calls, so that a failing endpoint is
    /// tried again.
    const FAILURE_HALF_LIFE: Millis = Millis::new(2_000);
    /// How long an endpoint is ejected after it could not be reached.
    const UNREACHABLE_EJECTION_TIME: Millis = Millis::new(500);
    /// How long an endpoint is ejected after it refused a call, unless no other is left.
    const REFUSAL_EJECTION_TIME: Millis = Millis::new(100);
    /// The shortest time without calls after an endpoint refused one because its server is cold.
    const MIN_COLD_DELAY: Micros = Micros::new(50_000);
    /// The longest time without calls after such a refusal. Bounds the time in which a server that
    /// is warm again gets no calls.
    const MAX_COLD_DELAY: Micros = Micros::new(1_000_000);

    /// Records that a call was sent to the endpoint.
    pub fn record_sent(&mut self) {
        self.in_flight += 1;
        self.sent_calls += 1;
    }

    /// Records that a call ended, with or without an answer.
    pub fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a load report: the calls ahead of a call of `route` and, if known, the mean run
    /// time.
    pub fn record_report(
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

    /// Records the server's current service time relative to its usual one.
    pub fn record_rate(&mut self, now: Instant, service_time: Percent) {
        self.rate = Some(ServiceRate::new(service_time, now));
    }

    /// Returns whether the server reports its rate.
    pub const fn is_rated(&self) -> bool {
        self.rate.is_some()
    }

    /// Returns the factor by which the server's run times at `now` are expected to exceed the usual
    /// ones; `None` if it does not report its rate.
    pub fn rate_factor(&self, now: Instant) -> Option<f64> {
        self.rate.map(|rate| rate.factor(now))
    }

    /// Records that a call of `route` was answered at `now`, like [`Self::record_run_time`], after
    /// the rate of a server that reports it was recorded.
    pub fn record_run_time_at(
        &mut self,
        now: Instant,
        route: &RouteName,
        run_time: Micros,
        network_time: Micros,
    ) {
        let Some(factor) = self.rate_factor(now) else {
            return self.record_run_time(route, run_time, network_time);
        };
        self.network_times.record(route, network_time);
        let usual = Micros::new((run_time.get() as f64 / factor) as u64);
        self.record_run_time(route, usual, network_time);
    }

    /// Returns the expected time of a call of `route` that is sent at `now`, by the server's
    /// current rate; `None` before the first answer.
    pub fn expected_at(&self, now: Instant, route: &RouteName) -> Option<Micros> {
        let usual = self.times.route_mean(route)?;
        let Some(factor) = self.rate_factor(now) else { return Some(usual) };
        let network_time = self.network_times.route_mean(route).unwrap_or_default().min(usual);
        let run_time = usual.get() - network_time.get();
        Some(Micros::new(network_time.get().saturating_add((run_time as f64 * factor) as u64)))
    }

    /// Returns the mean run time of a call that is sent at `now`, by the server's current rate;
    /// `None` if the endpoint has not reported it.
    pub fn mean_at(&self, now: Instant) -> Option<Micros> {
        let usual = self.mean_run_time?;
        let factor = self.rate_factor(now).unwrap_or(1.0);
        Some(Micros::new((usual.get() as f64 * factor) as u64))
    }

    /// Records that a call of `route` was answered and had run for `run_time`, and how long it and
    /// its answer were on their way. A large call takes long to reach an endpoint whose link is
    /// full, however fast its server is.
    pub fn record_run_time(&mut self, route: &RouteName, run_time: Micros, network_time: Micros) {
        self.times.record(route, Micros::new(run_time.get().saturating_add(network_time.get())));
    }

    /// Returns the expected time of a call of `route`, run time and network time together; `None`
    /// before the first answer.
    pub fn expected(&self, route: &RouteName) -> Option<Micros> {
        self.times.route_mean(route)
    }

    /// Records an answer, which lowers the share of failures.
    pub fn record_answer(&mut self) {
        self.failure_share -= Self::NEWEST_FAILURE_WEIGHT * self.failure_share;
    }

    /// Records that a call failed after it arrived.
    pub fn record_failure(&mut self, now: Instant) {
        self.failure_share = self.failure_share_at(now);
        self.failure_share += Self::NEWEST_FAILURE_WEIGHT * (1.0 - self.failure_share);
        self.failed_at = Some(now);
    }

    /// Records that the endpoint could not be reached, and ejects it.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.record_failure(now);
        self.ejected_until = now + Self::UNREACHABLE_EJECTION_TIME;
    }

    /// Records that the endpoint refused a call without running it, and ejects it for a short time.
    pub fn record_refusal(&mut self, now: Instant) {
        self.ejected_until = self.ejected_until.max(now + Self::REFUSAL_EJECTION_TIME);
    }

    /// Records that the endpoint refused a call because its server is cold, and when it may admit
    /// the next one.
    pub fn record_cold_refusal(&mut self, now: Instant, retry_after: Micros) {
        let retry_after = retry_after.clamp(Self::MIN_COLD_DELAY, Self::MAX_COLD_DELAY);
        self.cold_until = self.cold_until.max(now + retry_after);
    }

    /// Returns the time until the endpoint may admit further calls though its server is cold.
    pub fn cold_retry_after(&self, now: Instant) -> Micros {
        self.cold_until.since(now)
    }

    /// Returns whether the endpoint is ejected at `now`.
    pub fn is_ejected(&self, now: Instant) -> bool {
        now < self.ejected_until
    }

    /// Returns the estimated number of calls that run, or wait ahead of a call of `route`.
    pub fn calls_ahead(&self, now: Instant, route: &RouteName) -> u32 {
        let is_fresh =
            |report: &&LoadReport| now.since(report.reported_at) < Self::MAX_REPORT_AGE.into();
        let report = self.reports.get(route).filter(is_fresh);
        let reported = report.map_or(0, |report| {
            let sent_since = u32::try_from(self.sent_calls - report.sent_calls);
            report.calls_ahead.saturating_add(sent_since.unwrap_or(u32::MAX))
        });
        reported.max(self.in_flight)
    }

    /// Returns when the endpoint last reported its load; `None` if it never did.
    pub fn reported_at(&self) -> Option<Instant> {
        self.reports.values().map(|report| report.reported_at).max()
    }

    /// Returns the mean run time of a call; `None` if the endpoint has not reported it.
    pub const fn mean(&self) -> Option<Micros> {
        self.mean_run_time
    }

    /// Returns the share of failures at `now`, from 0 to 1.
    pub fn failure_share_at(&self, now: Instant) -> f64 {
        let Some(failed_at) = self.failed_at else { return self.failure_share };
        let halvings =
            now.since(failed_at).get() as f64 / Micros::from(Self::FAILURE_HALF_LIFE).get() as f64;
        self.failure_share * (-halvings).exp2()
    }
}
