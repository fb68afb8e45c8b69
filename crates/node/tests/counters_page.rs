//! The page of counters against the code.

use std::collections::BTreeSet;
use std::path::Path;

use almondsail_core::{RefusalReason, RetryReason};

/// The beginnings of the names of all instruments.
const PREFIXES: [&str; 2] = ["almondsail_", "fleet_"];

fn repository() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

fn page() -> String {
    std::fs::read_to_string(repository().join("docs/counters.md")).unwrap()
}

/// The text of all source files in `folder`.
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

/// The names of instruments in the code of the node: texts with their prefixes.
fn instruments() -> BTreeSet<String> {
    let code = sources(&repository().join("crates/node/src"));
    let texts = code.split('"').filter(|text| is_instrument(text));
    texts.map(ToOwned::to_owned).collect()
}

fn is_instrument(text: &str) -> bool {
    let is_word = text.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    is_word && PREFIXES.iter().any(|prefix| text.starts_with(prefix))
}

/// The first columns of the tables in `text`, without backquotes.
fn rows(text: &str) -> BTreeSet<String> {
    let first = text.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next());
    first.map(ToOwned::to_owned).collect()
}

/// Guards against a counter without a line on the page, and a line without its counter.
#[test]
fn page_has_every_instrument() {
    let names = instruments();
    assert!(names.contains("fleet_answers") && names.contains("almondsail_state_changes"));
    let described: BTreeSet<String> =
        rows(&page()).into_iter().filter(|row| is_instrument(row)).collect();
    assert_eq!(described, names);
}

/// Guards against a reason or a kind of change that the page does not explain.
#[test]
fn page_has_every_reason() {
    let page = page();
    let explained = rows(&page);
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
    assert_eq!(rows(section), kinds);
}
