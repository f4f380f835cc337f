//! The rate limits of an agent's traffic.

use crate::membership::rate_limiter::RateLimiter;
use crate::membership::MembershipSettings;
use crate::Micros;

/// Direct messages to and from suspects are limited to the send rate divided by this, which leaves the rest to updates.
const DIRECT_MESSAGE_RATE_DIVISOR: usize = 2;
/// Longest datagram in bytes that carries nothing but a direct message to or from a suspect.
pub(super) const MAX_DIRECT_MESSAGE_BYTES: usize = 160;

/// Rate limiters by kind of traffic.
#[derive(Clone, Debug)]
pub(super) struct RateLimits {
    /// All datagrams.
    pub datagrams: RateLimiter,
    /// Direct messages to and from suspects, which also count as datagrams.
    pub direct_messages: RateLimiter,
    /// Full views, which are sent in calls and their answers.
    pub views: RateLimiter,
}

impl RateLimits {
    /// Creates limiters with the rate and burst of the settings.
    pub fn new(settings: &MembershipSettings) -> RateLimits {
        let (rate, burst) = (settings.send_rate, settings.send_burst);
        RateLimits {
            datagrams: RateLimiter::new(rate, burst),
            direct_messages: RateLimiter::new(rate / DIRECT_MESSAGE_RATE_DIVISOR, burst),
            views: RateLimiter::new(rate, burst),
        }
    }

    /// Adds the tokens earned until `now`.
    pub fn refill(&mut self, now: Micros) {
        self.datagrams.refill(now);
        self.direct_messages.refill(now);
        self.views.refill(now);
    }

    /// Bytes of direct messages that may be sent now; negative while overdrawn.
    pub fn direct_message_bytes(&self) -> i64 {
        self.direct_messages
            .available()
            .min(self.datagrams.available())
    }

    /// When the next direct message may be sent.
    pub fn next_direct_message(&self) -> Micros {
        self.direct_messages
            .available_at(MAX_DIRECT_MESSAGE_BYTES)
            .max(self.datagrams.available_at(MAX_DIRECT_MESSAGE_BYTES))
    }
}
