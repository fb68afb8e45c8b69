//! Pulls of newer configurations.

use rand::Rng;

use crate::control::Backoff;
use crate::ids::NodeId;
use crate::units::{Instant, Millis};

/// The first and the longest bound of the time between failed pulls. The
/// longest leaves time for three pulls in the 4 s in which a version is to be in force.
const INITIAL_BACKOFF: Millis = Millis::new(100);
const MAX_BACKOFF: Millis = Millis::new(1_000);

/// Decides when and from whom a newer configuration is pulled.
#[derive(Debug, Clone)]
pub struct Puller {
    /// Whether a pull is under way; there is one at most.
    is_pulling: bool,
    /// The node asked last; another one is asked next if there is one.
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
    /// Begins a pull from one of `holders` if it is time.
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

    /// The pull brought a configuration.
    pub fn succeed(&mut self) {
        self.is_pulling = false;
        self.last_source = None;
        self.backoff.reset();
    }

    /// The pull brought nothing; the peer may have asked to wait for `at_least`.
    pub fn fail(&mut self, at_least: Millis, now: Instant, rng: &mut impl Rng) {
        self.is_pulling = false;
        self.next_pull = now + at_least + self.backoff.draw(rng);
    }
}
