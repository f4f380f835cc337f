//! A request from its arrival to the end of its last attempt.

use crate::api::*;

/// If a late answer has no value, the deadline is earlier than the latency objective by this fraction of it
/// (one part in 32), which leaves time for the answer's way to the client.
const ANSWER_MARGIN_DIVISOR: Micros = 32;

/// Whether an attempt is in flight, and if not, whether the server may have run it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptState {
    InFlight,
    /// The outcome proves that the server did not run it.
    NeverRan,
    /// The outcome does not prove that.
    MayHaveRun,
}

pub(super) struct Attempt {
    pub(super) endpoint: Endpoint,
    pub(super) sent_at: Micros,
    pub(super) state: AttemptState,
    /// The answer time that was expected when the attempt was sent, in microseconds.
    pub(super) expected: f64,
    /// It became slow while in flight and was recorded as such (see `outcome`).
    pub(super) recorded_as_slow: bool,
    /// It counts as in flight at its server and in the concurrency limit, which begins when its request's
    /// body is complete.
    pub(super) counted: bool,
}

impl Attempt {
    pub(super) fn new(endpoint: Endpoint, sent_at: Micros, expected: f64) -> Self {
        Attempt {
            endpoint,
            sent_at,
            state: AttemptState::InFlight,
            expected,
            recorded_as_slow: false,
            counted: false,
        }
    }
}

/// The points in time by which a request should be answered.
#[derive(Clone, Copy)]
pub(super) struct Deadlines {
    /// The end of the latency objective: an answer up to then has its full value.
    pub(super) objective: Micros,
    /// The end of the request: no attempt is sent from then on, and none may last longer.
    pub(super) deadline: Micros,
}

impl Deadlines {
    /// The deadlines of a request of `class` whose client waits for `remaining` from now on.
    pub(super) fn new(class: &RequestClass, now: Micros, remaining: Micros) -> Self {
        // To wait for an answer that has no value would only lengthen a server's queue.
        let useful = if class.late_value > 0.0 {
            class.deadline
        } else {
            class.latency_objective - class.latency_objective / ANSWER_MARGIN_DIVISOR
        };
        Deadlines {
            objective: now + class.latency_objective.min(remaining),
            deadline: now + remaining.min(useful),
        }
    }
}

/// A request that has not ended, or that has ended and still has attempts in flight.
pub(super) struct PendingRequest {
    pub(super) class: ClassId,
    pub(super) cost: Option<Micros>,
    /// The slot at which its probe sequence starts (see `routing`).
    pub(super) slot: usize,
    pub(super) key: Option<Key>,
    /// The key in whose queue it waits; `None` if its class is not in order.
    pub(super) queue_key: Option<Key>,
    /// Its body is still being received; its deadlines do not apply yet.
    pub(super) body_pending: bool,
    /// See [`Deadlines`].
    pub(super) objective: Micros,
    pub(super) deadline: Micros,
    pub(super) attempts: Vec<Attempt>,
    /// It has its final answer, and is kept until its attempts have ended.
    pub(super) ended: bool,
}

impl PendingRequest {
    pub(super) fn new(
        request: &Request,
        class: &RequestClass,
        slot: usize,
        deadlines: Deadlines,
    ) -> Self {
        PendingRequest {
            class: request.class,
            cost: request.cost,
            slot,
            key: request.key,
            queue_key: request.key.filter(|_| class.in_order),
            body_pending: request.body_pending,
            objective: deadlines.objective,
            deadline: deadlines.deadline,
            attempts: Vec::new(),
            ended: false,
        }
    }

    /// Records that the body has been received; `deadlines` apply from now on.
    pub(super) fn complete(&mut self, deadlines: Deadlines) {
        self.objective = deadlines.objective;
        self.deadline = deadlines.deadline;
        self.body_pending = false;
    }

    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|a| a.state == AttemptState::InFlight)
    }

    /// The first attempt that is in flight or may have run.
    pub(super) fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|a| a.state != AttemptState::NeverRan)
    }

    pub(super) fn was_sent_to(&self, server: ServerId) -> bool {
        self.attempts.iter().any(|a| a.endpoint.server == server)
    }

    /// Numbers of the attempts in flight.
    pub(super) fn attempts_in_flight(&self) -> Vec<u32> {
        self.attempts
            .iter()
            .enumerate()
            .filter(|(_, a)| a.state == AttemptState::InFlight)
            .map(|(number, _)| number as u32)
            .collect()
    }
}

/// What `Balancer::on_attempt_ended` needs to know of the request. It is gathered in one look-up in the table
/// of requests, which is the most expensive part of handling the end of an attempt.
pub(super) struct EndedAttempt {
    pub(super) class: ClassId,
    pub(super) cost: Option<Micros>,
    pub(super) queue_key: Option<Key>,
    /// The request had been answered or abandoned before the attempt ended.
    pub(super) request_ended: bool,
    /// Another attempt of the request is in flight.
    pub(super) has_attempt_in_flight: bool,
}
