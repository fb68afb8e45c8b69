//! What the head of an answer says about the request that it belongs to.

use http::StatusCode;
use http::header::{CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};

/// The largest number of headers of a head that is understood.
const MAX_HEADERS: usize = 128;

/// What the head of an answer says about the request that it belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerHead {
    /// An answer to an earlier request, of a known length.
    Earlier { body_length: u64 },
    /// An informational response, which another head follows.
    Informational,
    /// The awaited answer, or bytes that can't be attributed to a request.
    Other,
}

impl AnswerHead {
    /// Parses `head`, in which `id_header` names the request. `earlier` are the ids of the
    /// connection's requests before the awaited one.
    pub(crate) fn parse<'a>(
        head: &[u8],
        id_header: &HeaderName,
        mut earlier: impl Iterator<Item = &'a HeaderValue>,
    ) -> Self {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        if !matches!(response.parse(head), Ok(httparse::Status::Complete(_))) {
            return Self::Other;
        }
        let status = response.code.and_then(|code| StatusCode::from_u16(code).ok());
        let Some(status) = status else { return Self::Other };
        if status.is_informational() {
            return Self::Informational;
        }
        let values = |name: &HeaderName| {
            let is_named =
                |header: &&httparse::Header<'_>| header.name.eq_ignore_ascii_case(name.as_str());
            response.headers.iter().filter(is_named).map(|header| header.value).collect::<Vec<_>>()
        };
        let ids = values(id_header);
        if ids.len() != 1 || !earlier.any(|id| id.as_bytes() == ids[0]) {
            return Self::Other;
        }
        let has_no_body = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        match values(&CONTENT_LENGTH)[..] {
            _ if !values(&TRANSFER_ENCODING).is_empty() => Self::Other,
            _ if has_no_body => Self::Earlier { body_length: 0 },
            [length] => parse_length(length)
                .map_or(Self::Other, |body_length| Self::Earlier { body_length }),
            _ => Self::Other,
        }
    }
}

fn parse_length(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value).ok().filter(|_| is_number)?.parse().ok()
}
