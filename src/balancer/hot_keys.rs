//! Keys with much traffic, whose requests are spread over several servers.
//!
//! Counts the requests of this node by key in bounded memory (the Space-Saving algorithm): a new key
//! takes the place of the least counted one and inherits its count, which is recorded as the possible error.
//! Reports the share of all traffic that a key surely has; routing spreads a key whose share is more
//! than one server should serve. A node's traffic is a sample of the fleet's, so each node decides alone.

#[cfg(test)]
mod tests;

use super::traffic;
use crate::api::*;

/// Keys that are counted at a time.
const MAX_KEYS: usize = 128;
/// A count below this is dropped.
const MIN_COUNT: f64 = 0.3;
/// A key's share is taken of at least this many requests: a node at its start has seen too few.
const MIN_REQUESTS: f64 = 20.0;

struct KeyCount {
    key: Key,
    /// Requests, as a decaying count.
    count: f64,
    /// The part of the count that may belong to the key that was counted here before.
    error: f64,
}

/// The most frequent keys of this node's traffic.
#[derive(Default)]
pub(super) struct HotKeys {
    counts: Vec<KeyCount>,
}

impl HotKeys {
    /// A request with this key arrived.
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

    /// A key's share of `requests`, less its statistical error, so that one request makes no key hot.
    pub(super) fn traffic_share(&self, key: Option<Key>, requests: f64) -> f64 {
        let known = key.and_then(|key| self.counts.iter().find(|c| c.key == key));
        let count = known.map_or(0.0, |c| c.count - c.error);
        (count - count.sqrt()).max(0.0) / requests.max(MIN_REQUESTS)
    }

    /// A tick has passed.
    pub(super) fn decay(&mut self) {
        for count in &mut self.counts {
            count.count *= traffic::DECAY_PER_TICK;
            count.error *= traffic::DECAY_PER_TICK;
        }
        self.counts.retain(|c| c.count > MIN_COUNT);
    }
}
