//! Compares the documentation page of the metrics with the code.

use std::collections::BTreeSet;
use std::path::Path;

use almondsail_core::{RefusalReason, RetryReason};

/// Prefixes that the names of all instruments have.
const PREFIXES: [&str; 2] = ["almondsail_", "fleet_"];

fn repository() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

fn page() -> String {
    std::fs::read_to_string(repository().join("docs/counters.md")).unwrap()
}

/// Returns the concatenated text of all Rust files below `folder`.
fn sources(folder: &Path) -> String {
    let mut text = String::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            text += &sources(&path);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text += &std::fs::read_to_string(path).unwrap();
        }
    }
    text
}

/// Returns the names of the instruments in the node's code: string literals with one of `PREFIXES`.
fn instruments() -> BTreeSet<String> {
    let code = sources(&repository().join("crates/node/src"));
    let texts = code.split('"').filter(|text| is_instrument(text));
    texts.map(ToOwned::to_owned).collect()
}

fn is_instrument(text: &str) -> bool {
    let is_word = text.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    is_word && PREFIXES.iter().any(|prefix| text.starts_with(prefix))
}

/// Returns the first cells of the table rows in `text` that begin with code, without backquotes.
fn first_cells(text: &str) -> BTreeSet<String> {
    let first = text.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next());
    first.map(ToOwned::to_owned).collect()
}

/// Guards against an instrument that the page does not describe, and a description whose instrument
/// no longer exists.
#[test]
fn page_has_every_instrument() {
    let names = instruments();
    assert!(names.contains("fleet_answers") && names.contains("almondsail_state_changes"));
    let described: BTreeSet<String> =
        first_cells(&page()).into_iter().filter(|row| is_instrument(row)).collect();
    assert_eq!(described, names);
}

/// Guards against a refusal reason, retry reason or kind of change that the page does not explain.
#[test]
fn page_has_every_reason() {
    let page = page();
    let explained = first_cells(&page);
    let refusals = RefusalReason::ALL.map(RefusalReason::as_str);
    let retries = RetryReason::ALL.map(RetryReason::as_str);
    for reason in refusals.into_iter().chain(retries) {
        assert!(explained.contains(reason), "{reason}");
    }
    let source = repository().join("crates/core/src/fleet/fleet_change.rs");
    let source = std::fs::read_to_string(source).unwrap();
    let kinds: BTreeSet<String> = source
        .lines()
        .filter_map(|line| line.split_once("=> \"")?.1.strip_suffix("\","))
        .map(ToOwned::to_owned)
        .collect();
    assert!(kinds.contains("config_in_force"));
    let section = page.split("### Kinds of change in a fleet").nth(1).unwrap();
    assert_eq!(first_cells(section), kinds);
}
