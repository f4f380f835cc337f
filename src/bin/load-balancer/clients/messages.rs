//! The responses that the node makes itself, and what it changes in the heads that it forwards.

use hyper::header::{self, HeaderMap, HeaderName};
use hyper::{Response, StatusCode};
use load_balancer::Key;
use xxhash_rust::xxh3::xxh3_64;

use crate::body::{BodyError, BufferedBody, ResponseBody};

/// The status and the text for a request whose body could not be received.
pub(super) fn body_error_response(error: BodyError) -> (StatusCode, &'static str) {
    match error {
        BodyError::TooLong => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n"),
        BodyError::TooSlow => (StatusCode::REQUEST_TIMEOUT, "the body did not come\n"),
        BodyError::Broken => (StatusCode::BAD_REQUEST, "the body is broken\n"),
    }
}

pub(super) fn text_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Buffered(BufferedBody::from(text)));
    *response.status_mut() = status;
    response
}

pub(super) fn upstream_response(
    mut headers: HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    remove_hop_by_hop_headers(&mut headers);
    headers.remove("x-pressure");
    let mut response = Response::new(body);
    *response.headers_mut() = headers;
    response
}

/// Removes the hop-by-hop headers, and those of the framing, which the HTTP library sets on each hop.
pub(super) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    ] {
        headers.remove(name);
    }
}

/// The routing key in a query string: a hash below 2^53 that is the same at every node; `None` if the query
/// has no key or an empty one.
pub(super) fn routing_key(query: &str) -> Option<Key> {
    let key = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("key="))?;
    (!key.is_empty()).then(|| Key(xxh3_64(key.as_bytes()) >> 11))
}
