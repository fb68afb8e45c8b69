//! Setting, forwarding and removal of stop marks.

use crate::config::StopMark;
use crate::control::PeerMessage;
use crate::control::cx::Cx;
use crate::control::membership::EXCHANGE_TIMEOUT;
use crate::control::pending_request::PendingRequest;
use crate::control::state::Control;
use crate::control::stop_origin::StopOrigin;
use crate::ids::NodeId;

impl Control {
    pub(super) fn add_stops<R>(
        &mut self,
        marks: Vec<StopMark>,
        origin: &StopOrigin,
        cx: &mut Cx<'_, R>,
    ) {
        let config = self.dissemination.sync.config().map(|cfg| &**cfg);
        let new = self.stops.add(marks, origin, config);
        if new.is_empty() {
            return;
        }
        cx.out.publish();
        for link in self.membership.links().outgoing.clone() {
            self.send_stops(&link, new.clone(), origin, cx);
        }
    }

    pub(super) fn send_stops<R>(
        &self,
        to: &NodeId,
        marks: Vec<StopMark>,
        origin: &StopOrigin,
        cx: &mut Cx<'_, R>,
    ) {
        if let Some(addr) = self.membership.addr(to) {
            let (config_version, reason) = (origin.config_version, origin.reason.clone());
            let message = PeerMessage::StopMarks { marks, config_version, reason };
            cx.send(
                addr,
                message,
                EXCHANGE_TIMEOUT,
                PendingRequest::StopMarks { peer: to.clone() },
            );
        }
    }

    /// Removes the stop marks that the configuration in force holds or has cleared.
    pub(super) fn remove_resolved_stops<R>(&mut self, cx: &mut Cx<'_, R>) {
        if let Some(config) = self.dissemination.sync.config()
            && self.stops.remove_resolved(config)
        {
            cx.out.publish();
        }
    }
}
