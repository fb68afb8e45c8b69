//! Exchanges heartbeats between nodes as UDP datagrams.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use almondsail_core::fleet::{FleetEvent, FleetLogEvent, Heartbeat, HeartbeatPart};
use almondsail_wire::{decode_heartbeat, encode_heartbeat, is_quota_datagram};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::fleet::event_log::EventLog;
use crate::fleet::quota_link::QuotaLink;

/// Size limit of a heartbeat.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Number of received heartbeats that wait while the control loop takes none. Further ones are
/// dropped.
const MAX_BACKLOG: usize = 512;

/// Sends and receives heartbeats. A lost datagram is not sent again, since the next heartbeat
/// makes up for it.
#[derive(Debug, Clone)]
pub(crate) struct HeartbeatLink {
    socket: Arc<UdpSocket>,
    /// Handles the datagrams about quotas.
    quota: Arc<QuotaLink>,
    /// Counts the parts that were left out of heartbeats, by part.
    left_out: Counter<u64>,
    log: EventLog,
}

impl HeartbeatLink {
    pub(crate) fn new(
        socket: UdpSocket,
        quota: Arc<QuotaLink>,
        log: EventLog,
        meter: &Meter,
    ) -> Self {
        let left_out = meter
            .u64_counter("fleet_heartbeat_left_out")
            .with_description("Parts that were left out of heartbeats of too many bytes")
            .build();
        Self { socket: Arc::new(socket), quota, left_out, log }
    }

    /// Sends `heartbeat` to each address without blocking; failures are logged.
    pub(crate) fn send(&self, heartbeat: &Heartbeat, to: &[SocketAddr]) {
        let bytes = self.encode_within_limit(heartbeat);
        for addr in to {
            if let Err(error) = self.socket.try_send_to(&bytes, *addr) {
                self.log_failure(&error);
            }
        }
    }

    /// Encodes a heartbeat without as many parts as a receiver would not take because of its size.
    fn encode_within_limit(&self, heartbeat: &Heartbeat) -> Vec<u8> {
        let mut bytes = encode_heartbeat(heartbeat);
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            return bytes;
        }
        let mut shorter = heartbeat.clone();
        for part in HeartbeatPart::ALL {
            if bytes.len() > MAX_DATAGRAM_BYTES && shorter.leave_out(part) {
                self.left_out.add(1, &[KeyValue::new("part", part.as_str())]);
                bytes = encode_heartbeat(&shorter);
            }
        }
        bytes
    }

    fn log_failure(&self, error: &io::Error) {
        self.log.write(&FleetLogEvent::HeartbeatFailed { problem: error.to_string() });
    }

    /// Forwards received heartbeats to `events` until the control loop drops its receiver. Datagrams
    /// about quotas are answered at once, also while the control loop takes no heartbeats.
    pub(crate) async fn receive(self, events: mpsc::Sender<FleetEvent>) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        let mut backlog = VecDeque::new();
        loop {
            tokio::select! {
                permit = events.reserve(), if !backlog.is_empty() => {
                    let Ok(permit) = permit else { return };
                    if let Some(event) = backlog.pop_front() {
                        permit.send(event);
                    }
                }
                received = self.socket.recv_from(&mut buf) => match received {
                    Ok((length, from)) => self.handle(&buf[..length], from, &mut backlog),
                    // An ICMP refusal of a datagram sent earlier surfaces as a receive error.
                    Err(error) => self.log_failure(&error),
                },
                () = events.closed() => return,
            }
        }
    }

    fn handle(&self, datagram: &[u8], from: SocketAddr, backlog: &mut VecDeque<FleetEvent>) {
        if is_quota_datagram(datagram) {
            self.quota.receive(datagram, from);
            return;
        }
        match decode_heartbeat(datagram) {
            Ok(heartbeat) if backlog.len() < MAX_BACKLOG => {
                backlog.push_back(FleetEvent::Heartbeat(heartbeat));
            }
            Ok(_) => {}
            Err(problem) => {
                let problem = problem.to_string();
                self.log.write(&FleetLogEvent::HeartbeatRefused { from, problem });
            }
        }
    }
}
