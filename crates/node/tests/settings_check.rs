//! Tests of the validation of settings files.

use std::path::Path;

use almondsail_node::settings::{NodeSettings, SettingsError};

fn samples_dir() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples"))
}

fn invalid_paths(text: &str) -> Vec<String> {
    match NodeSettings::parse(text, samples_dir()) {
        Err(SettingsError::InvalidFields(errors)) => {
            errors.into_iter().map(|error| error.path).collect()
        }
        other => panic!("expected errors, got {other:?}"),
    }
}

/// Guards against a shipped sample that fails validation.
#[test]
fn read_shipped_samples() {
    for name in ["depots.jsonc", "wellboats.jsonc"] {
        let settings = NodeSettings::read(&samples_dir().join(name));
        assert!(settings.is_ok(), "{name}: {}", settings.unwrap_err());
    }
}

/// Guards against validation that stops at the first error.
#[test]
fn parse_reports_every_error() {
    let text = r#"{
        // An upper-case id, a missing host, an unknown field.
        "node": {"id": "Bays", "data_centre": "a", "region": "r", "rack": "7"},
        "listen": {"callers": "127.0.0.1:0", "door": "0.0.0.0:1", "peers": "nowhere",
                   "operators": "127.0.0.1:0", "local": "10.0.0.1:7"},
        "seeds": ["127.0.0.1:1", 5],
        "store": {"address": "127.0.0.1:6000", "timeout_ms": 0},
        "backend": [],
        "installation_key_file": "absent.key",
        "operators": [{"name": "ana", "team": "Depots", "token_sha256": "12"}],
        "colour": "red",
    }"#;
    let mut paths = invalid_paths(text);
    paths.sort();
    let expected = [
        "backend",
        "backend.address",
        "colour",
        "installation_key_file",
        "listen.door",
        "listen.local",
        "listen.peers",
        "node.host",
        "node.id",
        "node.rack",
        "operators[0].team",
        "operators[0].token_sha256",
        "seeds[1]",
        "store.timeout_ms",
    ];
    assert_eq!(paths, expected);
}

/// Guards against reading a file with a syntax error as an empty one.
#[test]
fn parse_bad_syntax() {
    for text in ["", "{", "node = 1", "{\"node\": }"] {
        let result = NodeSettings::parse(text, samples_dir());
        assert!(matches!(result, Err(SettingsError::Syntax(_))), "{text:?} was accepted");
    }
}

/// Guards against accepting an empty or short key that could be guessed.
#[test]
fn parse_short_key() {
    let folder = std::env::temp_dir().join(format!("almondsail-key-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("example.key"), "short").unwrap();
    let text = std::fs::read_to_string(samples_dir().join("depots.jsonc")).unwrap();
    let result = NodeSettings::parse(&text, &folder);
    std::fs::remove_dir_all(&folder).unwrap();
    let Err(SettingsError::InvalidFields(errors)) = result else { panic!("accepted a short key") };
    assert_eq!(errors[0].path, "installation_key_file");
}
