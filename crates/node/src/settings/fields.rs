//! Reads the fields of a JSON object and collects all errors.

use std::fmt;
use std::str::FromStr;

use serde_json::{Map, Value};

use super::InvalidField;

/// A JSON object of the settings file, whose fields are removed as they are read.
///
/// Errors are collected in a list, so that all of them are reported at once. A method that can't
/// read a value adds the reason to the list and returns `None`.
pub(crate) struct Fields<'a> {
    path: String,
    values: Map<String, Value>,
    errors: &'a mut Vec<InvalidField>,
}

impl<'a> Fields<'a> {
    /// Reads `value` at `path` as an object. Any other kind of value is an error and reads as an
    /// empty object.
    pub(crate) fn new(path: &str, value: Value, errors: &'a mut Vec<InvalidField>) -> Self {
        let values = match value {
            Value::Object(values) => values,
            other => {
                let problem = format!("expected an object, found {}", json_type_name(&other));
                errors.push(InvalidField { path: display_path(path), problem });
                Map::new()
            }
        };
        Self { path: path.to_owned(), values, errors }
    }

    /// Reads a required object.
    pub(crate) fn object(&mut self, name: &str) -> Option<Fields<'_>> {
        let value = self.required(name)?;
        Some(Fields::new(&self.field_path(name), value, self.errors))
    }

    /// Reads an optional object; `None` if the field is absent.
    pub(crate) fn optional_object(&mut self, name: &str) -> Option<Fields<'_>> {
        let value = self.values.remove(name)?;
        Some(Fields::new(&self.field_path(name), value, self.errors))
    }

    /// Reads a required string and parses it as `T`.
    pub(crate) fn string<T>(&mut self, name: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let value = self.required(name)?;
        self.parse(&self.field_path(name), &value)
    }

    /// Reads a string and parses it as `T`, or returns `default` if the field is absent.
    pub(crate) fn string_or<T>(&mut self, name: &str, default: T) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let Some(value) = self.values.remove(name) else {
            return Some(default);
        };
        self.parse(&self.field_path(name), &value)
    }

    /// Reads an integer in `range`, or returns `default` if the field is absent.
    pub(crate) fn number_or(
        &mut self,
        name: &str,
        default: u64,
        range: std::ops::RangeInclusive<u64>,
    ) -> Option<u64> {
        let Some(value) = self.values.remove(name) else {
            return Some(default);
        };
        let number = value.as_u64().filter(|n| range.contains(n));
        if number.is_none() {
            let (from, to) = range.into_inner();
            self.add_error(name, format!("expected an integer from {from} to {to}, found {value}"));
        }
        number
    }

    /// Reads a number in `range`, or returns `default` if the field is absent.
    pub(crate) fn decimal_or(
        &mut self,
        name: &str,
        default: f64,
        range: std::ops::RangeInclusive<f64>,
    ) -> Option<f64> {
        let Some(value) = self.values.remove(name) else {
            return Some(default);
        };
        let number = value.as_f64().filter(|n| range.contains(n));
        if number.is_none() {
            let (from, to) = range.into_inner();
            self.add_error(name, format!("expected a number from {from} to {to}, found {value}"));
        }
        number
    }

    /// Reads an array of strings and parses each as `T`. An absent field is an empty array.
    pub(crate) fn strings<T>(&mut self, name: &str) -> Vec<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let items = self.list(name);
        let path = self.field_path(name);
        let parse = |(i, value)| self.parse(&format!("{path}[{i}]"), &value);
        items.into_iter().enumerate().filter_map(parse).collect()
    }

    /// Reads an array of objects, each with `read`, and reports their unknown fields. An absent
    /// field is an empty array.
    pub(crate) fn objects<T>(
        &mut self,
        name: &str,
        read: impl Fn(&mut Fields<'_>) -> Option<T>,
    ) -> Vec<T> {
        let items = self.list(name);
        let path = self.field_path(name);
        let mut values = Vec::new();
        for (i, item) in items.into_iter().enumerate() {
            let mut fields = Fields::new(&format!("{path}[{i}]"), item, self.errors);
            let value = read(&mut fields);
            fields.finish();
            values.extend(value);
        }
        values
    }

    /// Adds an error about the field `name`.
    pub(crate) fn add_error(&mut self, name: &str, problem: impl fmt::Display) {
        let path = self.field_path(name);
        self.errors.push(InvalidField { path, problem: problem.to_string() });
    }

    /// Adds an error for every field that was not read, since it is unknown.
    pub(crate) fn finish(self) {
        for name in self.values.keys() {
            let path = join(&self.path, name);
            self.errors.push(InvalidField { path, problem: "unknown field".to_owned() });
        }
    }

    fn required(&mut self, name: &str) -> Option<Value> {
        let value = self.values.remove(name);
        if value.is_none() {
            self.add_error(name, "missing");
        }
        value
    }

    fn list(&mut self, name: &str) -> Vec<Value> {
        match self.values.remove(name) {
            None => Vec::new(),
            Some(Value::Array(items)) => items,
            Some(other) => {
                self.add_error(
                    name,
                    format!("expected an array, found {}", json_type_name(&other)),
                );
                Vec::new()
            }
        }
    }

    fn parse<T>(&mut self, path: &str, value: &Value) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let parsed = match value {
            Value::String(text) => text.parse().map_err(|e: T::Err| e.to_string()),
            other => Err(format!("expected a string, found {}", json_type_name(other))),
        };
        match parsed {
            Ok(value) => Some(value),
            Err(problem) => {
                self.errors.push(InvalidField { path: path.to_owned(), problem });
                None
            }
        }
    }

    fn field_path(&self, name: &str) -> String {
        join(&self.path, name)
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

fn display_path(path: &str) -> String {
    if path.is_empty() { "(whole file)".to_owned() } else { path.to_owned() }
}

fn json_type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "an array",
        Value::Object(_) => "an object",
    }
}
