//! Handling of counted calls and of the rollouts that this node drives.

use rand::Rng;

use crate::config::{Change, Config};
use crate::control::cx::Cx;
use crate::control::membership::EXCHANGE_TIMEOUT;
use crate::control::pending_request::PendingRequest;
use crate::control::rollout_control::is_active;
use crate::control::state::Control;
use crate::control::stop_origin::StopOrigin;
use crate::control::{PeerMessage, StateChange};
use crate::ids::{ConfigVersion, ServiceName};
use crate::rollout::{CountedCalls, DriverDecision};

impl Control {
    /// Records the calls that this node counted, and stops a version that failed in them.
    pub(super) fn record_calls<R>(&mut self, counted: &[CountedCalls], cx: &mut Cx<'_, R>) {
        let Some(config) = self.dissemination.sync.config().cloned() else { return };
        self.accounting.ledger.count_at_backend(counted, &config.content, cx.wall);
        let table = &self.membership.table;
        let (own, nodes) = (table.own(), table.live().count());
        let stops = self.rollouts.record_calls(counted, &config.content, own, nodes, cx.wall);
        for stop in stops {
            let origin = StopOrigin::new(config.version, &stop.reason, cx.now);
            self.add_stops(vec![stop.mark], &origin, cx);
        }
    }

    /// Reports evidence to the drivers of rollouts, and drives those for which this node ranks
    /// first.
    pub(super) fn drive_rollouts<R: Rng>(&mut self, cx: &mut Cx<'_, R>) {
        if self.is_leaving || !self.rollouts.start_review(cx.now) {
            return;
        }
        let Some(config) = self.dissemination.published.clone() else { return };
        self.rollouts.remove_finished(&config.content, cx.wall);
        for (service, rollout) in &config.content.rollouts {
            if is_active(rollout, cx.wall) {
                self.drive_rollout(service, &config, cx);
            }
        }
    }

    pub(super) fn drive_rollout<R: Rng>(
        &mut self,
        service: &ServiceName,
        config: &Config,
        cx: &mut Cx<'_, R>,
    ) {
        let ranked = self.membership.table.rank(&format!("rollout/{service}"), None, 1);
        let driver = ranked.first().and_then(|id| self.membership.table.get(id)).cloned();
        let Some(driver) = driver else { return };
        let is_own = driver.id == self.membership.table.own().id;
        if let Some(report) = self.rollouts.due_report(service, &driver, cx.wall) {
            if is_own {
                self.rollouts.take_evidence(&report, &config.content, cx.wall);
            } else if let Some(to) = self.membership.addr(&driver.id) {
                let message = PeerMessage::Evidence(report);
                cx.send(to, message, EXCHANGE_TIMEOUT, PendingRequest::Evidence);
            }
        }
        if is_own {
            let decision = self.rollouts.decide(service, &config.content, cx.now, cx.wall);
            self.apply_decision(decision, config.version, cx);
        }
    }

    pub(super) fn apply_decision<R: Rng>(
        &mut self,
        decision: DriverDecision,
        decided_on: ConfigVersion,
        cx: &mut Cx<'_, R>,
    ) {
        for change in decision.changes {
            match change {
                // Stops are sent to peers immediately and recorded in the store later.
                Change::AddStops { marks, reason } => {
                    self.add_stops(marks, &StopOrigin::new(decided_on, &reason, cx.now), cx);
                }
                step => {
                    self.store.submit_step(step, cx);
                }
            }
        }
        for notice in decision.notices {
            cx.report(StateChange::RolloutNotice(notice));
        }
    }
}
