//! The teams of a configuration.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;

use crate::fleet::{ConfigProblem, CredentialDigest, Team};
use crate::ids::TeamName;

/// The teams of a configuration with their credentials.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Teams {
    by_name: HashMap<TeamName, Arc<Team>>,
    /// Each credential belongs to one team; a team may have several or none.
    by_credential: HashMap<CredentialDigest, Arc<Team>>,
    /// Whether any team has a quota.
    has_quotas: bool,
}

impl Teams {
    /// Adds a team with its credentials. Fails if another team has the same name or one of the
    /// credentials.
    pub fn add(
        &mut self,
        team: Team,
        credentials: impl IntoIterator<Item = CredentialDigest>,
    ) -> Result<(), ConfigProblem> {
        self.has_quotas |= team.quota.is_some();
        let team = Arc::new(team);
        if self.by_name.insert(team.name.clone(), Arc::clone(&team)).is_some() {
            return Err(ConfigProblem::DuplicateTeam(team.name.clone()));
        }
        for credential in credentials {
            match self.by_credential.entry(credential) {
                Entry::Vacant(entry) => {
                    entry.insert(Arc::clone(&team));
                }
                Entry::Occupied(entry) => {
                    let other = entry.get().name.clone();
                    return Err(ConfigProblem::SharedCredential(other, team.name.clone()));
                }
            }
        }
        Ok(())
    }

    /// Returns whether there are no teams, so that calls need no credentials.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns whether any team has a quota.
    pub const fn has_quotas(&self) -> bool {
        self.has_quotas
    }

    /// Returns the team with the name `name`.
    pub fn get(&self, name: &str) -> Option<&Arc<Team>> {
        self.by_name.get(name)
    }

    /// Returns the team that holds `credential`.
    pub fn holder(&self, credential: &CredentialDigest) -> Option<&Arc<Team>> {
        self.by_credential.get(credential)
    }

    /// Returns every team, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.by_name.values()
    }
}
