//! The counters of a node, as read from its text form.

use std::collections::BTreeMap;

use eyre::{Result, eyre};

/// The counters of a node, as read from its text form.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Metrics(BTreeMap<String, f64>);

impl Metrics {
    /// Reads the Prometheus text format; comments are left out.
    ///
    /// ```
    /// use almondsail_testkit::mesh::Metrics;
    ///
    /// let metrics = Metrics::parse("# HELP a b\na{x=\"1\"} 2\na{x=\"2\"} 3\nab 9\n")?;
    /// assert_eq!(metrics.sum("a"), 5.0);
    /// assert_eq!(metrics.sum_with("a", "x=\"2\""), 3.0);
    /// # Ok::<(), eyre::Report>(())
    /// ```
    pub fn parse(text: &str) -> Result<Self> {
        let is_sample = |line: &&str| !line.is_empty() && !line.starts_with('#');
        text.lines().filter(is_sample).map(parse_line).collect::<Result<_>>().map(Self)
    }

    /// The sum of the counter `name` over its labels; zero if there is none.
    pub fn sum(&self, name: &str) -> f64 {
        self.sum_with(name, "")
    }

    /// The sum of the counter `name` where its labels contain `label`.
    pub fn sum_with(&self, name: &str, label: &str) -> f64 {
        self.samples(name).filter(|(labels, _)| labels.contains(label)).map(|(_, n)| n).sum()
    }

    /// The names of all counters with their labels.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }

    /// The labels and values of the counter `name`.
    fn samples<'a>(&'a self, name: &'a str) -> impl Iterator<Item = (&'a str, f64)> {
        self.0.iter().filter_map(move |(key, value)| {
            let labels = key.strip_prefix(name)?;
            (labels.is_empty() || labels.starts_with('{')).then_some((labels, *value))
        })
    }
}

fn parse_line(line: &str) -> Result<(String, f64)> {
    let (key, value) =
        line.rsplit_once(' ').ok_or_else(|| eyre!("no value in the line {line:?}"))?;
    Ok((key.to_owned(), value.parse()?))
}
