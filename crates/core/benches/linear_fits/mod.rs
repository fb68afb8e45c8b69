//! Measured quantities by size, with a fitted line, written to a JSON file.

use std::path::Path;

use serde_json::{Map, Value, json};

/// Environment variable that names the file to write. Without it, no file is written.
const FILE_VARIABLE: &str = "ALMONDSAIL_SLOPES";

/// Measured values of one quantity by size, to which a line is fitted.
pub struct LinearFit {
    /// Name by which the capacity page refers to the quantity.
    pub name: &'static str,
    /// Unit of the measured values, for example `us` or `B`.
    pub unit: &'static str,
    /// What the sizes count, for example `peers`.
    pub size: &'static str,
    /// Pairs of size and value. If all have the same size, the fitted line is constant.
    pub points: Vec<(f64, f64)>,
}

impl LinearFit {
    /// Creates a quantity without measured values.
    pub fn new(name: &'static str, unit: &'static str, size: &'static str) -> Self {
        Self { name, unit, size, points: Vec::new() }
    }

    /// Returns the intercept and the slope of the least-squares line.
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

/// Prints `fits` and writes them to the file named by [`FILE_VARIABLE`], where they replace
/// entries of the same names.
pub fn write(bench: &str, fits: &[LinearFit]) {
    let entries: Vec<(&str, Value)> =
        fits.iter().map(|fit| (fit.name, fit.to_json(bench))).collect();
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

/// Rounds to six decimal places.
fn round(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}

/// Returns the Linux load average of the last minute.
fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|first| first.parse().ok()).unwrap_or_default()
}
