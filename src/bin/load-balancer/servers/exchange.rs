//! One exchange on a connection to a server: sending a request, receiving the response, and what the response says.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderValue, HOST, TRANSFER_ENCODING};
use hyper::{Request, StatusCode};
use load_balancer::Outcome;
use tokio::time::Instant;

use super::{AttemptClock, PooledConnection, UpstreamRequest};
use crate::body::{receive_response_body, BodyMemory, OutgoingBody, Payload, ReceivedBody};
use crate::stream::RequestProgress;

/// A long response is passed on this long before its attempt would time out.
const PASS_ON_MARGIN: Duration = Duration::from_millis(2);

/// The result of sending a request on a connection.
pub(super) enum Exchange {
    /// The request's last byte was not written: the server can't have run it.
    Unsent,
    /// The connection broke after the request was written: the server may have run it.
    Broken,
    /// The request was given up, as its last bytes would have reached the server too late.
    Withdrawn,
    /// The server's response.
    Response(StatusCode, HeaderMap, ReceivedBody),
}

/// The HTTP request of an attempt, which carries the remaining timeout as a header.
fn http_request(
    request: &UpstreamRequest,
    addr: SocketAddr,
    deadline: Option<Instant>,
    progress: Rc<RequestProgress>,
) -> Request<OutgoingBody> {
    let mut http_request = Request::new(request.body.outgoing(progress));
    *http_request.method_mut() = request.method.clone();
    *http_request.uri_mut() = request.target.clone();
    *http_request.headers_mut() = request.headers.clone();
    let remaining_timeout = match (&request.body, deadline) {
        (_, Some(deadline)) => deadline.saturating_duration_since(Instant::now()),
        (Payload::Streaming(upload), None) => upload.remaining_timeout(),
        (Payload::Buffered(_), None) => Duration::MAX,
    };
    let headers = http_request.headers_mut();
    headers.insert(
        "x-remaining-ms",
        HeaderValue::from((remaining_timeout.as_millis() as u64).max(1)),
    );
    if !headers.contains_key(HOST) {
        if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
            headers.insert(HOST, host);
        }
    }
    http_request
}

/// Sends a request on a connection and receives the response, with the beginning of its body or all of it.
pub(super) async fn exchange(
    connection: &mut PooledConnection,
    request: &UpstreamRequest,
    addr: SocketAddr,
    clock: &Rc<AttemptClock>,
    memory: &Rc<BodyMemory>,
) -> Exchange {
    let deadline = clock.attempt_deadline();
    connection.progress.begin(&request.client, clock);
    let http_request = http_request(request, addr, deadline, connection.progress.clone());
    let sent = connection.sender.try_send_request(http_request);
    let response = tokio::select! {
        biased;
        response = sent => response,
        () = connection.progress.becomes_undeliverable(&request.client) => {
            return Exchange::Withdrawn;
        }
    };
    let response = match response {
        Ok(response) => response,
        Err(_) if !connection.progress.is_fully_written() => return Exchange::Unsent,
        Err(_) => return Exchange::Broken,
    };
    connection.progress.response_head_received();
    let (head, body) = response.into_parts();
    // The timeout of the attempt ends where a long response begins: from here on the server is only slow.
    let pass_on_by = deadline.map(|deadline| deadline - PASS_ON_MARGIN);
    let received = match has_readable_coding(&head.headers) {
        true => receive_response_body(body, memory, pass_on_by).await,
        false => None,
    };
    match received {
        Some(body) => Exchange::Response(head.status, head.headers, body),
        // The response broke off before the request was completely written: the server can't have run it.
        None if !connection.progress.is_fully_written() => Exchange::Unsent,
        None => Exchange::Broken,
    }
}

/// Whether the body has no transfer coding, or the one that the HTTP library decodes. It passes on others as they are, and
/// they are lost with their header, which is hop-by-hop.
pub(super) fn has_readable_coding(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    codings.all(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"))
}

/// The outcome of an attempt by its response. Only the header `X-Turned-Away: 1` proves that the server rejected the
/// request without running it: a 503 or 504 without the header may come from a request that ran.
pub(super) fn response_outcome(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let rejected = headers
        .get("x-turned-away")
        .is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => {
            Outcome::Overloaded
        }
        _ => Outcome::Error,
    }
}

/// The fields of a load report, in the order of the settings: up to the first that is missing, and none if the
/// header is missing or not a JSON object of numbers.
pub(super) fn parse_load_report(headers: &HeaderMap, fields: &[String]) -> Vec<f64> {
    let Some(text) = headers.get("x-pressure") else {
        return Vec::new();
    };
    let report: HashMap<String, f64> = serde_json::from_slice(text.as_bytes()).unwrap_or_default();
    fields
        .iter()
        .map_while(|field| report.get(field).copied())
        .collect()
}
