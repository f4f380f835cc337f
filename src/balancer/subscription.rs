//! The subscription to the endpoint list, where the node must call discovery for it.
//!
//! A node that is not subscribed calls discovery. A failed call is repeated after a jittered, growing
//! pause (exponential backoff), which is bounded so that a node is never without a call for longer than
//! the settings allow, however long a call hangs.

#[cfg(test)]
mod tests;

use fastrand::Rng;

use super::tick::jitter;
use crate::api::*;

/// The longest time from one call to discovery to the next, in microseconds: a change must be known to a node
/// within 6 s of when discovery knows it.
pub const DISCOVERY_CALL_INTERVAL: Micros = 5_000_000;

/// The pause after a first failure is twice this, in microseconds; each further one doubles it.
const BACKOFF_UNIT: Micros = 500_000;
const MAX_DOUBLINGS: u32 = 5;
/// The part of the interval between calls that is left for a pause, however long the call before hung.
const MIN_TIME_LEFT: Micros = 1_500_000;
/// Time between the first calls of two nodes that start together, on average.
const START_SPREAD: Micros = 50_000;

/// The state of the subscription.
pub(super) struct Subscription {
    /// Failed calls in a row; `None` while subscribed.
    failures: Option<u32>,
    /// When discovery was last called, or will be called next.
    called_at: Micros,
}

impl Default for Subscription {
    fn default() -> Self {
        Subscription {
            failures: Some(0),
            called_at: 0,
        }
    }
}

impl Subscription {
    /// The longest pause between calls, before its jitter.
    fn max_pause(settings: &Settings) -> Micros {
        settings.max_poll_interval.min(2 * DISCOVERY_CALL_INTERVAL) / 3
    }

    pub(super) fn is_subscribed(&self) -> bool {
        self.failures.is_none()
    }

    /// A list or a change of it came: the subscription stands.
    pub(super) fn confirm(&mut self) {
        self.failures = None;
    }

    /// The delay of a node's first call: nodes that start together must not call together.
    pub(super) fn first_call_delay(settings: &Settings, rng: &mut Rng) -> Micros {
        let spread = u64::from(settings.node_count) * START_SPREAD;
        rng.u64(0..=Self::max_pause(settings).min(spread))
    }

    /// A call failed or the subscription broke; returns the delay of the next call.
    pub(super) fn record_failure(
        &mut self,
        settings: &Settings,
        now: Micros,
        rng: &mut Rng,
    ) -> Micros {
        let failures = self.failures.unwrap_or(0) + 1;
        let call_duration = now.saturating_sub(self.called_at);
        let left = DISCOVERY_CALL_INTERVAL
            .saturating_sub(call_duration)
            .max(MIN_TIME_LEFT);
        // Jitter makes a pause up to one and a half times as long.
        let longest_in_time = left / 3 * 2;
        let backoff = BACKOFF_UNIT << failures.min(MAX_DOUBLINGS);
        let pause = backoff.min(Self::max_pause(settings)).min(longest_in_time);
        let delay = jitter(rng, pause);
        self.failures = Some(failures);
        self.called_at = now + delay;
        delay
    }
}
