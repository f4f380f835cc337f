//! The log line of a request that was not served: its id, how it ended, and what became of its attempts.

use std::fmt;
use std::time::Duration;

use load_balancer::{Outcome, ServerId};
use tokio::time::Instant;

use super::messages::ClientResponse;
use super::request_table::PendingRequest;
use super::RequestNumber;
use crate::body::Payload;
use crate::log::{rejection_line, request_line};
use crate::metrics::{outcome_name, CloseReason};
use crate::servers::Servers;

/// An attempt that has ended without a response for the client.
pub struct FailedAttempt {
    /// The server that the attempt was sent to.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from the attempt's start to its end.
    pub elapsed: Duration,
}

/// Logs how a request ended, unless it was served.
pub fn log_unserved(
    number: RequestNumber,
    request: &PendingRequest,
    response: &ClientResponse,
    servers: &Servers,
) {
    let write_line = match response {
        ClientResponse::Rejected { .. } => rejection_line,
        _ => request_line,
    };
    if let Some(ending) = ending_of(response) {
        log_ending(number, request, ending, servers, write_line);
    }
}

/// Logs a request that ended before the balancer answered it. Without a reason for the end of its connection, the node answered
/// it itself: its body could not be received.
pub fn log_abandoned(
    number: RequestNumber,
    request: &PendingRequest,
    reason: Option<CloseReason>,
    servers: &Servers,
) {
    let ending = match reason {
        None => "given up, as its body did not come,",
        Some(CloseReason::ClientLeft | CloseReason::Finished) => "left by its client",
        Some(CloseReason::Broken) => "left unanswered, as its connection broke,",
        Some(CloseReason::HeadTimeout) => "left unanswered by a head timeout",
        Some(CloseReason::Evicted) => "left unanswered, as its connection was evicted,",
        Some(CloseReason::Draining) => "left unanswered by the drain",
        Some(CloseReason::ResponseBroken) => "left unanswered, as an earlier response broke off,",
    };
    log_ending(number, request, ending, servers, request_line);
}

fn log_ending(
    number: RequestNumber,
    request: &PendingRequest,
    ending: &str,
    servers: &Servers,
    write_line: fn(fmt::Arguments<'_>),
) {
    let id = request.upstream.headers.get("x-txn");
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("without id");
    let elapsed = request.arrived_at.elapsed().as_secs_f64();
    let attempts = AttemptList { request, servers };
    let body = BodyProgress(request);
    write_line(format_args!(
        "request {} ({id}) {ending} after {elapsed:.3} s{body}; attempts: {attempts}",
        number.0
    ));
}

fn ending_of(response: &ClientResponse) -> Option<&'static str> {
    match response {
        ClientResponse::Served(_) => None,
        ClientResponse::Rejected { .. } => Some("refused"),
        ClientResponse::Failed => Some("failed"),
        ClientResponse::Repeated => Some("failed, as its id had come before,"),
        ClientResponse::DeadlineExceeded => Some("had no answer by its deadline"),
    }
}

/// What of a body that is passed on while it arrives has arrived and not been passed on, as text.
struct BodyProgress<'a>(&'a PendingRequest);

impl fmt::Display for BodyProgress<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Payload::Streaming(upload) = &self.0.upstream.body else {
            return Ok(());
        };
        let state = if upload.is_complete() {
            "complete"
        } else {
            "pending"
        };
        let (received, held) = (upload.received_bytes(), upload.held_bytes());
        write!(
            f,
            ", body {state}, {received} bytes received, {held} of them not passed on"
        )
    }
}

/// The attempts of a request, as text: those that failed, then those in flight.
struct AttemptList<'a> {
    request: &'a PendingRequest,
    servers: &'a Servers,
}

impl fmt::Display for AttemptList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.request.attempts.is_empty() {
            return f.write_str("none");
        }
        let mut separator = "";
        for attempt in &self.request.failed_attempts {
            let server = self.servers.id_of(attempt.server);
            let (outcome, elapsed) = (outcome_name(attempt.outcome), attempt.elapsed.as_secs_f64());
            write!(f, "{separator}{server} {outcome} after {elapsed:.3} s")?;
            separator = ", ";
        }
        let now = Instant::now();
        for attempt in self.request.attempts.iter().flatten() {
            let server = self.servers.id_of(attempt.server);
            let elapsed = (now - attempt.sent_at).as_secs_f64();
            write!(f, "{separator}{server} in flight for {elapsed:.3} s")?;
            separator = ", ";
        }
        Ok(())
    }
}
