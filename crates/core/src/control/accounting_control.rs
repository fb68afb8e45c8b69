//! Accounting of calls and costs, and its collection for the teams' reports.

use std::sync::Arc;

use rand::Rng;

use crate::config::Config;
use crate::control::PeerMessage;
use crate::control::cx::Cx;
use crate::control::membership::{EXCHANGE_TIMEOUT, Membership};
use crate::control::pending_request::PendingRequest;
use crate::ids::NodeId;
use crate::peers::{Peer, PeerStatus, PeerTable};
use crate::report::{AccountingRecord, Collector, Ledger};
use crate::store::{StoreReply, StoreRequest};
use crate::units::{Instant, Millis, UnixMillis};

/// Rendezvous key whose first-ranked node in a data centre is the collector.
const COLLECTOR_KEY: &str = "accounting";
/// Upper bound of the random delay between the end of a minute and the sending of its
/// record, so that the records of many nodes do not reach the collector at once.
const MAX_SEND_DELAY: Millis = Millis::new(3_000);

/// Counts this node's calls and costs, and collects the records of its data centre
/// while this node is the collector.
#[derive(Debug, Clone)]
pub(crate) struct AccountingControl {
    pub(crate) ledger: Ledger,
    collector: Collector,
    /// The record that waits to be sent, and its send time. It is removed before it is sent,
    /// so each record is sent at most once.
    outgoing: Option<(AccountingRecord, Instant)>,
}

impl AccountingControl {
    pub(crate) fn new(own: &Peer, wall: UnixMillis) -> Self {
        Self {
            ledger: Ledger::new(own.id.clone(), wall),
            collector: Collector::new(own.data_centre.clone(), wall),
            outgoing: None,
        }
    }

    /// Passes the configuration that traffic uses to the ledger.
    pub(crate) fn apply_config<R>(&mut self, config: Option<&Arc<Config>>, cx: &Cx<'_, R>) {
        if let Some(config) = config {
            self.ledger.apply(config, cx.wall);
        }
    }

    /// Sends the record of the last minute and writes collected sums to the store when due.
    pub(crate) fn tick<R: Rng>(&mut self, membership: &Membership, cx: &mut Cx<'_, R>) {
        if let Some(record) = self.ledger.finish_minute(cx.wall) {
            let wait = Millis::new(cx.rng.random_range(0..MAX_SEND_DELAY.get()));
            self.outgoing = Some((record, cx.now + wait));
        }
        if self.outgoing.as_ref().is_some_and(|(_, at)| cx.now >= *at)
            && let Some((record, _)) = self.outgoing.take()
        {
            self.send(record, membership, cx);
        }
        let table = &membership.table;
        let is_collector = || collector_node(table) == Some(&table.own().id);
        let roster = || reporting_nodes(table).map(|peer| peer.id.clone()).collect();
        self.collector.tick(cx.wall, is_collector, roster);
        let request = self.collector.poll(cx.now, cx.rng);
        send_store_request(request, cx);
    }

    /// Makes the collected sums due for writing, because this process is about to stop.
    pub(crate) const fn flush(&mut self) {
        self.collector.flush();
    }

    /// Adds the record of a node of this data centre to the collected sums.
    pub(crate) fn collect<R>(
        &mut self,
        record: &AccountingRecord,
        table: &PeerTable,
        cx: &Cx<'_, R>,
    ) {
        self.collector.add_record(record, reporting_nodes(table).count() as u64, cx.wall);
    }

    /// Passes a store reply to the collector, which may send its next request.
    pub(crate) fn handle_store_reply<R: Rng>(&mut self, reply: StoreReply, cx: &mut Cx<'_, R>) {
        let request = self.collector.reply(reply, cx.now, cx.rng);
        send_store_request(request, cx);
    }

    fn send<R>(&mut self, record: AccountingRecord, membership: &Membership, cx: &mut Cx<'_, R>) {
        let table = &membership.table;
        match collector_node(table) {
            Some(id) if *id == table.own().id => self.collect(&record, table, cx),
            Some(id) => {
                if let Some(to) = membership.addr(id) {
                    let message = PeerMessage::Accounting(Box::new(record));
                    cx.send(to, message, EXCHANGE_TIMEOUT, PendingRequest::Accounting);
                }
            }
            // No node of the data centre is alive, so the record is lost.
            None => {}
        }
    }
}

/// Returns the node that collects the records of this node's data centre.
fn collector_node(table: &PeerTable) -> Option<&NodeId> {
    table.rank(COLLECTOR_KEY, Some(&table.own().data_centre), 1).first().copied()
}

/// Returns the nodes of this node's data centre that are expected to send records.
/// Includes suspected nodes, which may only be slow.
fn reporting_nodes(table: &PeerTable) -> impl Iterator<Item = &Peer> {
    let own = table.own();
    let is_alive = move |peer: &&Peer| {
        peer.data_centre == own.data_centre
            && matches!(peer.status, PeerStatus::Alive | PeerStatus::Suspected)
    };
    table.iter().filter(is_alive)
}

fn send_store_request<R>(request: Option<StoreRequest>, cx: &mut Cx<'_, R>) {
    if let Some(request) = request {
        cx.out.send_store_request(request, PendingRequest::StoreHour, cx.now);
    }
}
