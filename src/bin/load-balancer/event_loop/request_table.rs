//! The requests that are not answered yet or still have attempts in flight.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use load_balancer::{Micros, Outcome, ServerId};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::messages::{ClientResponse, RequestNumber};
use super::request_log::FailedAttempt;
use super::timers::TimerKey;
use crate::run_once::IdHash;
use crate::servers::{AttemptDeadline, AttemptLimits, UpstreamRequest};
use crate::task::AbortOnDrop;

/// An attempt that has not ended. Dropping it aborts it and closes its connection.
pub struct InFlightAttempt {
    /// The server that the attempt was sent to.
    pub server: ServerId,
    /// When the attempt was sent; if the request's body was still arriving then, when the body was complete.
    pub sent_at: Instant,
    _task: AbortOnDrop,
}

impl InFlightAttempt {
    /// Creates the entry of an attempt that `task` performs.
    pub fn new(server: ServerId, sent_at: Instant, task: AbortOnDrop) -> Self {
        InFlightAttempt {
            server,
            sent_at,
            _task: task,
        }
    }
}

/// The limits that the balancer sets for an attempt, from its decision on.
#[derive(Clone, Copy)]
pub struct SendLimits {
    /// Longest duration of the attempt; 0 if only the request's deadline limits it.
    pub timeout: Micros,
    /// Longest time until the last byte is written; `None` if only the deadlines limit it.
    pub write_within: Option<Micros>,
}

/// A request that is not answered yet or still has attempts in flight.
pub struct PendingRequest {
    /// When the event loop learned of the request.
    pub arrived_at: Instant,
    /// Receives the response; `None` once it was sent or the client has disconnected.
    pub reply: Option<oneshot::Sender<ClientResponse>>,
    /// The id that the request has claimed; `None` if it may run twice.
    pub claimed_id: Option<IdHash>,
    /// Whether an attempt that has ended may have run.
    pub may_have_run: bool,
    /// The request that is sent to servers.
    pub upstream: Rc<UpstreamRequest>,
    /// When the request must be answered; `None` while its body is still arriving.
    pub deadline: Option<Instant>,
    /// The key of the request's timer [`Timer::DeadlineBackstop`](super::timers::Timer::DeadlineBackstop);
    /// `None` without a deadline, and once the timer has expired or was cancelled.
    pub deadline_backstop: Option<TimerKey>,
    /// All attempts by index; `None` for those that have ended or were not sent.
    pub attempts: Vec<Option<InFlightAttempt>>,
    /// The attempts that have ended without a response for the client, for the log.
    pub failed_attempts: Vec<FailedAttempt>,
}

impl PendingRequest {
    fn is_finished(&self) -> bool {
        self.reply.is_none() && self.attempts.iter().all(Option::is_none)
    }

    /// Whether one more attempt may be sent at `now`.
    pub fn may_send(&self, now: Instant, max_attempts: usize) -> bool {
        // The message of a disconnect may still be queued, so the connection itself is checked (test
        // `disconnects::an_attempt_is_not_retried_for_a_client_that_disconnected`).
        self.reply.is_some()
            && !self.upstream.client.has_disconnected()
            && self.attempts.len() < max_attempts
            && self.deadline.is_none_or(|deadline| now < deadline)
    }

    /// The limits of an attempt that is decided at `now`. It has no deadline while the request has none.
    pub fn attempt_limits(&self, now: Instant, limits: SendLimits) -> AttemptLimits {
        let deadline_of = |request: Instant| {
            let attempt = match limits.timeout {
                0 => request,
                timeout => request.min(now + Duration::from_micros(timeout)),
            };
            AttemptDeadline { attempt, request }
        };
        let write_within = limits.write_within.map(Duration::from_micros);
        AttemptLimits {
            deadline: self.deadline.map(deadline_of),
            write_by: write_within.map(|write_within| now + write_within),
            epoch: None,
        }
    }
}

/// All pending requests by number.
#[derive(Default)]
pub struct RequestTable {
    requests: HashMap<RequestNumber, PendingRequest>,
}

impl RequestTable {
    /// Adds a request that has arrived.
    pub fn insert(&mut self, number: RequestNumber, request: PendingRequest) {
        self.requests.insert(number, request);
    }

    /// The pending request with this number.
    pub fn get_mut(&mut self, number: RequestNumber) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&number)
    }

    /// Whether the request needs no response any more: it was answered, its client has disconnected, or it is not
    /// pending.
    pub fn is_answered(&self, number: RequestNumber) -> bool {
        self.requests
            .get(&number)
            .is_none_or(|request| request.reply.is_none())
    }

    /// Records an attempt that is not sent to this server and returns its index; 0 if the request is not pending.
    pub fn add_unsent_attempt(&mut self, number: RequestNumber, server: ServerId) -> u32 {
        let Some(request) = self.requests.get_mut(&number) else {
            return 0;
        };
        let attempt = request.attempts.len() as u32;
        request.attempts.push(None);
        request.failed_attempts.push(FailedAttempt {
            server,
            outcome: Outcome::NotSent,
            elapsed: Duration::ZERO,
        });
        attempt
    }

    /// Removes an attempt that is in flight; `None` if it has ended.
    pub fn take_attempt(&mut self, number: RequestNumber, attempt: u32) -> Option<InFlightAttempt> {
        self.requests
            .get_mut(&number)?
            .attempts
            .get_mut(attempt as usize)?
            .take()
    }

    /// Records an attempt that has ended without a response for the client.
    pub fn record_failed_attempt(&mut self, number: RequestNumber, attempt: FailedAttempt) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.failed_attempts.push(attempt);
        }
    }

    /// Removes and returns the request if it is answered and no attempt is in flight.
    pub fn remove_if_finished(&mut self, number: RequestNumber) -> Option<PendingRequest> {
        let is_finished = self.requests.get(&number)?.is_finished();
        is_finished.then(|| self.requests.remove(&number))?
    }
}
