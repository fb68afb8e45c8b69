//! Tests the log records of control state changes.

use std::sync::{Arc, Mutex};

use almondsail_core::control::StateChange;
use almondsail_node::control::state_log::StateLog;
use almondsail_node::metrics::Metrics;
use slog::{Drain, Level, Logger, Never, OwnedKVList, Record};

/// Collects the levels and messages of log records.
#[derive(Clone, Default)]
struct Records(Arc<Mutex<Vec<(Level, String)>>>);

impl Drain for Records {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), Never> {
        self.0.lock().unwrap().push((record.level(), record.msg().to_string()));
        Ok(())
    }
}

/// Guards against an alarm that most pings fail when they succeed again.
#[test]
fn report_self_preservation_end() {
    let records = Records::default();
    let log = Logger::root(records.clone(), slog::o!());
    let state_log = StateLog::new(log, &Metrics::new().unwrap().meter());
    state_log.report(&StateChange::SelfPreservation(true));
    state_log.report(&StateChange::SelfPreservation(false));
    let wanted = [
        (Level::Warning, "most pings fail; declaring no peer dead".to_owned()),
        (Level::Info, "most pings succeed again".to_owned()),
    ];
    assert_eq!(*records.0.lock().unwrap(), wanted);
}
