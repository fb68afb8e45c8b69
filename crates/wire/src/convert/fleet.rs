//! Conversions of heartbeats between fleet nodes and of the values that they keep in the store.

use almondsail_core::fleet::{
    BackendStatus, Confirmation, Departure, EvacuationDigest, EvacuationNotice, Evacuations,
    EvidenceWindow, Heartbeat, LatestHeartbeat, NodeDigest, NodeEntry, NodeKey, RolloutEvidence,
    RolloutProgress, RolloutReport, RouteEvidence, RouteKey, VersionEvidence,
};
use almondsail_core::ids::{ConfigVersion, Incarnation};
use almondsail_core::store::{Revision, StoreEra, StorePosition};
use almondsail_core::units::{Millis, UnixMillis};
use prost::Message;

use super::codec::decode;
use super::fields::{
    convert_each, counter, listener_address, optional_text, parse, parse_optional, positive_u16,
    required, to_wire,
};
use crate::{DecodeError, FieldError, MAX_FRAME_BYTES, fleet as wire};

/// Encodes a heartbeat as the body of a request to another node.
pub fn encode_heartbeat(heartbeat: &Heartbeat) -> Vec<u8> {
    wire::Heartbeat::from(heartbeat).encode_to_vec()
}

/// Decodes a heartbeat of at most [`MAX_FRAME_BYTES`].
pub fn decode_heartbeat(bytes: &[u8]) -> Result<Heartbeat, DecodeError> {
    let heartbeat: wire::Heartbeat = decode(bytes, MAX_FRAME_BYTES)?;
    Ok(heartbeat.try_into()?)
}

/// Encodes the entry of a node for the store.
pub fn encode_node_entry(entry: &NodeEntry) -> Vec<u8> {
    wire::NodeEntry::from(entry).encode_to_vec()
}

/// Decodes the entry of a node from the store.
pub fn decode_node_entry(bytes: &[u8]) -> Result<NodeEntry, DecodeError> {
    let entry: wire::NodeEntry = decode(bytes, MAX_FRAME_BYTES)?;
    Ok(entry.try_into()?)
}

/// Encodes the departure of a backend server for the store.
pub fn encode_departure(departure: &Departure) -> Vec<u8> {
    wire::Departure::from(departure).encode_to_vec()
}

/// Decodes the departure of a backend server from the store.
pub fn decode_departure(bytes: &[u8]) -> Result<Departure, DecodeError> {
    let departure: wire::Departure = decode(bytes, MAX_FRAME_BYTES)?;
    Ok(departure.try_into()?)
}

/// Encodes the progress of a rollout for the store.
pub fn encode_progress(progress: &RolloutProgress) -> Vec<u8> {
    wire::RolloutProgress::from(progress).encode_to_vec()
}

/// Decodes the progress of a rollout from the store.
pub fn decode_progress(bytes: &[u8]) -> Result<RolloutProgress, DecodeError> {
    let progress: wire::RolloutProgress = decode(bytes, MAX_FRAME_BYTES)?;
    Ok(progress.try_into()?)
}

impl From<&NodeEntry> for wire::NodeEntry {
    fn from(entry: &NodeEntry) -> Self {
        Self {
            node: entry.node.to_string(),
            door: entry.inbound.to_string(),
            heartbeats: entry.heartbeats.to_string(),
            data_centre: entry.data_centre.to_string(),
            departed: entry.departed.as_ref().map(Into::into),
        }
    }
}

impl TryFrom<wire::NodeEntry> for NodeEntry {
    type Error = FieldError;

    fn try_from(w: wire::NodeEntry) -> Result<Self, FieldError> {
        Ok(Self {
            node: parse("node", &w.node)?,
            inbound: listener_address("door", &w.door)?,
            heartbeats: listener_address("heartbeats", &w.heartbeats)?,
            data_centre: parse("data_centre", &w.data_centre)?,
            departed: w.departed.map(TryInto::try_into).transpose()?,
        })
    }
}

impl From<&BackendStatus> for wire::Backend {
    fn from(status: &BackendStatus) -> Self {
        Self {
            id: status.id.to_string(),
            born: status.started_at.get(),
            service: status.service.to_string(),
            version: status.version.to_string(),
            slots: status.slots,
            is_cold: status.is_cold,
        }
    }
}

impl TryFrom<wire::Backend> for BackendStatus {
    type Error = FieldError;

    fn try_from(w: wire::Backend) -> Result<Self, FieldError> {
        Ok(Self {
            id: parse("id", &w.id)?,
            started_at: UnixMillis::new(counter("born", w.born)?),
            service: parse("service", &w.service)?,
            version: parse("version", &w.version)?,
            slots: positive_u16("slots", w.slots)?.into(),
            is_cold: w.is_cold,
        })
    }
}

impl From<&RolloutReport> for wire::Rollout {
    fn from(report: &RolloutReport) -> Self {
        let evidence = report.evidence.iter().flat_map(|evidence| &evidence.all.routes);
        let concurrent = report.evidence.iter().flat_map(|evidence| &evidence.concurrent.routes);
        Self {
            service: report.service.to_string(),
            target: report.target.to_string(),
            order: report.order.get(),
            order_era: report.order_era.map(StoreEra::get),
            duration_ms: report.duration.get(),
            elapsed_ms: report.elapsed.get(),
            is_stopped: report.is_stopped,
            outcome: optional_text(report.outcome.as_ref()),
            has_evidence: report.evidence.is_some(),
            evidence: evidence.map(evidence_to_wire).collect(),
            concurrent: concurrent.map(evidence_to_wire).collect(),
            windows: to_wire(report.evidence.iter().flat_map(|evidence| &evidence.windows)),
        }
    }
}

fn evidence_to_wire((route, evidence): (&RouteKey, &RouteEvidence)) -> wire::RouteEvidence {
    wire::RouteEvidence {
        route: route.get(),
        failures: evidence.failures,
        times: times_to_wire(evidence),
    }
}

/// Returns the answers by bucket without the empty buckets behind the last one.
fn times_to_wire(evidence: &RouteEvidence) -> Vec<u32> {
    let used = evidence.times.iter().rposition(|n| *n > 0).map_or(0, |last| last + 1);
    evidence.times[..used].to_vec()
}

impl From<&EvidenceWindow> for wire::EvidenceWindow {
    fn from(window: &EvidenceWindow) -> Self {
        Self {
            failures: window.all.failures,
            times: times_to_wire(&window.all),
            concurrent_failures: window.concurrent.failures,
            concurrent_times: times_to_wire(&window.concurrent),
        }
    }
}

impl From<&wire::EvidenceWindow> for EvidenceWindow {
    fn from(w: &wire::EvidenceWindow) -> Self {
        Self {
            all: counts_from_wire(w.failures, &w.times),
            concurrent: counts_from_wire(w.concurrent_failures, &w.concurrent_times),
        }
    }
}

impl TryFrom<wire::Rollout> for RolloutReport {
    type Error = FieldError;

    fn try_from(w: wire::Rollout) -> Result<Self, FieldError> {
        let version_evidence = |routes: &[wire::RouteEvidence]| VersionEvidence {
            routes: routes.iter().map(evidence_from_wire).collect(),
        };
        let evidence = RolloutEvidence {
            all: version_evidence(&w.evidence),
            concurrent: version_evidence(&w.concurrent),
            windows: w.windows.iter().take(EvidenceWindow::MAX_WINDOWS).map(Into::into).collect(),
        };
        Ok(Self {
            service: parse("service", &w.service)?,
            target: parse("target", &w.target)?,
            order: Revision::new(counter("order", w.order)?),
            order_era: w
                .order_era
                .map(|era| counter("order_era", era))
                .transpose()?
                .map(StoreEra::new),
            duration: Millis::new(w.duration_ms),
            elapsed: Millis::new(w.elapsed_ms),
            is_stopped: w.is_stopped,
            outcome: parse_optional("outcome", &w.outcome)?,
            evidence: w.has_evidence.then_some(evidence),
        })
    }
}

fn evidence_from_wire(w: &wire::RouteEvidence) -> (RouteKey, RouteEvidence) {
    (RouteKey::new(w.route), counts_from_wire(w.failures, &w.times))
}

/// Ignores buckets beyond [`RouteEvidence::BUCKETS`].
fn counts_from_wire(failures: u32, times: &[u32]) -> RouteEvidence {
    let mut evidence = RouteEvidence { failures, ..RouteEvidence::default() };
    for (bucket, n) in evidence.times.iter_mut().zip(times) {
        *bucket = *n;
    }
    evidence
}

impl From<&Departure> for wire::Departure {
    fn from(departure: &Departure) -> Self {
        Self { id: departure.id.to_string(), born: departure.started_at.map(UnixMillis::get) }
    }
}

impl TryFrom<wire::Departure> for Departure {
    type Error = FieldError;

    fn try_from(w: wire::Departure) -> Result<Self, FieldError> {
        let born = w.born.map(|born| counter("born", born)).transpose()?;
        Ok(Self { id: parse("id", &w.id)?, started_at: born.map(UnixMillis::new) })
    }
}

impl From<&Confirmation> for wire::Confirmation {
    fn from(confirmation: &Confirmation) -> Self {
        Self {
            revision: confirmation.position.revision.get(),
            era: confirmation.position.era.get(),
            age_ms: u32::try_from(confirmation.age.get()).unwrap_or(u32::MAX),
        }
    }
}

impl TryFrom<wire::Confirmation> for Confirmation {
    type Error = FieldError;

    fn try_from(w: wire::Confirmation) -> Result<Self, FieldError> {
        let era = StoreEra::new(counter("confirmation.era", w.era)?);
        let position =
            StorePosition::new(era, Revision::new(counter("confirmation.revision", w.revision)?));
        Ok(Self { position, age: Millis::new(w.age_ms.into()) })
    }
}

impl From<&EvacuationNotice> for wire::Evacuation {
    fn from(notice: &EvacuationNotice) -> Self {
        Self {
            data_centre: notice.data_centre.to_string(),
            is_ordered: notice.is_ordered,
            revision: notice.position.revision.get(),
            era: notice.position.era.get(),
        }
    }
}

impl TryFrom<wire::Evacuation> for EvacuationNotice {
    type Error = FieldError;

    fn try_from(w: wire::Evacuation) -> Result<Self, FieldError> {
        let era = StoreEra::new(counter("evacuation.era", w.era)?);
        let revision = Revision::new(counter("evacuation.revision", w.revision)?);
        Ok(Self {
            data_centre: parse("data_centre", &w.data_centre)?,
            is_ordered: w.is_ordered,
            position: StorePosition::new(era, revision),
        })
    }
}

impl From<&Heartbeat> for wire::Heartbeat {
    fn from(heartbeat: &Heartbeat) -> Self {
        Self {
            entry: Some((&heartbeat.entry).into()),
            incarnation: heartbeat.incarnation.get(),
            sequence: heartbeat.sequence,
            config_version: heartbeat.config_version.get(),
            is_store_reached: heartbeat.is_store_reached,
            is_leaving: heartbeat.is_leaving,
            backend: heartbeat.backend.as_ref().map(Into::into),
            rollouts: to_wire(&heartbeat.rollouts),
            departures: to_wire(&heartbeat.departures),
            digest: heartbeat.digest.as_deref().map(Into::into),
            revision: heartbeat.revision,
            evacuations: heartbeat
                .evacuations
                .as_deref()
                .map_or_else(Vec::new, |digest| to_wire(&digest.notices)),
            confirmation: heartbeat.confirmation.as_ref().map(Into::into),
        }
    }
}

impl TryFrom<wire::Heartbeat> for Heartbeat {
    type Error = FieldError;

    fn try_from(w: wire::Heartbeat) -> Result<Self, FieldError> {
        Ok(Self {
            entry: required("entry", w.entry)?.try_into()?,
            incarnation: Incarnation::new(counter("incarnation", w.incarnation)?),
            sequence: counter("sequence", w.sequence)?,
            config_version: ConfigVersion::new(counter("config_version", w.config_version)?),
            is_store_reached: w.is_store_reached,
            is_leaving: w.is_leaving,
            backend: w.backend.map(TryInto::try_into).transpose()?,
            rollouts: convert_each("rollouts", w.rollouts)?,
            departures: convert_each("departures", w.departures)?,
            digest: w.digest.map(TryInto::try_into).transpose()?.map(Box::new),
            revision: revision(w.revision, w.sequence)?,
            evacuations: evacuations(w.evacuations)?,
            confirmation: w.confirmation.map(TryInto::try_into).transpose()?,
        })
    }
}

/// Converts the evacuation orders and withdrawals of a heartbeat, which may be too many to be those of
/// a proper node.
fn evacuations(w: Vec<wire::Evacuation>) -> Result<Option<Box<EvacuationDigest>>, FieldError> {
    if w.len() > Evacuations::MAX_KNOWN {
        return Err(FieldError::new("evacuations", format_args!("{} entries", w.len())));
    }
    let notices: Vec<EvacuationNotice> = convert_each("evacuations", w)?;
    Ok((!notices.is_empty()).then(|| Box::new(EvacuationDigest { notices })))
}

/// Converts the revision of the heartbeat `sequence`.
fn revision(w: u64, sequence: u64) -> Result<u64, FieldError> {
    if w <= sequence {
        Ok(w)
    } else {
        Err(FieldError::new("revision", format_args!("{w} is above the sequence {sequence}")))
    }
}

impl From<&LatestHeartbeat> for wire::LatestHeartbeat {
    fn from(latest: &LatestHeartbeat) -> Self {
        Self { key: latest.key.get(), sequence: latest.sequence, revision: latest.revision }
    }
}

impl TryFrom<wire::LatestHeartbeat> for LatestHeartbeat {
    type Error = FieldError;

    fn try_from(w: wire::LatestHeartbeat) -> Result<Self, FieldError> {
        Ok(Self {
            key: NodeKey::new(w.key),
            sequence: counter("sequence", w.sequence)?,
            revision: revision(w.revision, w.sequence)?,
        })
    }
}

impl From<&NodeDigest> for wire::NodeDigest {
    fn from(digest: &NodeDigest) -> Self {
        Self {
            changed: to_wire(&digest.changed),
            latest: to_wire(&digest.latest),
            wanted: digest.wanted.iter().map(|key| key.get()).collect(),
        }
    }
}

impl TryFrom<wire::NodeDigest> for NodeDigest {
    type Error = FieldError;

    fn try_from(w: wire::NodeDigest) -> Result<Self, FieldError> {
        let has_digest = |heartbeat: &wire::Heartbeat| heartbeat.digest.is_some();
        if w.changed.iter().any(has_digest) {
            return Err(FieldError::new("changed", "a heartbeat that is passed on has a digest"));
        }
        Ok(Self {
            changed: convert_each("changed", w.changed)?,
            latest: convert_each("latest", w.latest)?,
            wanted: w.wanted.into_iter().map(NodeKey::new).collect(),
        })
    }
}

impl From<&RolloutProgress> for wire::RolloutProgress {
    fn from(progress: &RolloutProgress) -> Self {
        Self {
            service: progress.service.to_string(),
            target: progress.target.to_string(),
            order: progress.order.revision.get(),
            order_era: progress.order.era.get(),
            duration_ms: progress.duration.get(),
            started: progress.started.get(),
            outcome: optional_text(progress.outcome.as_ref()),
        }
    }
}

impl TryFrom<wire::RolloutProgress> for RolloutProgress {
    type Error = FieldError;

    fn try_from(w: wire::RolloutProgress) -> Result<Self, FieldError> {
        Ok(Self {
            service: parse("service", &w.service)?,
            target: parse("target", &w.target)?,
            order: StorePosition::new(
                StoreEra::new(counter("order_era", w.order_era)?),
                Revision::new(counter("order", w.order)?),
            ),
            duration: Millis::new(w.duration_ms),
            started: UnixMillis::new(w.started),
            outcome: parse_optional("outcome", &w.outcome)?,
        })
    }
}
