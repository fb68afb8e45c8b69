//! The load of an endpoint as this node observes it.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use crate::traffic::LoadReport;
use crate::units::{Instant, Micros, Millis};

/// The load and the faults of an endpoint as this node observes them. Threads update it without
/// a lock.
#[derive(Debug)]
pub struct EndpointLoad {
    /// The number of calls that this node has sent and that have not ended.
    in_flight: AtomicU32,
    /// The in-flight count that the endpoint last reported.
    reported: AtomicU32,
    /// The time at which `reported` was received, in microseconds.
    reported_at: AtomicU64,
    /// The smoothed latency in microseconds; zero until a call has ended.
    latency: AtomicU64,
    /// The time at which `latency` was last updated, in microseconds.
    latency_at: AtomicU64,
    /// The number of recent refusals, halved by each call that is not refused.
    refusals: AtomicU32,
    /// The time of the last refusal, in microseconds.
    refused_at: AtomicU64,
    /// The number of failures since the last success or ejection.
    failures: AtomicU32,
    /// The number of ejections since the last success.
    ejections: AtomicU32,
    /// The time at which the latest ejection ends, in microseconds; zero without one.
    ejected_until: AtomicU64,
    /// The time at which the endpoint began to take calls, in microseconds.
    warming_since: AtomicU64,
}

impl EndpointLoad {
    /// The number of consecutive failures after which an endpoint is ejected.
    pub const MAX_CONSECUTIVE_FAILURES: u32 = 5;
    /// The duration of the first ejection. It doubles with each further one until a call succeeds.
    pub const BASE_EJECTION_TIME: Millis = Millis::new(1_000);
    /// The longest duration of an ejection.
    pub const MAX_EJECTION_TIME: Millis = Millis::new(32_000);
    /// The largest number of recent refusals that are counted.
    const MAX_REFUSALS: u32 = 8;

    /// Creates the record of an endpoint first seen at `now`, whose warm-up begins then.
    pub fn new(now: Instant) -> Self {
        Self {
            in_flight: AtomicU32::new(0),
            reported: AtomicU32::new(0),
            reported_at: AtomicU64::new(0),
            latency: AtomicU64::new(0),
            latency_at: AtomicU64::new(0),
            refusals: AtomicU32::new(0),
            refused_at: AtomicU64::new(0),
            failures: AtomicU32::new(0),
            ejections: AtomicU32::new(0),
            ejected_until: AtomicU64::new(0),
            warming_since: AtomicU64::new(now.get()),
        }
    }

    /// Counts a call that is sent. Each must be followed by one [`Self::end`].
    pub fn start(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the end of a call that was counted by [`Self::start`].
    pub fn end(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records the load that the endpoint reported at `now`.
    pub fn record_report(&self, now: Instant, load: LoadReport) {
        self.reported.store(load.in_flight, Ordering::Relaxed);
        self.reported_at.store(now.get(), Ordering::Relaxed);
    }

    /// Records an answer that took `latency`, which ends the series of failures and ejections.
    pub fn succeeded(&self, now: Instant, latency: Micros) {
        let smooth = |old: u64| {
            Some(if old == 0 { latency.get() } else { old - old / 8 + latency.get() / 8 })
        };
        let _ = self.latency.fetch_update(Ordering::Relaxed, Ordering::Relaxed, smooth);
        self.latency_at.store(now.get(), Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
        self.ejections.store(0, Ordering::Relaxed);
        let halve = |n: u32| (n > 0).then_some(n / 2);
        let _ = self.refusals.fetch_update(Ordering::Relaxed, Ordering::Relaxed, halve);
    }

    /// Records that the endpoint refused a call.
    pub fn record_refusal(&self, now: Instant) {
        self.refused_at.store(now.get(), Ordering::Relaxed);
        let count = |n: u32| (n < Self::MAX_REFUSALS).then_some(n + 1);
        let _ = self.refusals.fetch_update(Ordering::Relaxed, Ordering::Relaxed, count);
    }

    /// Records that an exchange failed, and ejects the endpoint after
    /// [`Self::MAX_CONSECUTIVE_FAILURES`].
    pub fn record_failure(&self, now: Instant) {
        if self.failures.fetch_add(1, Ordering::Relaxed) + 1 >= Self::MAX_CONSECUTIVE_FAILURES {
            self.eject(now);
        }
    }

    /// Records that no connection could be opened, and ejects the endpoint at once.
    pub fn record_unreachable(&self, now: Instant) {
        self.eject(now);
    }

    /// Restarts the warm-up after the endpoint announced a cold start.
    pub fn restart_warm_up(&self, now: Instant) {
        self.warming_since.store(now.get(), Ordering::Relaxed);
    }

    /// Returns when the current ejection ends; `None` if the endpoint is not ejected at `now`.
    pub fn ejected_until(&self, now: Instant) -> Option<Instant> {
        let until = self.ejected_until.load(Ordering::Relaxed);
        (until > now.get()).then_some(Instant::new(until))
    }

    /// Returns the number of calls from this node that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the smoothed latency; `None` until a call has ended.
    pub fn latency(&self) -> Option<Micros> {
        let latency = self.latency.load(Ordering::Relaxed);
        (latency > 0).then_some(Micros::new(latency))
    }

    /// Returns the weight of the smoothed latency, from 1 when fresh to 0 when old or unknown.
    pub fn latency_weight(&self, now: Instant) -> f64 {
        /// The age at which the weight is a half, in microseconds.
        const HALF_LIFE: f64 = 5_000_000.0;
        /// Smaller weights become zero, or a tiny difference would still decide between idle
        /// endpoints.
        const MIN_WEIGHT: f64 = 0.01;
        if self.latency().is_none() {
            return 0.0;
        }
        let weight = 0.5_f64.powf(age(now, &self.latency_at) / HALF_LIFE);
        if weight < MIN_WEIGHT { 0.0 } else { weight }
    }

    /// Returns the expected latency in microseconds: the smoothed one, replaced by `mean_latency`
    /// as it ages, so that an endpoint that was slow once gets calls again.
    pub fn expected_latency(&self, now: Instant, mean_latency: f64) -> f64 {
        let latency = self.latency().map_or(mean_latency, |latency| latency.get() as f64);
        mean_latency + (latency - mean_latency) * self.latency_weight(now)
    }

    /// Returns the number of recent refusals, which lose weight as they age.
    pub fn recent_refusals(&self, now: Instant) -> f64 {
        /// The age from which refusals no longer count, in microseconds.
        const MAX_AGE: f64 = 2_000_000.0;
        let weight = (1.0 - age(now, &self.refused_at) / MAX_AGE).max(0.0);
        f64::from(self.refusals.load(Ordering::Relaxed)) * weight
    }

    /// Returns the estimated number of calls in flight at the endpoint: those of this node, or the
    /// number that the endpoint reported, which loses weight as it ages, whichever is higher.
    pub fn estimated_in_flight(&self, now: Instant) -> f64 {
        /// The age from which a report no longer counts, in microseconds.
        const MAX_REPORT_AGE: f64 = 1_000_000.0;
        let own = f64::from(self.in_flight());
        let at = self.reported_at.load(Ordering::Relaxed);
        let weight = if at == 0 {
            0.0
        } else {
            (1.0 - age(now, &self.reported_at) / MAX_REPORT_AGE).max(0.0)
        };
        own.max(f64::from(self.reported.load(Ordering::Relaxed)) * weight)
    }

    /// Returns the time since the endpoint began to take calls or announced a cold start.
    pub fn warm_up_elapsed(&self, now: Instant) -> Micros {
        now.since(Instant::new(self.warming_since.load(Ordering::Relaxed)))
    }

    fn eject(&self, now: Instant) {
        if self.ejected_until(now).is_some() {
            return;
        }
        const MAX_DOUBLINGS: u32 = 5;
        let times = self.ejections.fetch_add(1, Ordering::Relaxed).min(MAX_DOUBLINGS);
        let span =
            Millis::new(Self::BASE_EJECTION_TIME.get() << times).min(Self::MAX_EJECTION_TIME);
        self.ejected_until.store((now + span).get(), Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
    }
}

/// Returns the time since `at` in microseconds.
fn age(now: Instant, at: &AtomicU64) -> f64 {
    now.since(Instant::new(at.load(Ordering::Relaxed))).get() as f64
}
