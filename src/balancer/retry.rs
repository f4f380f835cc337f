//! Retries: which retries the idempotency of a request allows, how many the retry budget allows, and when
//! an attempt times out so that a retry can follow.
//!
//! The functions here alone decide whether the balancer may retry or reject a request:
//! - An idempotent request may always be retried.
//! - A request with an idempotency key may be retried at the servers that deduplicate it (its scope), and
//!   within the time for which they do, counted from the first attempt that may have run. The last byte of
//!   the retry must be written within that time: a retry that is decided in time may wait for its connection.
//! - A non-idempotent request may be retried, or rejected, only while no attempt may have run.
//!
//! The node's connection pool is separate from this. For an attempt of which nothing has been written, it
//! may try further idle connections and one new connection.
//!
//! The retry budget limits retries to a fraction of the requests, because retries at congested servers add
//! to the congestion. A failed connection costs the servers no work, so its retry takes nothing from the
//! budget.

#[cfg(test)]
mod tests;

use super::request::{AttemptState, PendingRequest};
use crate::api::*;

/// Number of retries that each request adds to the budget, and the maximum of the budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
const MAX_SAVED_RETRIES: f64 = 20.0;
/// An attempt that can be followed by a retry times out after this multiple of its class's mean answer time.
const TIMEOUT_FACTOR: f64 = 4.0;
/// Least timeout of an attempt, as a fraction of its class's latency objective. Where answers come within a
/// fraction of a millisecond, their mean says nothing about how long a node or a server may be held up.
const MIN_TIMEOUT_FRACTION: f64 = 0.02;
/// The last part of the deduplication time, one part in this many, is reserved for a retry's way to the
/// server: no retry is sent in it.
const TTL_MARGIN_DIVISOR: Micros = 10;

/// The number of retries that may be sent now (a token bucket).
pub(super) struct RetryBudget {
    retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            retries: MAX_SAVED_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Records the arrival of a request.
    pub(super) fn record_request(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Takes a retry from the budget; returns whether there was one.
    pub(super) fn try_take(&mut self) -> bool {
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }
}

/// Whether the outcome proves that the attempt never ran.
pub(super) fn attempt_state(outcome: Outcome, settings: &Settings) -> AttemptState {
    if outcome.may_have_run(settings.overloaded_may_have_run) {
        AttemptState::MayHaveRun
    } else {
        AttemptState::NeverRan
    }
}

/// Whether the scope of a request's idempotency key allows sending it to this server: if an earlier attempt
/// may have run, this server must deduplicate the request. Requests of other classes may go to any server;
/// whether they may be sent at all is decided by [`may_send`].
pub(super) fn may_run_on(
    idempotency: Idempotency,
    request: &PendingRequest,
    endpoint: &Endpoint,
) -> bool {
    let Idempotency::IdempotencyKey { scope, .. } = idempotency else {
        return true;
    };
    let Some(first) = request.first_that_may_have_run() else {
        return true;
    };
    match scope {
        DedupScope::All => true,
        DedupScope::Zone => first.endpoint.zone == endpoint.zone,
        DedupScope::Cell => first.endpoint.cell == endpoint.cell,
    }
}

/// Whether another attempt of the request may be sent now.
pub(super) fn may_send(settings: &Settings, request: &PendingRequest, now: Micros) -> bool {
    let past_deadline = now >= request.deadline && !request.body_pending;
    let no_attempts_left = request.attempts.len() >= settings.max_attempts as usize;
    let forbidden_hedge = request.has_attempt_in_flight() && !settings.may_hedge;
    if past_deadline || no_attempts_left || forbidden_hedge {
        return false;
    }
    let may_have_run = request.first_that_may_have_run().is_some();
    match settings.classes[request.class.0].idempotency {
        Idempotency::NonIdempotent => !may_have_run,
        Idempotency::Idempotent | Idempotency::IdempotencyKey { .. } => {
            deduplication_end(settings, request).is_none_or(|end| now < end)
        }
    }
}

/// Until when the request may be written to a server again; `None` without a limit, as it has not run or
/// needs no deduplication.
pub(super) fn deduplication_end(settings: &Settings, request: &PendingRequest) -> Option<Micros> {
    let first = request.first_that_may_have_run()?;
    match settings.classes[request.class.0].idempotency {
        Idempotency::IdempotencyKey { ttl, .. } => {
            Some(first.sent_at + ttl - ttl / TTL_MARGIN_DIVISOR)
        }
        Idempotency::Idempotent | Idempotency::NonIdempotent => None,
    }
}

/// Whether the request may be rejected. The client may retry a rejected request, so a retry must be safe.
pub(super) fn may_reject(idempotency: Idempotency, request: &PendingRequest) -> bool {
    match idempotency {
        Idempotency::Idempotent
        | Idempotency::IdempotencyKey {
            scope: DedupScope::All,
            ..
        } => true,
        _ => request.first_that_may_have_run().is_none(),
    }
}

/// The timeout of the next attempt in microseconds: all the time left until the request's deadline, or less
/// if a retry could follow. `mean` is the mean answer time of the request's class in microseconds.
pub(super) fn attempt_timeout(
    settings: &Settings,
    request: &PendingRequest,
    mean: f64,
    now: Micros,
) -> Micros {
    let left = request.deadline.saturating_sub(now).max(1);
    let class = &settings.classes[request.class.0];
    let is_last = request.attempts.len() + 1 >= settings.max_attempts as usize;
    // A retry is either not allowed, or must stay in a cell, where it would overload the few servers next to
    // a slow one.
    let few_alternatives = matches!(
        class.idempotency,
        Idempotency::NonIdempotent
            | Idempotency::IdempotencyKey {
                scope: DedupScope::Cell,
                ..
            }
    );
    let min_timeout = MIN_TIMEOUT_FRACTION * class.latency_objective as f64;
    let timeout = (TIMEOUT_FACTOR * mean).max(min_timeout) as Micros;
    // A retry that is left too little time to be answered would only waste work.
    let no_time_for_retry = timeout * 2 > left;
    if is_last || few_alternatives || request.body_pending || no_time_for_retry {
        left
    } else {
        timeout.max(1)
    }
}
