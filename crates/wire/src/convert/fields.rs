//! Helpers for single fields.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use almondsail_core::config::{MAX_TEXT_BYTES, is_plain_text};
use almondsail_core::ids::{Digest, WriteId};
use almondsail_core::units::PerMille;

use crate::FieldError;

/// Parses the text of a field.
pub(super) fn parse<T>(field: &str, text: &str) -> Result<T, FieldError>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    text.parse().map_err(|e| FieldError::new(field, e))
}

/// Parses the text of a field in which an empty text stands for `None`.
pub(super) fn parse_optional<T>(field: &str, text: &str) -> Result<Option<T>, FieldError>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    if text.is_empty() { Ok(None) } else { parse(field, text).map(Some) }
}

/// The text of an optional field, empty for `None`.
pub(super) fn optional_text<T: fmt::Display>(value: Option<&T>) -> String {
    value.map(ToString::to_string).unwrap_or_default()
}

/// Takes a message field that must be present.
pub(super) fn required<T>(field: &str, value: Option<T>) -> Result<T, FieldError> {
    value.ok_or_else(|| FieldError::new(field, "missing"))
}

/// Converts each element of a repeated field.
pub(super) fn convert_each<W, C>(field: &str, values: Vec<W>) -> Result<Vec<C>, FieldError>
where
    C: TryFrom<W, Error = FieldError>,
{
    let convert = |(i, value): (usize, W)| {
        C::try_from(value).map_err(|e| e.within(format_args!("{field}[{i}]")))
    };
    values.into_iter().enumerate().map(convert).collect()
}

/// Converts references to core values into wire values.
pub(super) fn to_wire<'a, C: 'a, W: From<&'a C>>(
    values: impl IntoIterator<Item = &'a C>,
) -> Vec<W> {
    values.into_iter().map(W::from).collect()
}

/// A digest from its bytes.
pub(super) fn digest(field: &str, bytes: &[u8]) -> Result<Digest, FieldError> {
    bytes
        .try_into()
        .map(Digest::new)
        .map_err(|_| FieldError::new(field, format_args!("expected {} bytes", Digest::BYTES)))
}

/// A digest from its bytes, `None` for no bytes.
pub(super) fn optional_digest(field: &str, bytes: &[u8]) -> Result<Option<Digest>, FieldError> {
    if bytes.is_empty() { Ok(None) } else { digest(field, bytes).map(Some) }
}

/// A write id from its bytes.
pub(super) fn write_id(field: &str, bytes: &[u8]) -> Result<WriteId, FieldError> {
    bytes
        .try_into()
        .map(WriteId::new)
        .map_err(|_| FieldError::new(field, format_args!("expected {} bytes", WriteId::BYTES)))
}

/// A share from its number.
pub(super) fn per_mille(field: &str, n: u32) -> Result<PerMille, FieldError> {
    u16::try_from(n)
        .ok()
        .and_then(PerMille::new)
        .ok_or_else(|| FieldError::new(field, "expected 0 to 1000"))
}

/// A number of slots or connections.
pub(super) fn positive_u16(field: &str, n: u32) -> Result<u16, FieldError> {
    u16::try_from(n)
        .ok()
        .filter(|&n| n > 0)
        .ok_or_else(|| FieldError::new(field, "expected 1 to 65535"))
}

/// A free text without control characters.
pub(super) fn plain_text(field: &str, text: String) -> Result<Arc<str>, FieldError> {
    if !is_plain_text(&text) {
        let problem = format_args!("expected at most {MAX_TEXT_BYTES} bytes without line breaks");
        return Err(FieldError::new(field, problem));
    }
    Ok(text.into())
}
