//! Parses single words and values of the command language.

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

/// Input of the parsers: the text that is left, and the furthest position at which one failed.
pub(super) type Input<'a> = Stateful<&'a str, FurthestFailure>;

/// Result of a parser. The error is empty, since the input's state records what was expected.
pub(super) type ParseResult<T> = Result<T, EmptyError>;

/// Units of a span and their length in milliseconds. `ms` comes before `s`, which is its suffix.
const SPAN_UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

const fn is_space(c: char) -> bool {
    matches!(c, ' ' | '\t')
}

/// Skips spaces, then runs `parse`. On a failure, resets the input to the start of the word and
/// records that `expected` was not found there.
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

/// Parses the keyword `text`.
pub(super) fn word<'a>(text: &'static str) -> impl FnMut(&mut Input<'a>) -> ParseResult<()> {
    move |input| {
        token(input, Expected::Word(text), |input| {
            any_word(input).ok().filter(|word| *word == text).map(drop)
        })
    }
}

/// Parses one word as a value with `convert`, which returns `None` for an invalid word.
pub(super) fn value_with<'a, T>(
    description: &'static str,
    convert: impl Fn(&str) -> Option<T>,
) -> impl FnMut(&mut Input<'a>) -> ParseResult<T> {
    move |input| {
        token(input, Expected::Value(description), |input| any_word(input).ok().and_then(&convert))
    }
}

/// Parses one word as a value with its `FromStr` implementation.
pub(super) fn value<'a, T: FromStr>(
    description: &'static str,
) -> impl FnMut(&mut Input<'a>) -> ParseResult<T> {
    value_with(description, |word| word.parse().ok())
}

/// Parses a version of a service, written as `SERVICE/VERSION`.
pub(super) fn server_version(input: &mut Input<'_>) -> ParseResult<ServerVersion> {
    let convert = |word: &str| {
        let (service, version) = word.split_once('/')?;
        Some(ServerVersion { service: service.parse().ok()?, version: version.parse().ok()? })
    };
    value_with("a version as SERVICE/VERSION", convert).parse_next(input)
}

/// Parses a span of time such as `800ms` or `10m`.
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

/// Parses a reason in quotes, in which `\"` and `\\` stand for a quote and a backslash.
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

/// Succeeds if only spaces are left of the text.
pub(super) fn end(input: &mut Input<'_>) -> ParseResult<()> {
    token(input, Expected::End, |input| input.input.is_empty().then_some(()))
}
