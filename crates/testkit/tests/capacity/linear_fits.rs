//! Reads the file of linear fits that the benchmarks write.

use std::collections::BTreeMap;

use serde::Deserialize;

/// The linear fit of the measured values of one quantity.
#[derive(Debug, Clone, Deserialize)]
pub struct LinearFit {
    pub bench: String,
    pub unit: String,
    pub size: String,
    pub sizes: Vec<f64>,
    pub values: Vec<f64>,
    pub intercept: f64,
    pub slope: f64,
    pub largest_relative_deviation: f64,
}

impl LinearFit {
    /// Returns the value of the fit at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// Returns whether `size` lies within the measured range.
    pub fn covers(&self, size: f64) -> bool {
        let is_between = |low: f64, high: f64| low <= size && size <= high;
        is_between(self.smallest(), self.largest())
    }

    /// Returns the smallest measured size.
    pub fn smallest(&self) -> f64 {
        self.sizes.iter().copied().fold(f64::INFINITY, f64::min)
    }

    /// Returns the largest measured size.
    pub fn largest(&self) -> f64 {
        self.sizes.iter().copied().fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Parses the JSON file into linear fits by name.
pub fn read(text: &str) -> BTreeMap<String, LinearFit> {
    serde_json::from_str(text).expect("the file holds slopes")
}
