//! Recent states and loads of a backend server, for delayed announcements.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use almondsail_core::peers::BackendState;

use super::AnnouncementFault;

/// Number of entries kept; at one per second this is also the longest delay in seconds.
const MAX_ENTRIES: usize = 120;

/// Recent states and loads of a backend server, for delayed announcements.
#[derive(Debug, Default)]
pub(super) struct AnnouncementHistory(VecDeque<(Instant, BackendState, usize)>);

impl AnnouncementHistory {
    /// Adds the state and load at `now` and returns the ones to announce.
    pub(super) fn next(
        &mut self,
        now: Instant,
        actual: (BackendState, usize),
        fault: &AnnouncementFault,
    ) -> (BackendState, usize) {
        if self.0.len() == MAX_ENTRIES {
            self.0.pop_front();
        }
        self.0.push_back((now, actual.0, actual.1));
        let lag = Duration::from_millis(fault.lag_ms);
        let is_old = |at: &Instant| now.saturating_duration_since(*at) >= lag;
        let (state, load) = self
            .0
            .iter()
            .rev()
            .find(|(at, ..)| is_old(at))
            .or(self.0.front())
            .map_or(actual, |&(_, state, load)| (state, load));
        let forced = fault.state.as_deref().and_then(|text| text.parse().ok());
        (forced.unwrap_or(state), fault.load.unwrap_or(load))
    }
}
