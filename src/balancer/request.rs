//! A request from its arrival to the end of its last attempt.

use crate::api::*;

/// Where a late answer is worthless, this part of the latency objective is left for the way back.
const ANSWER_MARGIN_DIVISOR: Micros = 32;

/// What is known of an attempt's execution.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptState {
    InFlight,
    /// Its outcome proves that it did not run.
    NeverRan,
    MayHaveRun,
}

/// An attempt of a request.
pub(super) struct Attempt {
    pub(super) endpoint: Endpoint,
    pub(super) sent_at: Micros,
    pub(super) state: AttemptState,
    /// The answer time expected of it, in microseconds.
    pub(super) expected: f64,
    /// It was a slow attempt and was recorded as such while in flight; see `outcome`.
    pub(super) recorded_as_slow: bool,
    /// It counts as in flight at its server and in the concurrency limit: from the time its request is
    /// complete.
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

/// The times by which a request is to be answered.
#[derive(Clone, Copy)]
pub(super) struct Deadlines {
    /// Until then an answer has its full value.
    pub(super) objective: Micros,
    /// From then on no attempt is sent for it.
    pub(super) deadline: Micros,
}

impl Deadlines {
    /// The deadlines of a request of `class` whose client waits for `remaining` from now on.
    pub(super) fn new(class: &RequestClass, now: Micros, remaining: Micros) -> Self {
        // Waiting for an answer without value only fills a server's queue.
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

/// A request that has not ended, or has attempts in flight.
pub(super) struct PendingRequest {
    pub(super) class: ClassId,
    pub(super) cost: Option<Micros>,
    /// The slot that its probe sequence starts at.
    pub(super) slot: usize,
    pub(super) key: Option<Key>,
    /// The key whose queue it waits in, for a class that is in order.
    pub(super) queue_key: Option<Key>,
    /// Its body is still being received: its deadlines do not count yet.
    pub(super) body_pending: bool,
    /// See [`Deadlines`].
    pub(super) objective: Micros,
    pub(super) deadline: Micros,
    pub(super) attempts: Vec<Attempt>,
    /// It has its final answer; it stays known until its attempts have ended.
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

    /// Its body has been received.
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

    /// The first attempt that is not known to have never run.
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

/// What is known of a request when one of its attempts has ended, from one look into the table of requests,
/// the costliest part of an attempt's end.
pub(super) struct EndedAttempt {
    pub(super) class: ClassId,
    pub(super) cost: Option<Micros>,
    pub(super) queue_key: Option<Key>,
    /// The request was answered or abandoned before.
    pub(super) request_ended: bool,
    /// Another attempt of the request is in flight.
    pub(super) has_attempt_in_flight: bool,
}
