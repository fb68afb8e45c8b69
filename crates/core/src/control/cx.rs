//! Context for the handling of one event.

use std::net::SocketAddr;

use crate::control::outbox::Outbox;
use crate::control::pending_request::PendingRequest;
use crate::control::{PeerMessage, StateChange};
use crate::units::{Instant, Millis, UnixMillis};

/// Time, random number generator and outbox for the handling of one event.
pub(crate) struct Cx<'a, R> {
    pub(crate) now: Instant,
    pub(crate) wall: UnixMillis,
    pub(crate) rng: &'a mut R,
    pub(crate) out: &'a mut Outbox,
}

impl<R> Cx<'_, R> {
    pub(crate) fn send(
        &mut self,
        to: SocketAddr,
        message: PeerMessage,
        timeout: Millis,
        request: PendingRequest,
    ) {
        self.out.send(to, message, timeout, request, self.now);
    }

    pub(crate) fn report(&mut self, change: StateChange) {
        self.out.report(change);
    }
}
