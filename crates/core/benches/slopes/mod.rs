//! The file of slopes: what a quantity costs by a size, and the line through the values.

use std::path::Path;

use serde_json::{Map, Value, json};

/// The environment variable that names the file to write; without it, none is written.
const FILE_VARIABLE: &str = "ALMONDSAIL_SLOPES";

/// The values of one quantity by size.
pub struct Slope {
    /// The name by which the capacity page refers to it.
    pub name: &'static str,
    /// The unit of the values.
    pub unit: &'static str,
    /// What the sizes count.
    pub size: &'static str,
    /// Pairs of size and value. Values of one size only are taken as constant.
    pub points: Vec<(f64, f64)>,
}

impl Slope {
    /// A slope without values.
    pub fn new(name: &'static str, unit: &'static str, size: &'static str) -> Self {
        Self { name, unit, size, points: Vec::new() }
    }

    /// The intercept and the slope of the line with the least squares.
    fn fit(&self) -> (f64, f64) {
        let n = self.points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| self.points.iter().map(of).sum::<f64>() / n;
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let xx: f64 = self.points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let xy: f64 = self.points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = if xx == 0.0 { 0.0 } else { xy / xx };
        (mean_y - slope * mean_x, slope)
    }

    fn to_json(&self, bench: &str) -> Value {
        let (intercept, slope) = self.fit();
        let deviation = |(x, y): &(f64, f64)| ((intercept + slope * x) / y - 1.0).abs();
        let deviation = self.points.iter().map(deviation).fold(0.0, f64::max);
        json!({
            "bench": bench,
            "unit": self.unit,
            "size": self.size,
            "sizes": self.points.iter().map(|p| p.0).collect::<Vec<_>>(),
            "values": self.points.iter().map(|p| round(p.1)).collect::<Vec<_>>(),
            "intercept": round(intercept),
            "slope": round(slope),
            "largest_relative_deviation": round(deviation),
            "load_average": load_average(),
        })
    }
}

/// Prints `slopes`, and puts them into the file that the environment names in
/// place of earlier ones of the same names.
pub fn write(bench: &str, slopes: &[Slope]) {
    let entries: Vec<(&str, Value)> = slopes.iter().map(|s| (s.name, s.to_json(bench))).collect();
    entries.iter().for_each(|(name, entry)| println!("{name}: {entry}"));
    let Some(file) = std::env::var_os(FILE_VARIABLE) else { return };
    let file = Path::new(&file);
    let mut all: Map<String, Value> = std::fs::read_to_string(file)
        .map(|text| serde_json::from_str(&text).expect("the file holds slopes"))
        .unwrap_or_default();
    all.extend(entries.into_iter().map(|(name, entry)| (name.to_owned(), entry)));
    let text = serde_json::to_string_pretty(&all).expect("JSON");
    std::fs::write(file, text + "\n").expect("the file can be written");
}

/// Rounds to six digits after the point.
fn round(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}

/// The number of runnable threads in the last minute, as Linux counts it.
fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|first| first.parse().ok()).unwrap_or_default()
}
