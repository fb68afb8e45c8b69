//! Settings of a node of a fleet.

use std::net::SocketAddr;

use almondsail_core::ids::{DataCentre, NodeId, ServiceName};
use almondsail_core::quota::QuotaSettings;
use almondsail_core::units::{Millis, PerMille};

use crate::fleet::load_shedding::LoadShedding;
use crate::settings::{Fields, InvalidField, SettingsError, read_section};

/// Settings of a node of a fleet, read from the section `fleet` of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSettings {
    /// Id of the node, unique in the fleet.
    pub id: NodeId,
    /// Data centre of the node's host, by which calls prefer near endpoints.
    pub data_centre: DataCentre,
    /// Addresses on which the node listens.
    pub listen: FleetListen,
    /// Address of the external store of configuration and rollouts.
    pub store: SocketAddr,
    /// Time limit of a request to the store, from 10 ms to 60 s.
    pub store_timeout: Millis,
    /// Address at which the backend server beside the node takes calls.
    pub backend: SocketAddr,
    /// Service of the backend server beside the node.
    pub service: ServiceName,
    /// Time from the stop signal to the end of the process, from 0.5 s to 600 s.
    pub grace: Millis,
    /// Share of a service's calls that may arrive at a second backend server.
    pub retry_ratio: PerMille,
    /// Number of a service's calls that may arrive at a second backend server in each
    /// `retry_window` in addition to `retry_ratio`, over all nodes.
    pub retry_allowance: u32,
    /// Window over which the retry budget is counted, from 1 s to 600 s.
    pub retry_window: Millis,
    /// When calls are refused by what serving them is worth.
    pub load_shedding: LoadShedding,
    /// How exactly the quotas of teams are kept.
    pub quota: QuotaSettings,
}

/// The addresses on which a node of a fleet listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetListen {
    /// Address for the calls of callers.
    pub callers: SocketAddr,
    /// Address for calls (TCP) and heartbeats (UDP) of other nodes, which must be able to reach it.
    pub nodes: SocketAddr,
    /// Address of the readiness check, by which the platform learns whether the node takes calls.
    pub ready: SocketAddr,
    /// Address to which the backend server sends its announcements.
    pub announcements: SocketAddr,
    /// Address at which the metrics are read.
    pub metrics: SocketAddr,
}

impl FleetSettings {
    const DEFAULT_STORE_TIMEOUT_MS: u64 = 900;
    const DEFAULT_GRACE_S: f64 = 6.0;
    const DEFAULT_RETRY_RATIO: f64 = 0.2;
    const DEFAULT_RETRY_ALLOWANCE: f64 = 60.0;
    const DEFAULT_RETRY_WINDOW_S: f64 = 10.0;

    /// Parses and checks the text of a settings file. The returned error lists every invalid field.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let value = json5::from_str(text).map_err(|e| SettingsError::Syntax(e.to_string()))?;
        let mut errors: Vec<InvalidField> = Vec::new();
        let mut fields = Fields::new("", value, &mut errors);
        let settings = read_section(fields.object("fleet"), Self::read_fields);
        fields.finish();
        match settings {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => Err(SettingsError::InvalidFields(errors)),
        }
    }

    /// Returns whether `text` has a section `fleet`; `false` if it can't be parsed.
    pub fn is_in(text: &str) -> bool {
        json5::from_str::<serde_json::Value>(text).is_ok_and(|value| value.get("fleet").is_some())
    }

    fn read_fields(fields: &mut Fields<'_>) -> Option<Self> {
        // Reads every field before the first `?`, so that all errors are reported.
        let id = fields.string("id");
        let data_centre = fields.string("data_centre");
        let listen = read_section(fields.object("listen"), FleetListen::read);
        let store = fields.string("store");
        let store_timeout =
            fields.number_or("store_timeout_ms", Self::DEFAULT_STORE_TIMEOUT_MS, 10..=60_000);
        let backend = fields.string("backend");
        let service = fields.string("service");
        let grace = fields.decimal_or("grace_s", Self::DEFAULT_GRACE_S, 0.5..=600.0);
        let ratio = fields.decimal_or("retry_ratio", Self::DEFAULT_RETRY_RATIO, 0.0..=1.0);
        let allowance =
            fields.decimal_or("retry_allowance", Self::DEFAULT_RETRY_ALLOWANCE, 0.0..=1e6);
        let window = fields.decimal_or("retry_window_s", Self::DEFAULT_RETRY_WINDOW_S, 1.0..=600.0);
        let load_shedding = fields.string_or("load_shedding", LoadShedding::default());
        let quota = read_quota(fields);
        Some(Self {
            id: id?,
            data_centre: data_centre?,
            listen: listen?,
            store: store?,
            store_timeout: Millis::new(store_timeout?),
            backend: backend?,
            service: service?,
            grace: seconds(grace?),
            retry_ratio: PerMille::new((ratio? * 1_000.0) as u16)?,
            retry_allowance: allowance? as u32,
            retry_window: seconds(window?),
            load_shedding: load_shedding?,
            quota: quota?,
        })
    }
}

impl FleetListen {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let callers = fields.string("callers");
        let nodes = fields.string("nodes");
        let ready = fields.string("ready");
        let announcements = fields.string("announcements");
        let metrics = fields.string("metrics");
        if nodes.is_some_and(|addr: SocketAddr| addr.ip().is_unspecified()) {
            fields.add_error("nodes", "expected an address at which other nodes reach this one");
        }
        Some(Self {
            callers: callers?,
            nodes: nodes?,
            ready: ready?,
            announcements: announcements?,
            metrics: metrics?,
        })
    }
}

fn read_quota(fields: &mut Fields<'_>) -> Option<QuotaSettings> {
    let default = QuotaSettings::default();
    let default_window = default.window.get() as f64 / 1e3;
    let default_overage = f64::from(default.overage.get()) / 1e3;
    let window = fields.decimal_or("quota_window_s", default_window, 1.0..=600.0);
    let overage = fields.decimal_or("quota_overage", default_overage, 0.0..=1.0);
    let tolerance = fields.decimal_or("quota_tolerance", default.tolerance.into(), 0.0..=1e6);
    Some(QuotaSettings {
        window: seconds(window?),
        overage: PerMille::new((overage? * 1_000.0) as u16)?,
        tolerance: tolerance? as u32,
    })
}

fn seconds(n: f64) -> Millis {
    Millis::new((n * 1_000.0) as u64)
}
