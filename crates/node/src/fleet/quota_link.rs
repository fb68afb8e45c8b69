//! Exchanges tokens of teams' quotas with other nodes, and holds calls until they have one.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use almondsail_core::RefusalReason;
use almondsail_core::fleet::{FleetControl, FleetView, Team};
use almondsail_core::ids::{ConfigVersion, NodeId, QuotaRequestId, TeamName};
use almondsail_core::quota::{
    QuotaCall, QuotaDecision, QuotaGrant, QuotaMembers, QuotaMessage, QuotaOwner, QuotaRequest,
    QuotaRequester, QuotaSettings,
};
use almondsail_core::units::{Instant, Micros};
use almondsail_wire::{decode_quota_message, encode_quota_message};
use arc_swap::ArcSwap;
use opentelemetry::metrics::Meter;
use rand::Rng as _;
use tokio::sync::Notify;

use crate::clock::{Clock, to_std_duration};
use crate::fleet::call_failure::CallFailure;
use crate::fleet::quota_metrics::{DropReason, QuotaMetrics};
use crate::fleet::quota_token::QuotaToken;

/// Exchanges tokens of teams' quotas with other nodes.
///
/// Requests of other nodes are answered where they arrive. The state is locked for single decisions,
/// never across an `await`.
#[derive(Debug)]
pub(crate) struct QuotaLink {
    clock: Clock,
    /// The socket of heartbeats, which doesn't block.
    socket: UdpSocket,
    /// The address of `socket`.
    own: SocketAddr,
    view: Arc<ArcSwap<FleetView>>,
    members: ArcSwap<QuotaMembers>,
    requester: Mutex<QuotaRequester>,
    owner: Mutex<QuotaOwner>,
    /// Notified after each grant; waiting calls then decide again.
    granted: Notify,
    metrics: QuotaMetrics,
}

impl QuotaLink {
    pub(crate) fn new(
        clock: Clock,
        socket: UdpSocket,
        view: Arc<ArcSwap<FleetView>>,
        settings: QuotaSettings,
        meter: &Meter,
    ) -> eyre::Result<Self> {
        let node: NodeId = view.load().node.clone();
        let first_id = QuotaRequestId::new(rand::rng().random::<u64>() >> 1);
        Ok(Self {
            clock,
            own: socket.local_addr()?,
            socket,
            members: ArcSwap::from_pointee(QuotaMembers::new(node, clock.now_with_suspended())),
            view,
            requester: Mutex::new(QuotaRequester::new(first_id)),
            owner: Mutex::new(QuotaOwner::new(settings)),
            granted: Notify::new(),
            metrics: QuotaMetrics::new(meter),
        })
    }

    /// Waits for a token for a call of `team`, which has a quota. `time_left` is the time until its
    /// target or deadline, whichever is earlier.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        team: &Arc<Team>,
        time_left: Micros,
    ) -> Result<QuotaToken, CallFailure> {
        /// The part of the time left that a call may wait for a token.
        const WAIT_DIVISOR: u64 = 4;
        let max_wait =
            Micros::new(time_left.get() / WAIT_DIVISOR).min(QuotaRequester::MAX_WAIT.into());
        let latest = self.clock.now_with_suspended() + max_wait;
        let mut waiting = WaitingCall { link: self, team: &team.name, is_waiting: false };
        loop {
            let notified = self.granted.notified();
            let call = QuotaCall { latest, is_waiting: waiting.is_waiting };
            let decision = self.decide(team, call);
            waiting.is_waiting = matches!(decision, QuotaDecision::Wait(_));
            let until = match decision {
                QuotaDecision::Granted(expires) => {
                    return Ok(QuotaToken::new(self, &team.name, Some(expires)));
                }
                QuotaDecision::LocalShare => {
                    self.metrics.count_local_share(&team.name);
                    return Ok(QuotaToken::new(self, &team.name, None));
                }
                QuotaDecision::Refused(wait) => {
                    return Err(self.refuse(team, RefusalReason::QuotaExceeded, wait));
                }
                QuotaDecision::Unknown(wait) => {
                    return Err(self.refuse(team, RefusalReason::QuotaUnknown, wait));
                }
                QuotaDecision::Wait(until) => until,
            };
            let wait = to_std_duration(until.since(self.clock.now_with_suspended()));
            // The result doesn't matter: the call decides again either way.
            let _ = tokio::time::timeout(wait, notified).await;
        }
    }

    fn refuse(&self, team: &Team, reason: RefusalReason, wait: Micros) -> CallFailure {
        self.metrics.count_refused(&team.name, reason);
        CallFailure::refused(reason, wait)
    }

    /// Decides on a call, and sends the request that follows from it. A request to this node itself
    /// is answered at once, after which a call that waits for it is decided again.
    fn decide(&self, team: &Team, mut call: QuotaCall) -> QuotaDecision {
        let now = self.clock.now_with_suspended();
        let members = self.members.load();
        let config_version = self.config_version();
        let mut requester = self.requester();
        loop {
            let (decision, request) = requester.decide(now, team, call, &members, config_version);
            let Some(request) = request else { return decision };
            if request.to != self.own {
                drop(requester);
                self.send(&QuotaMessage::Request(request.request), request.to);
                return decision;
            }
            let grant = self.answer(now, &members, &request.request);
            if let Err(problem) = requester.receive(now, self.own, &grant) {
                self.metrics.count_dropped(DropReason::Grant(problem));
            }
            call.is_waiting = matches!(decision, QuotaDecision::Wait(_));
            if !call.is_waiting {
                return decision;
            }
        }
    }

    /// Answers a request by the quota in the configuration of this node.
    fn answer(&self, now: Instant, members: &QuotaMembers, request: &QuotaRequest) -> QuotaGrant {
        let view = self.view.load();
        let team = view.config.as_ref().and_then(|config| config.teams.get(request.team.as_str()));
        let quota = team.and_then(|team| team.quota.as_ref());
        let grant = self.owner().answer(now, members, quota, request);
        // Only names of the configuration become labels.
        if quota.is_some() {
            self.metrics.count_answer(&grant);
        }
        grant
    }

    /// Handles a datagram about quotas.
    pub(crate) fn receive(&self, datagram: &[u8], from: SocketAddr) {
        let now = self.clock.now_with_suspended();
        match decode_quota_message(datagram) {
            Ok(QuotaMessage::Request(request)) => {
                let grant = self.answer(now, &self.members.load(), &request);
                self.send(&QuotaMessage::Grant(grant), from);
            }
            Ok(QuotaMessage::Grant(grant)) => {
                let received = self.requester().receive(now, from, &grant);
                match received {
                    Ok(()) => self.granted.notify_waiters(),
                    Err(problem) => self.metrics.count_dropped(DropReason::Grant(problem)),
                }
            }
            Err(_) => self.metrics.count_dropped(DropReason::Malformed),
        }
    }

    /// Updates the nodes that keep quotas. Does nothing while no team has a quota.
    pub(crate) fn update_members(&self, control: &FleetControl) {
        let known = self.members.load();
        let time = self.clock.now_with_suspended();
        let Some(members) = control.quota_members(self.clock.now(), time, &known) else { return };
        if members.version != known.version {
            self.owner().update_members(time, &members);
            self.forget_removed_teams();
        }
        self.members.store(Arc::new(members));
    }

    fn forget_removed_teams(&self) {
        let view = self.view.load();
        let Some(config) = &view.config else { return };
        self.requester().retain(|team| config.teams.get(team.as_str()).is_some());
    }

    /// Takes back the token of a call that did not arrive at a backend server.
    pub(crate) fn give_back(&self, team: &TeamName, expires: Instant) {
        self.requester().give_back(self.clock.now_with_suspended(), team, expires);
    }

    fn config_version(&self) -> ConfigVersion {
        let view = self.view.load();
        view.config.as_ref().map_or(ConfigVersion::default(), |config| config.version)
    }

    /// Sends a datagram. One that can't be sent is lost like others on the way.
    fn send(&self, message: &QuotaMessage, to: SocketAddr) {
        if self.socket.send_to(&encode_quota_message(message), to).is_err() {
            self.metrics.count_dropped(DropReason::NotSent);
        }
    }

    fn requester(&self) -> MutexGuard<'_, QuotaRequester> {
        self.requester.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn owner(&self) -> MutexGuard<'_, QuotaOwner> {
        self.owner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A call that may wait for a token. Ends the wait also if the caller leaves.
struct WaitingCall<'a> {
    link: &'a QuotaLink,
    team: &'a TeamName,
    is_waiting: bool,
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        if self.is_waiting {
            self.link.requester().abandon(self.team);
        }
    }
}
