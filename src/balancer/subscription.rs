//! The subscription to the endpoint list, in deployments where a node must call discovery for it
//! (`DiscoveryMode::Poll`).
//!
//! A node without a subscription calls discovery. After a failed call it waits for a jittered pause that
//! grows with each failure (exponential backoff). The pause is bounded so that calls follow each other
//! within [`DISCOVERY_CALL_INTERVAL`] and `Settings::max_poll_interval`, however long a call hangs.

#[cfg(test)]
mod tests;

use fastrand::Rng;

use super::tick::jitter;
use crate::api::*;

/// Maximum time in microseconds from one call to discovery to the next. A node must learn of a change within
/// 6 s of discovery; this leaves 1 s for the call.
pub const DISCOVERY_CALL_INTERVAL: Micros = 5_000_000;

/// Half the pause after a first failure, before jitter. Each further failure doubles the pause.
const BACKOFF_UNIT: Micros = 500_000;
const MAX_DOUBLINGS: u32 = 5;
/// Minimum of the time that is left for the pause and its jitter, however long the previous call hung.
const MIN_TIME_LEFT: Micros = 1_500_000;
/// Average time between the first calls of two nodes that start together.
const START_SPREAD: Micros = 50_000;

/// The state of the subscription.
pub(super) struct Subscription {
    /// Number of failed calls in a row; `None` while subscribed.
    failures: Option<u32>,
    /// The time of the latest call, or of the next one if that is scheduled.
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
    /// Maximum pause between calls, before jitter. With jitter it is at most half of
    /// `Settings::max_poll_interval`, and at most [`DISCOVERY_CALL_INTERVAL`].
    fn max_pause(settings: &Settings) -> Micros {
        settings.max_poll_interval.min(2 * DISCOVERY_CALL_INTERVAL) / 3
    }

    pub(super) fn is_subscribed(&self) -> bool {
        self.failures.is_none()
    }

    /// Records that a list or a change of it was received, so that the subscription exists.
    pub(super) fn mark_subscribed(&mut self) {
        self.failures = None;
    }

    /// The delay of a node's first call, which is random so that nodes that start together do not call
    /// discovery together.
    pub(super) fn first_call_delay(settings: &Settings, rng: &mut Rng) -> Micros {
        let spread = u64::from(settings.node_count) * START_SPREAD;
        rng.u64(0..=Self::max_pause(settings).min(spread))
    }

    /// Records that a call failed or the subscription broke; returns the delay of the next call.
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
        // Jitter makes the pause up to one and a half times as long.
        let max_pause_in_time = left / 3 * 2;
        let backoff = BACKOFF_UNIT << failures.min(MAX_DOUBLINGS);
        let pause = backoff
            .min(Self::max_pause(settings))
            .min(max_pause_in_time);
        let delay = jitter(rng, pause);
        self.failures = Some(failures);
        self.called_at = now + delay;
        delay
    }
}
