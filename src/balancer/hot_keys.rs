//! Hot keys: keys with so much traffic that their requests are spread over several servers.
//!
//! [`HotKeys`] counts the requests of this node by key in bounded memory (the Space-Saving algorithm): when
//! all counters are in use, a new key takes over the smallest counter with its count, and that count is
//! recorded as the possible error. From the counters follows a lower estimate of a key's share of this
//! node's traffic; `routing` spreads a key whose share is more than one server should serve. Each node
//! decides by itself, as its traffic is a sample of the fleet's.

#[cfg(test)]
mod tests;

use super::traffic;
use crate::api::*;

/// Maximum number of keys with a counter.
const MAX_KEYS: usize = 128;
/// A counter that has decayed to this count is removed.
const MIN_COUNT: f64 = 0.3;
/// Minimum divisor of a key's share: a node that has just started has counted too few requests for a
/// meaningful share.
const MIN_REQUESTS: f64 = 20.0;

struct KeyCount {
    key: Key,
    /// Decaying count of requests.
    count: f64,
    /// The part of the count that was taken over from the counter's previous key.
    error: f64,
}

/// The most frequent keys of this node's traffic.
#[derive(Default)]
pub(super) struct HotKeys {
    counts: Vec<KeyCount>,
}

impl HotKeys {
    /// Counts a request with this key.
    pub(super) fn record(&mut self, key: Key) {
        if let Some(known) = self.counts.iter_mut().find(|c| c.key == key) {
            known.count += 1.0;
        } else if self.counts.len() < MAX_KEYS {
            self.counts.push(KeyCount {
                key,
                count: 1.0,
                error: 0.0,
            });
        } else if let Some(least) = self
            .counts
            .iter_mut()
            .min_by(|a, b| a.count.total_cmp(&b.count))
        {
            *least = KeyCount {
                key,
                count: least.count + 1.0,
                error: least.count,
            };
        }
    }

    /// A lower estimate of a key's share of `requests`, the decaying count of all requests of this node. It
    /// leaves out the possible error and one standard deviation, so that a single request makes no key hot.
    pub(super) fn traffic_share(&self, key: Option<Key>, requests: f64) -> f64 {
        let known = key.and_then(|key| self.counts.iter().find(|c| c.key == key));
        let count = known.map_or(0.0, |c| c.count - c.error);
        (count - count.sqrt()).max(0.0) / requests.max(MIN_REQUESTS)
    }

    /// Decays the counts by one tick.
    pub(super) fn decay(&mut self) {
        for count in &mut self.counts {
            count.count *= traffic::DECAY_PER_TICK;
            count.error *= traffic::DECAY_PER_TICK;
        }
        self.counts.retain(|c| c.count > MIN_COUNT);
    }
}
