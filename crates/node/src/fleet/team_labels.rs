//! The teams with labels of their own in metrics.

use std::collections::HashSet;

use almondsail_core::ids::TeamName;

/// The teams with labels of their own in metrics, in the order in which they were first counted.
#[derive(Debug, Default)]
pub(crate) struct TeamLabels {
    known: HashSet<TeamName>,
}

impl TeamLabels {
    /// The largest number of teams with labels of their own.
    const MAX_TEAMS: usize = 200;
    /// The label of all other teams.
    const OTHER: &'static str = "other";

    /// Returns the label of `team`.
    pub(crate) fn label(&mut self, team: &TeamName) -> String {
        if self.known.len() < Self::MAX_TEAMS {
            self.known.insert(team.clone());
        }
        let label = if self.known.contains(team) { team.as_str() } else { Self::OTHER };
        label.to_owned()
    }
}
