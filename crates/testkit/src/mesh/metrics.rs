//! Metrics parsed from the Prometheus text format.

use std::collections::BTreeMap;

use eyre::{Result, eyre};

/// The metrics of a node, parsed from the Prometheus text format.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Metrics(BTreeMap<String, f64>);

impl Metrics {
    /// Parses the Prometheus text format and ignores its comments.
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

    /// Returns the sum of the metric `name` over all labels; zero if it is absent.
    pub fn sum(&self, name: &str) -> f64 {
        self.sum_with(name, "")
    }

    /// Returns the sum of the metric `name` over all samples whose labels contain `label`.
    pub fn sum_with(&self, name: &str, label: &str) -> f64 {
        self.samples(name).filter(|(labels, _)| labels.contains(label)).map(|(_, n)| n).sum()
    }

    /// Returns the name of every sample, followed by its labels in braces.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }

    /// Returns the labels and value of every sample of the metric `name`.
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
