//! Handles evacuation orders and the state of cold servers.

use super::fleet_control::FleetControl;
use crate::fleet::{
    ColdLimit, ColdRule, EvacuationNotice, EvacuationOutcome, FleetChange, StoreKey,
};
use crate::ids::{DataCentre, ServiceName};
use crate::store::{Revision, StorePosition};
use crate::units::Instant;

impl FleetControl {
    /// Records an order, or its withdrawal, that the store holds at `revision`.
    pub(super) fn record_store_evacuation(
        &mut self,
        now: Instant,
        data_centre: DataCentre,
        revision: Revision,
        is_ordered: bool,
    ) {
        let position = StorePosition::new(self.store_era.unwrap_or_default(), revision);
        let notice = EvacuationNotice { data_centre, is_ordered, position };
        self.record_evacuation(now, &notice, "store");
    }

    /// Records an order, or its withdrawal, that another node told of.
    pub(super) fn record_peer_evacuation(&mut self, now: Instant, notice: &EvacuationNotice) {
        let key = StoreKey::Evacuation(notice.data_centre.clone());
        if notice.is_ordered && self.operator_watcher.is_removed(&key, notice.position) {
            return;
        }
        let outcome = self.record_evacuation(now, notice, "node");
        let is_new = matches!(outcome, EvacuationOutcome::Changed | EvacuationOutcome::Confirmed);
        if is_new && notice.is_ordered {
            self.operator_watcher.add_known(key, notice.position);
        }
    }

    fn record_evacuation(
        &mut self,
        now: Instant,
        notice: &EvacuationNotice,
        source: &'static str,
    ) -> EvacuationOutcome {
        let is_starting = !self.is_ready(now) && !self.is_leaving;
        let outcome = self.evacuations.record(now, notice, is_starting);
        let EvacuationNotice { data_centre, is_ordered, position } = notice.clone();
        match outcome {
            EvacuationOutcome::Changed => {
                if !is_ordered && data_centre == self.identity.entry.data_centre {
                    self.doubt_backend(now);
                }
                let change = FleetChange::Evacuation { data_centre, is_ordered, position, source };
                self.report(change);
                self.mark_changed();
            }
            EvacuationOutcome::TooMany if source == "store" => {
                self.report(FleetChange::EvacuationsTooMany(data_centre));
            }
            _ => {}
        }
        outcome
    }

    /// Publishes the end of a ramp of this data centre, and checks that new orders name data
    /// centres with nodes.
    pub(super) fn tick_evacuations(&mut self, now: Instant) {
        let own = &self.identity.entry.data_centre;
        let is_evacuated = self.evacuations.ramp(own).is_closed(now);
        if is_evacuated != self.is_evacuated {
            self.is_evacuated = is_evacuated;
            self.is_changed = true;
            self.report(FleetChange::Evacuated(is_evacuated));
        }
        for data_centre in self.evacuations.take_unchecked(now) {
            let is_own = data_centre == self.identity.entry.data_centre;
            let is_known = |peer: &super::peer::Peer| peer.entry.data_centre == data_centre;
            if !is_own && !self.peers.iter().any(is_known) {
                self.report(FleetChange::EvacuationWithoutNodes(data_centre));
            }
        }
    }

    /// Handles that the backend server beside this node refused or reset a connection at `at`. The
    /// view is published in any case, because calls wait for one with a later announcement.
    pub(super) fn handle_doubt(&mut self, now: Instant, at: Instant) {
        self.doubt_backend(at.min(now));
        self.is_changed = true;
    }

    /// Lets the backend server beside this node count as cold until its next announcement, if the
    /// calls of a cold server are limited.
    fn doubt_backend(&mut self, at: Instant) {
        if let ColdRule::Limited(_) = self.cold_rule() {
            self.registration.doubt(at);
            self.mark_changed();
        }
    }

    /// Returns the limit on the calls of cold servers of `service`.
    pub(super) fn cold_limit(&self, service: &ServiceName) -> Option<ColdLimit> {
        self.config.as_ref()?.config.services.get(service)?.cold_limit
    }

    /// Returns whether the calls of the backend server beside this node are limited while it is
    /// cold.
    pub(super) fn cold_rule(&self) -> ColdRule {
        if self.config.is_none() {
            return ColdRule::Unknown;
        }
        let backend = self.registration.backend();
        let service = backend.map_or(&self.identity.service, |backend| &backend.service);
        self.cold_limit(service).map_or(ColdRule::Unlimited, |limit| ColdRule::Limited(limit.rate))
    }

    /// Reports that the backend server beside this node has become cold or warm.
    pub(super) fn report_warmth(&mut self) {
        let is_limited = matches!(self.cold_rule(), ColdRule::Limited(_));
        let cold = self.registration.backend().filter(|backend| is_limited && backend.is_cold);
        let cold = cold.map(|backend| backend.id.clone());
        if cold == self.reported_cold {
            return;
        }
        let before = std::mem::replace(&mut self.reported_cold, cold.clone());
        if let Some(id) = cold.clone().or(before) {
            self.report(FleetChange::BackendCold { id, is_cold: cold.is_some() });
        }
    }
}
