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
    last: Option<Instant>,
    /// When a request last came while an earlier one had no answer.
    sent_ahead_at: Option<Instant>,
    /// The mean time between two requests of which the second was sent ahead.
    gap: Micros,
    /// The shortest target that was seen lately, and when.
    shortest: Option<(Millis, Instant)>,
}

impl CallerPipeline {
    /// What was seen longer ago says nothing of the requests to come.
    const MEMORY: Millis = Millis::new(5_000);
    /// One part of this many of the mean gap is the newest one.
    const GAP_WEIGHT: u64 = 8;

    /// Within what time a new request has to be answered, so that it makes no other of its
    /// connection late. Its own target is `own`; `is_behind` says that an earlier request has
    /// no answer yet.
    pub fn target(&mut self, now: Instant, own: Millis, is_behind: bool) -> Micros {
        if is_behind {
            self.learn_gap(now);
            self.sent_ahead_at = Some(now);
        }
        self.last = Some(now);
        let is_recent = |at: Instant| now.since(at) < Self::MEMORY.into();
        let known = self.shortest.filter(|(_, at)| is_recent(*at)).map(|(target, _)| target);
        let shortest = known.map_or(own, |known| known.min(own));
        if shortest == own {
            self.shortest = Some((own, now));
        }
        let is_followed = self.sent_ahead_at.is_some_and(is_recent);
        let own = Micros::from(own);
        let next_due = Micros::new(Micros::from(shortest).get() + self.gap.get());
        if is_followed { own.min(next_due) } else { own }
    }

    fn learn_gap(&mut self, now: Instant) {
        let Some(last) = self.last else { return };
        let gap = now.since(last).get();
        let mean = match self.sent_ahead_at {
            Some(_) => (self.gap.get() * (Self::GAP_WEIGHT - 1) + gap) / Self::GAP_WEIGHT,
            None => gap,
        };
        self.gap = Micros::new(mean);
    }
}
