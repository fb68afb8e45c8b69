//! Serializes HTTP/1.1 responses for the callers of a node.

use bytes::{BufMut as _, Bytes, BytesMut};
use http::header::{self, HeaderName};
use http::{Method, Response, StatusCode};

/// Headers that the connection sets itself, whatever the response has.
const FRAMING_HEADERS: [HeaderName; 3] =
    [header::CONTENT_LENGTH, header::CONNECTION, header::TRANSFER_ENCODING];

/// Appends `response` to `out`. `method` is that of the request; `close` announces that the
/// connection closes after the response.
pub(crate) fn write(out: &mut BytesMut, method: &Method, response: &Response<Bytes>, close: bool) {
    let status = response.status();
    out.put_slice(b"HTTP/1.1 ");
    out.put_slice(status.as_str().as_bytes());
    out.put_u8(b' ');
    out.put_slice(status.canonical_reason().unwrap_or("Status").as_bytes());
    out.put_slice(b"\r\n");
    for (name, value) in response.headers() {
        if !FRAMING_HEADERS.contains(name) {
            write_header(out, name.as_str().as_bytes(), value.as_bytes());
        }
    }
    let has_body = *method != Method::HEAD && has_body(status);
    if has_body {
        write_header(out, b"content-length", response.body().len().to_string().as_bytes());
    } else if let Some(length) = response.headers().get(header::CONTENT_LENGTH) {
        write_header(out, b"content-length", length.as_bytes());
    }
    if close {
        write_header(out, b"connection", b"close");
    }
    out.put_slice(b"\r\n");
    if has_body {
        out.put_slice(response.body());
    }
}

/// Returns whether a response with `status` has a body (RFC 9112, section 6.3).
fn has_body(status: StatusCode) -> bool {
    !status.is_informational()
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

fn write_header(out: &mut BytesMut, name: &[u8], value: &[u8]) {
    out.put_slice(name);
    out.put_slice(b": ");
    out.put_slice(value);
    out.put_slice(b"\r\n");
}
