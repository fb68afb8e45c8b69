//! Scheduling of pulls of newer configurations.

use rand::Rng;

use crate::control::Backoff;
use crate::ids::NodeId;
use crate::units::{Instant, Millis};

/// Bound of the delay after the first failed pull.
const INITIAL_BACKOFF: Millis = Millis::new(100);
/// Largest bound of the delay between failed pulls. It leaves time for three pulls in the 4 s
/// within which a version must be in force.
const MAX_BACKOFF: Millis = Millis::new(1_000);

/// Decides when and from which node a newer configuration is pulled.
#[derive(Debug, Clone)]
pub struct Puller {
    /// Whether a pull is pending. There is at most one.
    is_pulling: bool,
    /// Source of the last failed or pending pull. The next pull prefers another source.
    last_source: Option<NodeId>,
    next_pull: Instant,
    backoff: Backoff,
}

impl Default for Puller {
    fn default() -> Self {
        let backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        Self { is_pulling: false, last_source: None, next_pull: Instant::default(), backoff }
    }
}

impl Puller {
    /// Starts a pull from a random node of `holders` if one is due. Returns the node to ask.
    pub fn begin(
        &mut self,
        holders: &[&NodeId],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<NodeId> {
        if self.is_pulling || now < self.next_pull {
            return None;
        }
        let others: Vec<&&NodeId> =
            holders.iter().filter(|id| Some(**id) != self.last_source.as_ref()).collect();
        let node = match others.len() {
            0 => (*holders.first()?).clone(),
            len => (*others[rng.random_range(0..len)]).clone(),
        };
        self.is_pulling = true;
        self.last_source = Some(node.clone());
        Some(node)
    }

    /// Ends a pull that returned a configuration.
    pub fn succeed(&mut self) {
        self.is_pulling = false;
        self.last_source = None;
        self.backoff.reset();
    }

    /// Ends a failed pull. The next one starts after `at_least`, the time for which the peer
    /// asked to wait, and a backoff.
    pub fn fail(&mut self, at_least: Millis, now: Instant, rng: &mut impl Rng) {
        self.is_pulling = false;
        self.next_pull = now + at_least + self.backoff.next_delay(rng);
    }
}
