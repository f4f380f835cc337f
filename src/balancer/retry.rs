//! Retries: which ones the idempotency of a request allows, how many are afforded, and when an attempt
//! times out so that another can follow.
//!
//! These functions alone decide whether the balancer may retry or reject a request (the node's connection
//! pool may try further idle connections and one fresh one, for an attempt of which nothing was written):
//! - an idempotent request may always be retried;
//! - one with an idempotency key may be retried inside the scope and the time in which servers
//!   deduplicate it, counted from the first attempt that may have run;
//! - a non-idempotent one may be retried, or rejected, only while no attempt may have run.
//!
//! The retry budget keeps retries to a fraction of the requests: retries at congested servers add to the
//! congestion. A failed connection costs no work and so no budget.

#[cfg(test)]
mod tests;

use super::request::{AttemptState, PendingRequest};
use crate::api::*;

/// Retries that each request earns, and the most that are saved up.
const RETRIES_PER_REQUEST: f64 = 0.2;
const MAX_SAVED_RETRIES: f64 = 20.0;
/// An attempt times out after this multiple of its class's mean answer time.
const TIMEOUT_FACTOR: f64 = 4.0;
/// The part of the deduplication time that is left for the way to the server: one in this many.
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
    /// A request arrived.
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

/// What the outcome of an attempt proves.
pub(super) fn attempt_state(outcome: Outcome, settings: &Settings) -> AttemptState {
    match outcome {
        Outcome::ConnectFailed | Outcome::NotSent => AttemptState::NeverRan,
        Outcome::Overloaded if !settings.overloaded_may_have_run => AttemptState::NeverRan,
        _ => AttemptState::MayHaveRun,
    }
}

/// Whether a server would deduplicate a request that may have run elsewhere.
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

/// Whether another attempt may be sent now.
pub(super) fn may_send(settings: &Settings, request: &PendingRequest, now: Micros) -> bool {
    let past_deadline = now >= request.deadline && !request.body_pending;
    let no_attempts_left = request.attempts.len() >= settings.max_attempts as usize;
    let forbidden_hedge = request.has_attempt_in_flight() && !settings.may_hedge;
    if past_deadline || no_attempts_left || forbidden_hedge {
        return false;
    }
    let Some(first) = request.first_that_may_have_run() else {
        return true;
    };
    match settings.classes[request.class.0].idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::IdempotencyKey { ttl, .. } => {
            now < first.sent_at + ttl - ttl / TTL_MARGIN_DIVISOR
        }
    }
}

/// Whether the request may be rejected, which lets the client retry it.
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

/// The timeout of the next attempt in microseconds: the time left, or less where a retry could follow.
/// `mean` is the mean answer time of the request's class.
pub(super) fn attempt_timeout(
    settings: &Settings,
    request: &PendingRequest,
    mean: f64,
    now: Micros,
) -> Micros {
    let left = request.deadline.saturating_sub(now).max(1);
    let is_last = request.attempts.len() + 1 >= settings.max_attempts as usize;
    // A retry is not allowed, or stays in a small cell and would overload the neighbours of a slow server.
    let few_alternatives = matches!(
        settings.classes[request.class.0].idempotency,
        Idempotency::NonIdempotent
            | Idempotency::IdempotencyKey {
                scope: DedupScope::Cell,
                ..
            }
    );
    let timeout = (TIMEOUT_FACTOR * mean) as Micros;
    // A retry without the time to be answered only wastes work.
    let no_time_for_retry = timeout * 2 > left;
    if is_last || few_alternatives || request.body_pending || no_time_for_retry {
        left
    } else {
        timeout.max(1)
    }
}
