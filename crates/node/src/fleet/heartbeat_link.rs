//! Exchanges heartbeats between nodes as UDP datagrams.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use almondsail_core::fleet::{FleetEvent, FleetLogEvent, Heartbeat};
use almondsail_wire::{decode_heartbeat, encode_heartbeat};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::fleet::event_log::EventLog;

/// Size limit of a received heartbeat.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Sends and receives heartbeats. A lost datagram is not sent again, since the next heartbeat
/// makes up for it.
#[derive(Debug, Clone)]
pub(crate) struct HeartbeatLink {
    socket: Arc<UdpSocket>,
    log: EventLog,
}

impl HeartbeatLink {
    pub(crate) fn new(socket: UdpSocket, log: EventLog) -> Self {
        Self { socket: Arc::new(socket), log }
    }

    /// Sends `heartbeat` to each address without blocking; failures are logged.
    pub(crate) fn send(&self, heartbeat: &Heartbeat, to: &[SocketAddr]) {
        let bytes = encode_heartbeat(heartbeat);
        for addr in to {
            if let Err(error) = self.socket.try_send_to(&bytes, *addr) {
                self.log_failure(&error);
            }
        }
    }

    fn log_failure(&self, error: &io::Error) {
        self.log.write(&FleetLogEvent::HeartbeatFailed { problem: error.to_string() });
    }

    /// Forwards received heartbeats to `events` until the control loop drops its receiver.
    pub(crate) async fn receive(self, events: mpsc::Sender<FleetEvent>) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buf).await {
                Ok(received) => received,
                // An ICMP refusal of a datagram sent earlier surfaces as a receive error.
                Err(error) => {
                    self.log_failure(&error);
                    continue;
                }
            };
            match decode_heartbeat(&buf[..length]) {
                Ok(heartbeat) => {
                    if events.send(FleetEvent::Heartbeat(heartbeat)).await.is_err() {
                        return;
                    }
                }
                Err(problem) => {
                    let problem = problem.to_string();
                    self.log.write(&FleetLogEvent::HeartbeatRefused { from, problem });
                }
            }
        }
    }
}
