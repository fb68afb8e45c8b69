//! Explains what became of a request, from the logs of nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io::BufRead;

use serde_json::{Map, Value};

/// Fields that stand at the beginning of each line of the output.
const UNLISTED_FIELDS: [&str; 6] = ["ts", "node", "msg", "id", "level", "data_centre"];

/// A line of a node's log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// When it was written, in UTC.
    pub time: String,
    /// The node.
    pub node: String,
    /// What it tells of.
    pub message: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; `None` if it is no log line. Text before the JSON object is left out.
    pub fn parse(line: &str) -> Option<Self> {
        let object = line.get(line.find('{')?..)?;
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let text = |name: &str| Some(fields.get(name)?.as_str()?.to_owned());
        // Without the final letter, times of any precision compare as texts.
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

/// What became of a request: its own lines, and the state changes of the nodes on its path.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Explanation {
    /// The lines, in order of time.
    pub lines: Vec<LogLine>,
}

impl Explanation {
    /// Explains the request `id` from the lines of the nodes' logs, in any order.
    ///
    /// Beside the lines of the request these are, for each node on its path, the last change of
    /// each kind before the request ended.
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

    /// The explanation as one JSON object a line.
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

/// Reads the log lines of `input`; other lines are passed over.
pub fn read_log(input: impl BufRead) -> std::io::Result<Vec<LogLine>> {
    let lines = input.lines().map(|line| line.map(|line| LogLine::parse(&line)));
    lines.filter_map(Result::transpose).collect()
}
