//! Tests of explaining a request from the logs of nodes.

use almondsail_cli::explain::{Explanation, LogLine, read_log};

const LOG: &str = r#"
{"callers":"10.1.0.8:1"}
  -6.9906 n1 {"msg":"change","level":"INFO","ts":"2026-08-24T19:48:14.1Z","node":"n1","kind":"config_in_force","what":"version 3"}
{"msg":"change","level":"INFO","ts":"2026-08-24T19:48:14.2Z","node":"n1","kind":"config_in_force","what":"version 4"}
{"msg":"call","level":"INFO","ts":"2026-08-24T19:48:15.12Z","node":"n1","id":"9c41","verdict":"may-have-run","reason":"broken_exchange","doors":"n2/i-2/v1","took_us":31}
{"msg":"door","level":"INFO","ts":"2026-08-24T19:48:15.119Z","node":"n2","id":"9c41","verdict":"may-have-run","ahead":3}
{"msg":"call","level":"INFO","ts":"2026-08-24T19:48:15.1Z","node":"n3","id":"other","status":200}
{"msg":"change","level":"INFO","ts":"2026-08-24T19:48:15.0Z","node":"n3","kind":"store","what":"does not answer"}
{"msg":"change","level":"INFO","ts":"2026-08-24T19:48:16.0Z","node":"n1","kind":"store","what":"later"}
"#;

fn explain(id: &str) -> Vec<String> {
    let explanation = Explanation::for_request(id, read_log(LOG.as_bytes()).unwrap());
    explanation.lines.iter().map(|line| format!("{} {}", line.node, line.message)).collect()
}

/// Guards against missing or unordered lines of a request that two nodes logged, and against state
/// changes that are superseded, later than the request, or of a node that did not handle it.
#[test]
fn explain_two_hops() {
    assert_eq!(explain("9c41"), ["n1 change", "n2 door", "n1 call"]);
    let text = Explanation::for_request("9c41", read_log(LOG.as_bytes()).unwrap()).to_string();
    assert!(text.contains("version 4") && !text.contains("version 3"), "{text}");
    assert!(text.contains("reason=\"broken_exchange\""), "{text}");
}

/// Guards against an explanation from unrelated lines for a request that no line is about.
#[test]
fn explain_unknown_request() {
    assert!(explain("none").is_empty());
}

/// Guards against a line of other output in a log that is taken for a log line.
#[test]
fn parse_other_lines() {
    assert_eq!(LogLine::parse("plain text"), None);
    assert_eq!(LogLine::parse("{\"ts\":3}"), None);
}
