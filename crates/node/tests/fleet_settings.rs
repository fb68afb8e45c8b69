//! Tests of the settings file of a fleet node.

use std::path::Path;

use almondsail_core::quota::QuotaSettings;
use almondsail_core::units::Millis;
use almondsail_node::fleet::FleetSettings;
use almondsail_node::settings::{SettingsError, SettingsFile};

fn sample() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples/fleet.jsonc");
    std::fs::read_to_string(path).unwrap()
}

fn errors(text: &str) -> Vec<String> {
    match FleetSettings::parse(text) {
        Err(SettingsError::InvalidFields(errors)) => {
            errors.iter().map(ToString::to_string).collect()
        }
        other => panic!("{other:?}"),
    }
}

/// Guards against a shipped sample that no longer parses, or that is read as the settings of a
/// node outside a fleet.
#[test]
fn read_shipped_sample() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples/fleet.jsonc");
    let settings = SettingsFile::read(Path::new(path)).unwrap();
    let SettingsFile::Fleet(settings) = settings else { panic!("{settings:?}") };
    assert_eq!(settings.grace, Millis::new(6_000));
    assert_eq!((settings.retry_ratio.get(), settings.retry_allowance), (200, 60));
    assert_eq!(settings.retry_window, Millis::new(10_000));
}

/// Guards against settings of quotas that are ignored, required or accepted out of range.
#[test]
fn read_quota_settings() {
    let settings = FleetSettings::parse(&sample()).unwrap();
    assert_eq!(settings.quota, QuotaSettings::default());
    let text = sample()
        .replace("\"quota_window_s\": 5", "\"quota_window_s\": 2.5")
        .replace("\"quota_overage\": 0.1", "\"quota_overage\": 0.05")
        .replace("\"quota_tolerance\": 20", "\"quota_tolerance\": 40");
    let quota = FleetSettings::parse(&text).unwrap().quota;
    assert_eq!((quota.window, quota.overage.get(), quota.tolerance), (Millis::new(2_500), 50, 40));
    let lines = sample();
    let without: Vec<&str> = lines.lines().filter(|line| !line.contains("quota_")).collect();
    assert_eq!(FleetSettings::parse(&without.join("\n")).unwrap().quota, QuotaSettings::default());
    let text = sample()
        .replace("\"quota_window_s\": 5", "\"quota_window_s\": 0")
        .replace("\"quota_tolerance\": 20", "\"quota_tolerance\": -1");
    let errors = errors(&text);
    for place in ["fleet.quota_window_s", "fleet.quota_tolerance"] {
        assert!(errors.iter().any(|error| error.contains(place)), "{place} is not in {errors:?}");
    }
}

/// Guards against a parser that stops at the first error, so that operators find the errors of
/// a file one at a time.
#[test]
fn parse_multiple_errors() {
    let text = sample()
        .replace("\"node-1\"", "\"N 1\"")
        .replace("\"10.1.0.8:7620\"", "\"0.0.0.0:7620\"")
        .replace("\"retry_ratio\": 0.2", "\"retry_ratio\": 2")
        .replace("\"service\"", "\"sarvice\"");
    let errors = errors(&text);
    for place in ["fleet.id", "fleet.listen.nodes", "fleet.retry_ratio", "fleet.service", "sarvice"]
    {
        assert!(errors.iter().any(|error| error.contains(place)), "{place} is not in {errors:?}");
    }
}

/// Guards against a misspelt kind of load shedding that is taken for the default.
#[test]
fn parse_load_shedding() {
    use almondsail_node::fleet::LoadShedding;
    let parse = |kind: &str| {
        let field = format!("\"load_shedding\": \"{kind}\"");
        FleetSettings::parse(&sample().replace("\"load_shedding\": \"teams\"", &field))
    };
    assert_eq!(parse("teams").unwrap().load_shedding, LoadShedding::default());
    assert_eq!(parse("value").unwrap().load_shedding, LoadShedding::Value);
    assert!(parse("worth").is_err());
}
