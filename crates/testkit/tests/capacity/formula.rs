//! Evaluates the formulas in the tables of the capacity page.

use std::collections::BTreeMap;

use super::linear_fits::LinearFit;

/// A value, and whether it uses a linear fit outside the range of its measured sizes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figure {
    pub value: f64,
    pub is_extrapolated: bool,
}

/// The values of the names that may occur in a formula.
#[derive(Debug)]
pub struct Bindings {
    /// Linear fits by name; a formula refers to them as `name(size)`.
    pub fits: BTreeMap<String, LinearFit>,
    /// Values by name: the inputs, and the results of earlier rows.
    pub figures: BTreeMap<String, Figure>,
}

/// Evaluates a formula of numbers, names, the operators `+ - * /` and parentheses.
pub fn evaluate(text: &str, bindings: &Bindings) -> Result<Figure, String> {
    let mut parser = Parser { rest: text, bindings };
    let figure = parser.sum()?;
    match parser.peek() {
        None => Ok(figure),
        Some(c) => Err(format!("unexpected {c:?} in {text:?}")),
    }
}

struct Parser<'a> {
    rest: &'a str,
    bindings: &'a Bindings,
}

impl<'a> Parser<'a> {
    fn peek(&mut self) -> Option<char> {
        self.rest = self.rest.trim_start();
        self.rest.chars().next()
    }

    fn take(&mut self, wanted: char) -> bool {
        let is_next = self.peek() == Some(wanted);
        if is_next {
            self.rest = &self.rest[wanted.len_utf8()..];
        }
        is_next
    }

    fn word(&mut self, belongs: impl Fn(char) -> bool) -> &'a str {
        let end = self.rest.find(|c| !belongs(c)).unwrap_or(self.rest.len());
        let (word, rest) = self.rest.split_at(end);
        self.rest = rest;
        word
    }

    fn sum(&mut self) -> Result<Figure, String> {
        let mut left = self.product()?;
        loop {
            left = if self.take('+') {
                combine(left, self.product()?, |a, b| a + b)
            } else if self.take('-') {
                combine(left, self.product()?, |a, b| a - b)
            } else {
                return Ok(left);
            };
        }
    }

    fn product(&mut self) -> Result<Figure, String> {
        let mut left = self.atom()?;
        loop {
            left = if self.take('*') {
                combine(left, self.atom()?, |a, b| a * b)
            } else if self.take('/') {
                combine(left, self.atom()?, |a, b| a / b)
            } else {
                return Ok(left);
            };
        }
    }

    fn atom(&mut self) -> Result<Figure, String> {
        match self.peek() {
            Some('(') => self.parenthesis(),
            Some(c) if c.is_ascii_digit() => self.number(),
            Some(c) if c.is_ascii_lowercase() => self.name(),
            other => Err(format!("expected a number or a name, found {other:?}")),
        }
    }

    fn parenthesis(&mut self) -> Result<Figure, String> {
        let opened = self.take('(');
        let inner = self.sum()?;
        let closed = self.take(')');
        if opened && closed { Ok(inner) } else { Err("a parenthesis is missing".to_owned()) }
    }

    fn number(&mut self) -> Result<Figure, String> {
        let word = self.word(|c| c.is_ascii_digit() || c == '.');
        let value = word.parse().map_err(|e| format!("{word:?}: {e}"))?;
        Ok(Figure { value, is_extrapolated: false })
    }

    fn name(&mut self) -> Result<Figure, String> {
        let word = self.word(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || "_.".contains(c));
        let bindings = self.bindings;
        let Some(fit) = bindings.fits.get(word) else {
            let figure = bindings.figures.get(word).copied();
            return figure.ok_or_else(|| format!("{word:?} is neither a slope nor a row above"));
        };
        let size = self.parenthesis()?;
        let is_extrapolated = size.is_extrapolated || !fit.covers(size.value);
        Ok(Figure { value: fit.at(size.value), is_extrapolated })
    }
}

fn combine(left: Figure, right: Figure, operation: fn(f64, f64) -> f64) -> Figure {
    Figure {
        value: operation(left.value, right.value),
        is_extrapolated: left.is_extrapolated || right.is_extrapolated,
    }
}
