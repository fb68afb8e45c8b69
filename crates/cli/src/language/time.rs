//! Parses the wall-clock times of commands and arguments.

use std::time::UNIX_EPOCH;

use almondsail_core::units::UnixMillis;

/// Parses a wall-clock time in RFC 3339 with the zone `Z`, or in the form `unix:1500ms`. Returns
/// `None` for other text and for times before 1970.
///
/// ```
/// use almondsail_cli::language::parse_time;
/// use almondsail_core::units::UnixMillis;
///
/// assert_eq!(parse_time("1970-01-01T00:00:01.5Z"), Some(UnixMillis::new(1_500)));
/// assert_eq!(parse_time("unix:1500ms"), Some(UnixMillis::new(1_500)));
/// assert_eq!(parse_time("tomorrow"), None);
/// ```
pub fn parse_time(text: &str) -> Option<UnixMillis> {
    text.parse().ok().or_else(|| parse_rfc3339(text))
}

fn parse_rfc3339(text: &str) -> Option<UnixMillis> {
    let time = humantime::parse_rfc3339(text).ok()?;
    let since_epoch = time.duration_since(UNIX_EPOCH).ok()?;
    since_epoch.as_millis().try_into().ok().map(UnixMillis::new)
}
