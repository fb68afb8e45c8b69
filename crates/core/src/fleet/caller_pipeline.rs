//! Targets for requests that are pipelined on one connection.

use crate::units::{Instant, Micros, Millis};

/// Predicts from the requests on one connection of a caller when the next ones follow.
///
/// A caller that sends requests before it has its answers gets these in the order of the requests,
/// so that one slow answer delays all behind it. A request on such a connection should be answered
/// by the time the next one is likely to be due.
///
/// ```
/// use almondsail_core::fleet::CallerPipeline;
/// use almondsail_core::units::{Instant, Micros, Millis};
///
/// let (short, long) = (Millis::new(200), Millis::new(900));
/// let mut pipeline = CallerPipeline::default();
/// assert_eq!(pipeline.target(Instant::new(0), short, false), short.into());
/// // A short request is likely to follow after the same gap of 30 ms.
/// let held_up = pipeline.target(Instant::new(30_000), long, true);
/// assert_eq!(held_up, Micros::new(230_000));
/// ```
#[derive(Debug, Default, Clone, Copy)]
pub struct CallerPipeline {
    /// When the last request arrived.
    last_request_at: Option<Instant>,
    /// When a request last arrived while an earlier one had no answer.
    sent_ahead_at: Option<Instant>,
    /// The mean time between a request sent ahead of answers and the request before it.
    mean_gap: Micros,
    /// The shortest recent target latency and when it was seen.
    shortest_target: Option<(Millis, Instant)>,
}

impl CallerPipeline {
    /// Observations older than this say nothing about the next requests.
    const OBSERVATION_TTL: Millis = Millis::new(5_000);
    /// The newest gap has a weight of one in this many in the mean gap.
    const GAP_SMOOTHING_CALLS: u64 = 8;

    /// Returns the time within which a new request with `target_latency` must be answered
    /// so that it makes no other request of its connection late. `has_unanswered` says that an
    /// earlier request has no answer yet.
    pub fn target(&mut self, now: Instant, target_latency: Millis, has_unanswered: bool) -> Micros {
        if has_unanswered {
            self.update_mean_gap(now);
            self.sent_ahead_at = Some(now);
        }
        self.last_request_at = Some(now);
        let is_recent = |at: Instant| now.since(at) < Self::OBSERVATION_TTL.into();
        let recent_shortest =
            self.shortest_target.filter(|(_, at)| is_recent(*at)).map(|(target, _)| target);
        let shortest = recent_shortest
            .map_or(target_latency, |recent_shortest| recent_shortest.min(target_latency));
        if shortest == target_latency {
            self.shortest_target = Some((target_latency, now));
        }
        let sends_ahead = self.sent_ahead_at.is_some_and(is_recent);
        let target_latency = Micros::from(target_latency);
        let next_due =
            Micros::new(Micros::from(shortest).get().saturating_add(self.mean_gap.get()));
        if sends_ahead { target_latency.min(next_due) } else { target_latency }
    }

    fn update_mean_gap(&mut self, now: Instant) {
        let Some(last) = self.last_request_at else { return };
        let gap = now.since(last).get();
        let mean = match self.sent_ahead_at {
            Some(_) => {
                (self.mean_gap.get() * (Self::GAP_SMOOTHING_CALLS - 1) + gap)
                    / Self::GAP_SMOOTHING_CALLS
            }
            None => gap,
        };
        self.mean_gap = Micros::new(mean);
    }
}
