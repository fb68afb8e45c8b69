//! Parsers of single words and values.

use std::str::FromStr;

use almondsail_core::config::{Reason, ServerVersion};
use almondsail_core::units::Millis;
use winnow::ascii::escaped;
use winnow::combinator::{alt, delimited};
use winnow::error::EmptyError;
use winnow::prelude::*;
use winnow::stream::{Stateful, Stream};
use winnow::token::{take_till, take_while};

use super::furthest_failure::FurthestFailure;
use crate::language::Expected;

/// The text that is left, and the furthest place at which a parser failed.
pub(super) type Input<'a> = Stateful<&'a str, FurthestFailure>;

/// A parser's result; what it expected is noted in the input's state.
pub(super) type ParseResult<T> = Result<T, EmptyError>;

/// The units of a span with their length in milliseconds. `ms` stands before
/// `s`, which is a suffix of it.
const SPAN_UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

const fn is_space(c: char) -> bool {
    matches!(c, ' ' | '\t')
}

/// Skips spaces, then runs `read`; on a failure, notes `expected` at the word's start.
fn token<'a, T>(
    input: &mut Input<'a>,
    expected: Expected,
    parse: impl FnOnce(&mut Input<'a>) -> Option<T>,
) -> ParseResult<T> {
    let _: &str = take_while(0.., is_space).parse_next(input)?;
    let (start, remaining) = (input.checkpoint(), input.input.len());
    parse(input).ok_or_else(|| {
        input.reset(&start);
        input.state.record(remaining, expected);
        EmptyError
    })
}

fn any_word<'a>(input: &mut Input<'a>) -> ParseResult<&'a str> {
    take_till(1.., is_space).parse_next(input)
}

/// Reads the word `text`.
pub(super) fn word<'a>(text: &'static str) -> impl FnMut(&mut Input<'a>) -> ParseResult<()> {
    move |input| {
        token(input, Expected::Word(text), |input| {
            any_word(input).ok().filter(|word| *word == text).map(drop)
        })
    }
}

/// Reads one word and converts it.
pub(super) fn value_with<'a, T>(
    description: &'static str,
    convert: impl Fn(&str) -> Option<T>,
) -> impl FnMut(&mut Input<'a>) -> ParseResult<T> {
    move |input| {
        token(input, Expected::Value(description), |input| any_word(input).ok().and_then(&convert))
    }
}

/// Reads one word as a value of type `T`.
pub(super) fn value<'a, T: FromStr>(
    description: &'static str,
) -> impl FnMut(&mut Input<'a>) -> ParseResult<T> {
    value_with(description, |word| word.parse().ok())
}

/// Reads `SERVICE/VERSION`.
pub(super) fn server_version(input: &mut Input<'_>) -> ParseResult<ServerVersion> {
    let convert = |word: &str| {
        let (service, version) = word.split_once('/')?;
        Some(ServerVersion { service: service.parse().ok()?, version: version.parse().ok()? })
    };
    value_with("a version as SERVICE/VERSION", convert).parse_next(input)
}

/// Reads a span such as `800ms` or `10m`.
pub(super) fn span(input: &mut Input<'_>) -> ParseResult<Millis> {
    value_with("a span such as 800ms, 90s, 10m or 2h", parse_span).parse_next(input)
}

fn parse_span(word: &str) -> Option<Millis> {
    let (digits, unit_ms) = SPAN_UNITS
        .into_iter()
        .find_map(|(unit, unit_ms)| word.strip_suffix(unit).map(|digits| (digits, unit_ms)))?;
    let is_number = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
    let count: u64 = digits.parse().ok().filter(|_| is_number)?;
    count.checked_mul(unit_ms).map(Millis::new)
}

/// Reads a reason in quotes, in which `\"` and `\\` stand for a quote and a backslash.
pub(super) fn quoted_reason(input: &mut Input<'_>) -> ParseResult<Reason> {
    const DESCRIPTION: &str = "a reason in quotes, 1 to 512 bytes without control characters";
    token(input, Expected::Value(DESCRIPTION), |input| {
        let text: String = quoted_text(input).ok()?;
        let is_at_word_end = input.input.chars().next().is_none_or(is_space);
        text.parse().ok().filter(|_| is_at_word_end)
    })
}

fn quoted_text(input: &mut Input<'_>) -> ParseResult<String> {
    let plain = take_till(1.., ['"', '\\']);
    let escape = alt(('"'.value("\""), '\\'.value("\\")));
    delimited('"', escaped(plain, '\\', escape), '"').parse_next(input)
}

/// Reads the end of the text.
pub(super) fn end(input: &mut Input<'_>) -> ParseResult<()> {
    token(input, Expected::End, |input| input.input.is_empty().then_some(()))
}
