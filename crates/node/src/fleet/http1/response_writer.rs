//! Serializes HTTP/1.1 responses for the callers of a node.

use bytes::buf::Chain;
use bytes::{Buf as _, BufMut as _, Bytes, BytesMut};
use http::header::{self, HeaderName};
use http::{Method, Response, StatusCode};

use crate::final_status::is_final;

/// Size of the buffer for a head. It grows for a larger one.
const HEAD_CAPACITY_BYTES: usize = 512;
/// Headers that the connection sets itself, whatever the response has.
const FRAMING_HEADERS: [HeaderName; 3] =
    [header::CONTENT_LENGTH, header::CONNECTION, header::TRANSFER_ENCODING];

/// Returns `response` as it is sent, without a copy of its body. `method` is that of the request;
/// `close` announces that the connection closes after the response. A response whose status is none
/// of a final answer is replaced by an empty 502, which says that the request may have run.
pub(crate) fn encode(
    method: &Method,
    response: Response<Bytes>,
    close: bool,
) -> Chain<Bytes, Bytes> {
    let response = if is_final(response.status()) { response } else { bad_gateway() };
    let mut out = BytesMut::with_capacity(HEAD_CAPACITY_BYTES);
    let has_body = *method != Method::HEAD && has_body(response.status());
    write_head(&mut out, &response, has_body, close);
    let body = if has_body { response.into_body() } else { Bytes::new() };
    out.freeze().chain(body)
}

fn bad_gateway() -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    response
}

fn write_head(out: &mut BytesMut, response: &Response<Bytes>, has_body: bool, close: bool) {
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
    if has_body {
        write_header(out, b"content-length", response.body().len().to_string().as_bytes());
    } else if let Some(length) = response.headers().get(header::CONTENT_LENGTH) {
        write_header(out, b"content-length", length.as_bytes());
    }
    if close {
        write_header(out, b"connection", b"close");
    }
    out.put_slice(b"\r\n");
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
