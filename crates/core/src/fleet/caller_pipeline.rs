//! How the requests of one connection hold up one another.

use crate::units::{Instant, Micros, Millis};

/// What the requests on one connection of a caller show of those that will follow.
///
/// Answers the load pattern of a caller that sends on before it has its answers: they leave in
/// the order of the requests, so that one slow answer makes all behind it late. A request on
/// such a connection should be answered when the one that is likely to come next is due.
///
/// ```
/// use almondsail_core::fleet::CallerPipeline;
/// use almondsail_core::units::{Instant, Micros, Millis};
///
/// let (short, long) = (Millis::new(200), Millis::new(900));
/// let mut pipeline = CallerPipeline::default();
/// assert_eq!(pipeline.target(Instant::new(0), short, false), short.into());
/// // The next short one is likely to come as long after this one as this one came after it.
/// let held_up = pipeline.target(Instant::new(30_000), long, true);
/// assert_eq!(held_up, Micros::new(230_000));
/// ```
#[derive(Debug, Default, Clone, Copy)]
pub struct CallerPipeline {
    /// When the last request came.
    last_request_at: Option<Instant>,
    /// When a request last came while an earlier one had no answer.
    sent_ahead_at: Option<Instant>,
    /// The mean time between two requests of which the second was sent ahead.
    mean_gap: Micros,
    /// The shortest target that was seen lately, and when.
    shortest_target: Option<(Millis, Instant)>,
}

impl CallerPipeline {
    /// What was seen longer ago says nothing of the requests to come.
    const OBSERVATION_TTL: Millis = Millis::new(5_000);
    /// One part of this many of the mean gap is the newest one.
    const GAP_SMOOTHING_CALLS: u64 = 8;

    /// Within what time a new request has to be answered, so that it makes no other of its
    /// connection late. Its own target is `own`; `is_behind` says that an earlier request has
    /// no answer yet.
    pub fn target(&mut self, now: Instant, own: Millis, has_unanswered: bool) -> Micros {
        if has_unanswered {
            self.update_mean_gap(now);
            self.sent_ahead_at = Some(now);
        }
        self.last_request_at = Some(now);
        let is_recent = |at: Instant| now.since(at) < Self::OBSERVATION_TTL.into();
        let known = self.shortest_target.filter(|(_, at)| is_recent(*at)).map(|(target, _)| target);
        let shortest = known.map_or(own, |known| known.min(own));
        if shortest == own {
            self.shortest_target = Some((own, now));
        }
        let sends_ahead = self.sent_ahead_at.is_some_and(is_recent);
        let own = Micros::from(own);
        let next_due = Micros::new(Micros::from(shortest).get() + self.mean_gap.get());
        if sends_ahead { own.min(next_due) } else { own }
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
