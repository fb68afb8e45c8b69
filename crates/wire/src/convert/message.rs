//! Conversions of peer messages.

use std::sync::Arc;

use almondsail_core::config::Config;
use almondsail_core::control::PeerMessage;
use almondsail_core::ids::ConfigVersion;
use almondsail_core::units::Millis;

use super::fields::{convert_each, optional_digest, parse, plain_text, required, to_wire};
use crate::peer::peer_message::Message;
use crate::{FieldError, peer as wire};

impl From<&PeerMessage> for wire::PeerMessage {
    fn from(message: &PeerMessage) -> Self {
        let message = match message {
            PeerMessage::Join(peer) => Message::Join(peer.into()),
            PeerMessage::Welcome { peers, floor, status, is_settled } => {
                Message::Welcome(wire::Welcome {
                    is_settled: *is_settled,
                    peers: to_wire(peers),
                    floor: floor.get(),
                    status: Some(status.into()),
                })
            }
            PeerMessage::Ping(status) => Message::Ping(status.into()),
            PeerMessage::Pong(status) => Message::Pong(status.into()),
            PeerMessage::PingFor(node) => Message::PingFor(node.to_string()),
            PeerMessage::NoAnswer(node) => Message::NoAnswer(node.to_string()),
            PeerMessage::PeerUpdates(peers) => {
                Message::PeerUpdates(wire::Peers { peers: to_wire(peers) })
            }
            PeerMessage::TableBuckets(digests) => {
                Message::TableBuckets(wire::TableBuckets { digests: digests.clone() })
            }
            PeerMessage::TableEntries(peers) => {
                Message::TableEntries(wire::Peers { peers: to_wire(peers) })
            }
            PeerMessage::ConfigPush(delta) => Message::ConfigPush(delta.into()),
            PeerMessage::ConfigPull(held) => Message::ConfigPull(wire::ConfigPull {
                held: held.map(|digest| digest.as_bytes().to_vec()).unwrap_or_default(),
            }),
            PeerMessage::ConfigDelta(delta) => Message::ConfigDelta(delta.into()),
            PeerMessage::ConfigSnapshot(cfg) => Message::ConfigSnapshot((&**cfg).into()),
            PeerMessage::Busy(retry_after) => Message::BusyMs(retry_after.get()),
            PeerMessage::StopMarks { marks, config_version, reason } => {
                Message::StopMarks(wire::StopMarks {
                    marks: to_wire(marks),
                    reason: reason.to_string(),
                    since: config_version.get(),
                })
            }
            PeerMessage::Ack(version) => Message::Ack(version.get()),
            PeerMessage::Evidence(report) => Message::Evidence(report.into()),
            PeerMessage::Accounting(record) => Message::Accounting((&**record).into()),
        };
        Self { message: Some(message) }
    }
}

impl TryFrom<wire::PeerMessage> for PeerMessage {
    type Error = FieldError;

    fn try_from(w: wire::PeerMessage) -> Result<Self, FieldError> {
        Ok(match required("message", w.message)? {
            Message::Join(peer) => Self::Join(peer.try_into()?),
            Message::Welcome(welcome) => Self::Welcome {
                is_settled: welcome.is_settled,
                peers: convert_each("peers", welcome.peers)?,
                floor: ConfigVersion::new(welcome.floor),
                status: required("status", welcome.status)?.try_into()?,
            },
            Message::Ping(status) => Self::Ping(status.try_into()?),
            Message::Pong(status) => Self::Pong(status.try_into()?),
            Message::PingFor(node) => Self::PingFor(parse("ping_for", &node)?),
            Message::NoAnswer(node) => Self::NoAnswer(parse("no_answer", &node)?),
            Message::PeerUpdates(list) => Self::PeerUpdates(convert_each("peers", list.peers)?),
            Message::TableBuckets(buckets) => Self::TableBuckets(buckets.digests),
            Message::TableEntries(list) => Self::TableEntries(convert_each("peers", list.peers)?),
            Message::ConfigPush(delta) => Self::ConfigPush(delta.try_into()?),
            Message::ConfigPull(pull) => Self::ConfigPull(optional_digest("held", &pull.held)?),
            Message::ConfigDelta(delta) => Self::ConfigDelta(delta.try_into()?),
            Message::ConfigSnapshot(cfg) => Self::ConfigSnapshot(Arc::new(Config::try_from(cfg)?)),
            Message::BusyMs(ms) => Self::Busy(Millis::new(ms)),
            Message::StopMarks(stops) => Self::StopMarks {
                marks: convert_each("marks", stops.marks)?,
                config_version: ConfigVersion::new(stops.since),
                reason: plain_text("reason", stops.reason)?,
            },
            Message::Ack(version) => Self::Ack(ConfigVersion::new(version)),
            Message::Evidence(report) => Self::Evidence(report.try_into()?),
            Message::Accounting(record) => Self::Accounting(Box::new(record.try_into()?)),
        })
    }
}
