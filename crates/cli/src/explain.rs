//! Collects from the logs of nodes what happened to a request.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io::BufRead;

use serde_json::{Map, Value};

/// Log fields that the text output does not list as `name=value`: time, node and message begin each
/// line, and the id, level and data centre are left out.
const UNLISTED_FIELDS: [&str; 6] = ["ts", "node", "msg", "id", "level", "data_centre"];

/// A line of a node's log, which holds one JSON object.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Time at which the line was written: RFC 3339 in UTC, without the final `Z`.
    pub time: String,
    /// Id of the node that wrote the line.
    pub node: String,
    /// Message of the log record, such as `call` or `change`, which names the type of event.
    pub message: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line, and ignores text before the JSON object. Returns `None` if there is no object
    /// or it lacks the time, node or message.
    pub fn parse(line: &str) -> Option<Self> {
        let object = line.get(line.find('{')?..)?;
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let text = |name: &str| Some(fields.get(name)?.as_str()?.to_owned());
        // Without the final `Z`, times of different precision sort correctly as strings.
        let time = text("ts")?.trim_end_matches('Z').to_owned();
        Some(Self { time, node: text("node")?, message: text("msg")?, fields })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}Z {} {}", self.time, self.node, self.message)?;
        for (name, value) in
            self.fields.iter().filter(|(name, _)| !UNLISTED_FIELDS.contains(&name.as_str()))
        {
            match value {
                Value::String(text) => write!(f, " {name}={text:?}")?,
                Value::Null => {}
                other => write!(f, " {name}={other}")?,
            }
        }
        Ok(())
    }
}

/// Log lines that explain the result of a request: those that carry its id, and the state changes
/// of the nodes that handled it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Explanation {
    /// Log lines in order of time; empty if no line carries the id of the request.
    pub lines: Vec<LogLine>,
}

impl Explanation {
    /// Selects the lines that explain the request `id` from `log`, whose lines may be in any order.
    ///
    /// Besides the lines of the request, selects for each node that logged it the last state change
    /// of each kind up to the request's last line.
    pub fn for_request(id: &str, log: Vec<LogLine>) -> Self {
        let (request_lines, others): (Vec<LogLine>, Vec<LogLine>) =
            log.into_iter().partition(|line| line.field("id") == Some(id));
        let Some(end) = request_lines.iter().map(|line| line.time.clone()).max() else {
            return Self::default();
        };
        let nodes: BTreeSet<String> = request_lines.iter().map(|line| line.node.clone()).collect();
        let mut changes: BTreeMap<(String, String), LogLine> = BTreeMap::new();
        for line in others.into_iter().filter(|l| l.time <= end && nodes.contains(&l.node)) {
            let Some(kind) = line.field("kind") else { continue };
            let key = (line.node.clone(), kind.to_owned());
            if changes.get(&key).is_none_or(|known| known.time <= line.time) {
                changes.insert(key, line);
            }
        }
        let mut lines: Vec<LogLine> =
            request_lines.into_iter().chain(changes.into_values()).collect();
        lines.sort_by(|a, b| a.time.cmp(&b.time));
        Self { lines }
    }

    /// Formats the lines as JSON, with one object on each line.
    pub fn to_json_lines(&self) -> String {
        let line = |line: &LogLine| Value::Object(line.fields.clone()).to_string() + "\n";
        self.lines.iter().map(line).collect()
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.lines.iter().try_for_each(|line| writeln!(f, "{line}"))
    }
}

/// Reads the log lines of `input` and skips lines that are not log lines.
pub fn read_log(input: impl BufRead) -> std::io::Result<Vec<LogLine>> {
    let lines = input.lines().map(|line| line.map(|line| LogLine::parse(&line)));
    lines.filter_map(Result::transpose).collect()
}
