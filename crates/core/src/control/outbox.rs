//! Outgoing actions and pending requests of the control state.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::control::pending_request::PendingRequest;
use crate::control::{Action, PeerMessage, RequestId, StateChange};
use crate::store::StoreRequest;
use crate::units::{Instant, Millis};

/// Time after the timeout of a peer request when it is dropped if no failure was reported.
const REPLY_GRACE_PERIOD: Millis = Millis::new(5_000);
/// Time after which a store request without a reply is dropped. A watch ends within 30 s.
const STORE_TIMEOUT: Millis = Millis::new(45_000);

/// Collects the actions of one event and tracks the requests that wait for a reply.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outbox {
    actions: Vec<Action>,
    /// Requests that wait for a reply, each with the time at which it is dropped.
    pending: BTreeMap<RequestId, (PendingRequest, Instant)>,
    last_id: u64,
    /// Whether to publish a new snapshot after this event.
    publish: bool,
}

impl Outbox {
    pub(crate) fn send(
        &mut self,
        to: SocketAddr,
        message: PeerMessage,
        timeout: Millis,
        request: PendingRequest,
        now: Instant,
    ) {
        let id = self.track_request(request, now + timeout + REPLY_GRACE_PERIOD);
        self.actions.push(Action::Send { id, to, message, timeout });
    }

    pub(crate) fn send_store_request(
        &mut self,
        request: StoreRequest,
        purpose: PendingRequest,
        now: Instant,
    ) {
        let id = self.track_request(purpose, now + STORE_TIMEOUT);
        self.actions.push(Action::Store { id, request });
    }

    pub(crate) fn reply(&mut self, id: RequestId, message: PeerMessage) {
        self.actions.push(Action::Reply { id, message });
    }

    pub(crate) fn report(&mut self, change: StateChange) {
        self.actions.push(Action::Report(change));
    }

    pub(crate) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub(crate) const fn publish(&mut self) {
        self.publish = true;
    }

    /// Removes and returns the request with `id`, so that a second reply is ignored.
    pub(crate) fn take_pending(&mut self, id: RequestId) -> Option<PendingRequest> {
        self.pending.remove(&id).map(|(request, _)| request)
    }

    /// Removes and returns the requests that have waited too long for a reply.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<PendingRequest> {
        let is_over = |(_, until): &(PendingRequest, Instant)| now >= *until;
        let ids: Vec<RequestId> =
            self.pending.iter().filter(|(_, entry)| is_over(entry)).map(|(id, _)| *id).collect();
        ids.into_iter().filter_map(|id| self.take_pending(id)).collect()
    }

    /// Removes and returns the collected actions, with at most one `Publish`, which is last.
    pub(crate) fn drain(&mut self) -> Vec<Action> {
        if std::mem::take(&mut self.publish) {
            self.actions.push(Action::Publish);
        }
        std::mem::take(&mut self.actions)
    }

    fn track_request(&mut self, request: PendingRequest, until: Instant) -> RequestId {
        self.last_id += 1;
        let id = RequestId::new(self.last_id);
        self.pending.insert(id, (request, until));
        id
    }
}
