//! The lifecycle of a request in the event loop: arrival, attempts, response, end.

use std::time::Duration;

use load_balancer::{AttemptResult, ClassId, Event, Micros, Outcome, Request};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::clock::micros_until;
use super::messages::{
    AttemptEnded, ClientDisconnected, ClientResponse, HealthCheckEnded, RequestArrived,
    RequestComplete, RequestNumber,
};
use super::request_log::{log_abandoned, log_unserved, FailedAttempt};
use super::request_table::PendingRequest;
use super::timers::{Timer, TimerKey, Timers};
use super::EventLoop;
use crate::run_once::IdHash;
use crate::servers::{UpstreamRequest, UpstreamResult};

/// The balancer answers a request by the deadline that it was given. If it has not, the node answers this long
/// after the deadline.
const DEADLINE_BACKSTOP_DELAY: Duration = Duration::from_millis(5);
/// The remaining timeout that the balancer is given while a request's body is still arriving.
const REMAINING_TIMEOUT_OF_INCOMPLETE: Micros = u32::MAX as Micros;

impl EventLoop {
    pub(super) fn request_arrived(&mut self, arrived: RequestArrived) {
        self.metrics.requests_received.increment();
        let RequestArrived {
            number,
            class,
            tenant,
            key,
            is_retry,
            cost,
            deadline,
            upstream,
            reply,
        } = arrived;
        let claimed_id = self.id_to_claim(class, &upstream);
        let remaining_timeout = deadline.map_or(REMAINING_TIMEOUT_OF_INCOMPLETE, micros_until);
        let deadline_backstop =
            deadline.map(|deadline| set_deadline_backstop(&mut self.timers, number, deadline));
        let pending = PendingRequest {
            arrived_at: Instant::now(),
            reply: Some(reply),
            upstream,
            deadline,
            deadline_backstop,
            claimed_id,
            may_have_run: false,
            attempts: Vec::new(),
            failed_attempts: Vec::new(),
        };
        self.requests.insert(number, pending);
        if claimed_id.is_some_and(|id| !self.run_once.claim(id)) {
            return self.refuse_repeated(number);
        }
        self.events.push_back(Event::Request(Request {
            id: number.to_id(),
            remaining_timeout,
            class,
            cost,
            is_retry,
            tenant,
            key,
            body_pending: deadline.is_none(),
        }));
    }

    /// The id that a request has to claim before it is passed on; `None` if it may run twice.
    fn id_to_claim(&self, class: ClassId, upstream: &UpstreamRequest) -> Option<IdHash> {
        let id = upstream.headers.get("x-txn")?;
        let is_non_idempotent = self.repeat_rules.is_non_idempotent(class);
        is_non_idempotent.then(|| IdHash::of(id.as_bytes()))
    }

    /// Answers a request whose id is claimed by an earlier one. The claim stays with that one.
    fn refuse_repeated(&mut self, number: RequestNumber) {
        if let Some(pending) = self.requests.get_mut(number) {
            pending.claimed_id = None;
        }
        self.respond(number, ClientResponse::Repeated);
    }

    /// Records that an attempt has ended, or was cancelled.
    pub(super) fn record_outcome(&mut self, number: RequestNumber, outcome: Outcome) {
        let may_have_run = outcome.may_have_run(self.repeat_rules.overloaded_may_have_run);
        if let Some(pending) = self.requests.get_mut(number) {
            pending.may_have_run |= may_have_run;
        }
    }

    /// Removes a request that is answered and has no attempt in flight. Its id may come again if it can't have run.
    pub(super) fn remove_if_finished(&mut self, number: RequestNumber) {
        let Some(finished) = self.requests.remove_if_finished(number) else {
            return;
        };
        if let (Some(id), false) = (finished.claimed_id, finished.may_have_run) {
            self.run_once.release(id);
        }
    }

    /// Handles the arrival of a request's last byte: sets its deadline, and restarts the elapsed time of its attempts
    /// in flight, as until now they have waited for the body.
    pub(super) fn request_complete(&mut self, message: &RequestComplete) {
        let &RequestComplete { number, deadline } = message;
        let pending = self.requests.get_mut(number);
        let Some(pending) = pending.filter(|pending| pending.reply.is_some()) else {
            return;
        };
        pending.deadline = Some(deadline);
        let backstop = set_deadline_backstop(&mut self.timers, number, deadline);
        pending.deadline_backstop = Some(backstop);
        for attempt in pending.attempts.iter_mut().flatten() {
            attempt.sent_at = Instant::now();
        }
        self.events.push_back(Event::RequestComplete {
            id: number.to_id(),
            remaining_timeout: micros_until(deadline),
        });
    }

    /// Answers a request that the balancer has not answered by its deadline.
    pub(super) fn deadline_backstop_expired(&mut self, number: RequestNumber) {
        if let Some(pending) = self.requests.get_mut(number) {
            // An expired timer must not be cancelled, see `Timers::cancel`.
            pending.deadline_backstop = None;
        }
        let Some(reply) = self.take_reply(number) else {
            return;
        };
        crate::log::line(format_args!(
            "the balancer did not answer request {} by its deadline; the node answers that it was exceeded",
            number.0
        ));
        self.send_response(number, reply, ClientResponse::DeadlineExceeded);
        self.events
            .push_back(Event::RequestAbandoned(number.to_id()));
        self.remove_if_finished(number);
    }

    pub(super) fn client_disconnected(&mut self, message: &ClientDisconnected) {
        let &ClientDisconnected { number, reason } = message;
        if self.take_reply(number).is_none() {
            return;
        }
        if let Some(request) = self.requests.get_mut(number) {
            log_abandoned(number, request, reason, &self.servers);
        }
        self.events
            .push_back(Event::RequestAbandoned(number.to_id()));
        self.remove_if_finished(number);
    }

    /// Responds to a request, unless it was answered before or its client has disconnected.
    pub(super) fn respond(&mut self, number: RequestNumber, response: ClientResponse) {
        if let Some(reply) = self.take_reply(number) {
            self.send_response(number, reply, response);
        }
        self.remove_if_finished(number);
    }

    /// Sends the final response of a request, and logs one that is not served.
    fn send_response(
        &mut self,
        number: RequestNumber,
        reply: oneshot::Sender<ClientResponse>,
        response: ClientResponse,
    ) {
        if let Some(request) = self.requests.get_mut(number) {
            log_unserved(number, request, &response, &self.servers);
        }
        let _ = reply.send(response);
    }

    /// Takes the sender for a request's response and cancels the deadline backstop. `None` if the request was
    /// answered before or its client has disconnected.
    fn take_reply(&mut self, number: RequestNumber) -> Option<oneshot::Sender<ClientResponse>> {
        let pending = self.requests.get_mut(number)?;
        let reply = pending.reply.take()?;
        if let Some(timer) = pending.deadline_backstop.take() {
            self.timers.cancel(&timer);
        }
        Some(reply)
    }

    pub(super) fn attempt_ended(&mut self, message: AttemptEnded) {
        let AttemptEnded {
            number,
            attempt,
            result,
        } = message;
        // Without an entry the attempt was cancelled while this message was queued: the balancer already has its
        // outcome.
        let Some(ended) = self.requests.take_attempt(number, attempt) else {
            return;
        };
        let UpstreamResult {
            outcome,
            load_report,
            response,
        } = result;
        self.record_outcome(number, outcome);
        let elapsed = ended.sent_at.elapsed();
        if response.is_none() {
            let failed = FailedAttempt {
                server: ended.server,
                outcome,
                elapsed,
            };
            self.requests.record_failed_attempt(number, failed);
        }
        // Precedes the event, whose `request_ended` tells the balancer that no further attempt is needed.
        if let Some(response) = response {
            self.respond(number, ClientResponse::Served(response));
        }
        self.events.push_back(Event::AttemptEnded(AttemptResult {
            id: number.to_id(),
            attempt,
            server: ended.server,
            outcome,
            elapsed: elapsed.as_micros() as Micros,
            request_ended: self.requests.is_answered(number),
            load_report,
        }));
        self.remove_if_finished(number);
    }

    pub(super) fn health_check_ended(&mut self, message: HealthCheckEnded) {
        let HealthCheckEnded {
            server,
            result,
            elapsed,
        } = message;
        self.events.push_back(Event::HealthCheckEnded {
            server,
            outcome: result.outcome,
            elapsed: elapsed.as_micros() as Micros,
            load_report: result.load_report,
        });
    }
}

/// Sets the timer after which the node answers a request that the balancer has not answered.
fn set_deadline_backstop(
    timers: &mut Timers,
    number: RequestNumber,
    deadline: Instant,
) -> TimerKey {
    let timer = Timer::DeadlineBackstop(number);
    timers.set_at(deadline + DEADLINE_BACKSTOP_DELAY, timer)
}
