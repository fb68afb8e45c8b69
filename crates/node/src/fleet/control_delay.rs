//! How late the control state handles its events.

use std::time::Duration;

use almondsail_core::fleet::FleetLogEvent;
use opentelemetry::metrics::{Histogram, Meter};

use crate::clock::to_micros;
use crate::fleet::event_log::EventLog;

/// Delay of a tick from which it is logged.
const LOGGED_DELAY: Duration = Duration::from_secs(1);

/// How late the control state handles its ticks: a node with more events than processor time acts
/// on old state, and shows it by this.
#[derive(Debug, Clone)]
pub(crate) struct ControlDelay {
    delays: Histogram<f64>,
    log: EventLog,
}

impl ControlDelay {
    pub(crate) fn new(meter: &Meter, log: EventLog) -> Self {
        let delays = meter
            .f64_histogram("fleet_control_delay_seconds")
            .with_description(
                "Time from when a tick of the control state is due until it is handled",
            )
            .with_boundaries(vec![0.01, 0.05, 0.1, 0.5, 1.0, 5.0])
            .build();
        Self { delays, log }
    }

    /// Records that a tick is handled `delay` after it was due.
    pub(crate) fn record(&self, delay: Duration) {
        self.delays.record(delay.as_secs_f64(), &[]);
        if delay >= LOGGED_DELAY {
            self.log.write(&FleetLogEvent::ControlLate { delay: to_micros(delay) });
        }
    }
}
