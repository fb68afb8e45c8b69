//! Conversions of single message fields; each error names the field.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use almondsail_core::config::{MAX_TEXT_BYTES, is_plain_text};
use almondsail_core::ids::{Digest, WriteId};
use almondsail_core::units::PerMille;

use crate::FieldError;

/// Parses the text of the required field `field`.
pub(super) fn parse<T>(field: &str, text: &str) -> Result<T, FieldError>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    text.parse().map_err(|e| FieldError::new(field, e))
}

/// Parses the text of a field in which an empty string stands for `None`.
pub(super) fn parse_optional<T>(field: &str, text: &str) -> Result<Option<T>, FieldError>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    if text.is_empty() { Ok(None) } else { parse(field, text).map(Some) }
}

/// Formats an optional value, as an empty string for `None`.
pub(super) fn optional_text<T: fmt::Display>(value: Option<&T>) -> String {
    value.map(ToString::to_string).unwrap_or_default()
}

/// Unwraps a message field; its absence is an error.
pub(super) fn required<T>(field: &str, value: Option<T>) -> Result<T, FieldError> {
    value.ok_or_else(|| FieldError::new(field, "missing"))
}

/// Converts each element of a repeated field; an error names the element's index.
pub(super) fn convert_each<W, C>(field: &str, values: Vec<W>) -> Result<Vec<C>, FieldError>
where
    C: TryFrom<W, Error = FieldError>,
{
    let convert = |(i, value): (usize, W)| {
        C::try_from(value).map_err(|e| e.within(format_args!("{field}[{i}]")))
    };
    values.into_iter().enumerate().map(convert).collect()
}

/// Converts core values to the elements of a repeated field.
pub(super) fn to_wire<'a, C: 'a, W: From<&'a C>>(
    values: impl IntoIterator<Item = &'a C>,
) -> Vec<W> {
    values.into_iter().map(W::from).collect()
}

/// Converts bytes to a digest; fails unless there are [`Digest::BYTES`] of them.
pub(super) fn digest(field: &str, bytes: &[u8]) -> Result<Digest, FieldError> {
    bytes
        .try_into()
        .map(Digest::new)
        .map_err(|_| FieldError::new(field, format_args!("expected {} bytes", Digest::BYTES)))
}

/// Converts bytes to a digest, or to `None` if there are no bytes.
pub(super) fn optional_digest(field: &str, bytes: &[u8]) -> Result<Option<Digest>, FieldError> {
    if bytes.is_empty() { Ok(None) } else { digest(field, bytes).map(Some) }
}

/// Converts bytes to a write id; fails unless there are [`WriteId::BYTES`] of them.
pub(super) fn write_id(field: &str, bytes: &[u8]) -> Result<WriteId, FieldError> {
    bytes
        .try_into()
        .map(WriteId::new)
        .map_err(|_| FieldError::new(field, format_args!("expected {} bytes", WriteId::BYTES)))
}

/// Converts a share in per mille; fails above 1000.
pub(super) fn per_mille(field: &str, n: u32) -> Result<PerMille, FieldError> {
    u16::try_from(n)
        .ok()
        .and_then(PerMille::new)
        .ok_or_else(|| FieldError::new(field, "expected 0 to 1000"))
}

/// Converts a number of slots or connections; fails outside 1 to 65535.
pub(super) fn positive_u16(field: &str, n: u32) -> Result<u16, FieldError> {
    u16::try_from(n)
        .ok()
        .filter(|&n| n > 0)
        .ok_or_else(|| FieldError::new(field, "expected 1 to 65535"))
}

/// Checks a counter, a revision or a time of day, of which the largest known one counts; fails for
/// a number that none of them reaches, since it would shut out all later ones.
pub(super) fn counter(field: &str, n: u64) -> Result<u64, FieldError> {
    const MAX_COUNTER: u64 = i64::MAX as u64;
    if n > MAX_COUNTER {
        return Err(FieldError::new(field, format_args!("expected at most {MAX_COUNTER}")));
    }
    Ok(n)
}

/// Parses the address of a listener; fails for port zero, at which nothing listens.
pub(super) fn listener_address(field: &str, text: &str) -> Result<SocketAddr, FieldError> {
    let address: SocketAddr = parse(field, text)?;
    if address.port() == 0 {
        return Err(FieldError::new(field, "expected a port above zero"));
    }
    Ok(address)
}

/// Checks that a free text is short and without line breaks.
pub(super) fn plain_text(field: &str, text: String) -> Result<Arc<str>, FieldError> {
    if !is_plain_text(&text) {
        let problem = format_args!("expected at most {MAX_TEXT_BYTES} bytes without line breaks");
        return Err(FieldError::new(field, problem));
    }
    Ok(text.into())
}
