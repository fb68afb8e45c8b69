//! Log records and the counter of control state changes.

use almondsail_core::control::StateChange;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use slog::{Logger, info, warn};

/// Logs and counts the changes that the control state reports.
#[derive(Debug, Clone)]
pub struct StateLog {
    log: Logger,
    changes: Counter<u64>,
}

impl StateLog {
    /// Creates a log that writes records to `log` and creates its counter with `meter`.
    pub fn new(log: Logger, meter: &Meter) -> Self {
        let changes = meter
            .u64_counter("almondsail_state_changes")
            .with_description("Changes of the control state and refused updates, by kind")
            .build();
        Self { log, changes }
    }

    /// Counts a change and logs it, except for kinds that can occur many times a second.
    pub fn report(&self, change: &StateChange) {
        let kind = kind_label(change);
        self.changes.add(1, &[KeyValue::new("kind", kind)]);
        match change {
            StateChange::ConfigApplied(version) => {
                info!(self.log, "configuration in force"; "version" => version.get());
            }
            StateChange::ConfigInvalid(version) => {
                warn!(self.log, "configuration refused"; "version" => version.get());
            }
            StateChange::PeerStatusChanged(peer, status) => {
                info!(self.log, "peer status changed";
                    "peer" => peer.as_str(), "status" => status.as_str());
            }
            StateChange::FloorUnmet(floor) => {
                warn!(self.log, "waiting for a configuration that this node is known to have had";
                    "version" => floor.get());
            }
            StateChange::RolloutNotice(notice) => {
                info!(self.log, "rollout"; "service" => notice.service.as_str(),
                    "news" => %notice.kind, "reason" => &*notice.reason);
            }
            StateChange::SelfPreservation(true) => {
                warn!(self.log, "most pings fail; declaring no peer dead"; "doubt" => true);
            }
            StateChange::SelfPreservation(false) => {
                info!(self.log, "most pings succeed again"; "doubt" => false);
            }
            StateChange::StoreLost | StateChange::StoreValueCorrupt => {
                warn!(self.log, "store trouble"; "kind" => kind);
            }
            StateChange::Joined
            | StateChange::StoreRegained
            | StateChange::ReaderStarted
            | StateChange::ReaderStopped
            | StateChange::SuspicionRefuted
            | StateChange::BackendUp
            | StateChange::BackendDown => info!(self.log, "state changed"; "kind" => kind),
            StateChange::ConfigOlder(_) | StateChange::SnapshotRefused => {}
        }
    }
}

/// Returns the value of the `kind` label in the counter and in log records.
fn kind_label(change: &StateChange) -> &'static str {
    match change {
        StateChange::Joined => "joined",
        StateChange::ConfigApplied(_) => "config_applied",
        StateChange::ConfigInvalid(_) => "config_invalid",
        StateChange::ConfigOlder(_) => "config_older",
        StateChange::StoreValueCorrupt => "store_value_corrupt",
        StateChange::StoreLost => "store_lost",
        StateChange::StoreRegained => "store_regained",
        StateChange::ReaderStarted => "reader_started",
        StateChange::ReaderStopped => "reader_stopped",
        StateChange::PeerStatusChanged(..) => "peer_status_changed",
        StateChange::SuspicionRefuted => "suspicion_refuted",
        StateChange::SelfPreservation(_) => "self_doubt",
        StateChange::BackendUp => "backend_up",
        StateChange::BackendDown => "backend_down",
        StateChange::SnapshotRefused => "snapshot_refused",
        StateChange::RolloutNotice(_) => "rollout_notice",
        StateChange::FloorUnmet(_) => "floor_unmet",
    }
}
