//! Decides on the calls of teams with quotas.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::team_requests::TeamRequests;
use super::{
    GrantProblem, OutgoingRequest, QuotaCall, QuotaDecision, QuotaGrant, QuotaMembers, QuotaRequest,
};
use crate::fleet::Team;
use crate::ids::{ConfigVersion, QuotaRequestId, TeamName};
use crate::units::{Instant, Micros, Millis};

/// Decides on the calls of teams with quotas that arrive at this node, by the tokens that were
/// granted to it.
#[derive(Debug)]
pub struct QuotaRequester {
    /// The teams whose calls have arrived.
    teams: HashMap<TeamName, TeamRequests>,
    next_id: QuotaRequestId,
}

impl QuotaRequester {
    /// The longest time that a call waits for a token.
    pub const MAX_WAIT: Millis = Millis::new(120);
    /// The time that a grant takes until the waiting call has it, on the network and in queues.
    const TRANSIT_TIME: Micros = Micros::new(5_000);

    /// Creates the state of a node that has started. `first_id` differs from start to start, so
    /// that no grant to an earlier one is taken.
    pub fn new(first_id: QuotaRequestId) -> Self {
        Self { teams: HashMap::new(), next_id: first_id }
    }

    /// Decides on a call of `team`, which has a quota. Returns the request to send as well, if any.
    pub fn decide(
        &mut self,
        now: Instant,
        team: &Team,
        call: QuotaCall,
        members: &QuotaMembers,
        config_version: ConfigVersion,
    ) -> (QuotaDecision, Option<OutgoingRequest>) {
        let Some(quota) = &team.quota else {
            return (QuotaDecision::Granted(call.latest), None);
        };
        let requests = self.teams.entry(team.name.clone());
        let requests = requests.or_insert_with(|| TeamRequests::new(team.name.clone()));
        let decision = requests.decide(now, quota, call, members);
        let Some((to, wanted)) = requests.next_request(now, decision) else {
            return (decision, None);
        };
        self.next_id = self.next_id.next();
        requests.record_request(now, self.next_id, to, wanted);
        let left = call.latest.since(now).get().saturating_sub(Self::TRANSIT_TIME.get());
        let request = QuotaRequest {
            id: self.next_id,
            team: team.name.clone(),
            wanted,
            max_wait: Millis::new(left / 1_000),
            config_version,
        };
        (decision, Some(OutgoingRequest { to, request }))
    }

    /// Records that a call of `team` has stopped waiting without a further decision.
    pub fn abandon(&mut self, team: &TeamName) {
        if let Some(requests) = self.teams.get_mut(team) {
            requests.abandon();
        }
    }

    /// Takes back the token of a call that did not arrive at a backend server.
    pub fn give_back(&mut self, now: Instant, team: &TeamName, expires: Instant) {
        if let Some(requests) = self.teams.get_mut(team) {
            requests.give_back(now, expires);
        }
    }

    /// Records a grant that came from `from`.
    pub fn receive(
        &mut self,
        now: Instant,
        from: SocketAddr,
        grant: &QuotaGrant,
    ) -> Result<(), GrantProblem> {
        let requests = self.teams.get_mut(&grant.team).ok_or(GrantProblem::Unsolicited)?;
        requests.receive(now, from, grant)
    }

    /// Forgets the teams that the configuration lacks.
    pub fn retain(&mut self, is_known: impl Fn(&TeamName) -> bool) {
        self.teams.retain(|team, _| is_known(team));
    }
}
