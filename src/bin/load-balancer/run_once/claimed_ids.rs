//! The ids that this process has claimed, in bounded memory.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::{IdHash, RETENTION};

/// Most ids that are kept; a further one replaces the oldest.
pub const MAX_CLAIMED_IDS: usize = 8_192;

/// Claimed ids with the time of their claim.
///
/// Invariant: each entry of `claimed_at` has one entry in `order` with the same time. An entry of `order` without one is
/// that of an id that was released.
#[derive(Default)]
pub struct ClaimedIds {
    claimed_at: HashMap<IdHash, Duration>,
    /// The claims in their order.
    order: VecDeque<(IdHash, Duration)>,
}

impl ClaimedIds {
    /// Claims an id at `now`; returns `false` if it is claimed already.
    pub fn claim(&mut self, id: IdHash, now: Duration) -> bool {
        self.forget_old(now);
        if self.claimed_at.contains_key(&id) {
            return false;
        }
        if self.order.len() >= MAX_CLAIMED_IDS {
            self.forget_oldest();
        }
        self.claimed_at.insert(id, now);
        self.order.push_back((id, now));
        true
    }

    /// Releases an id.
    pub fn release(&mut self, id: IdHash) {
        self.claimed_at.remove(&id);
    }

    fn forget_old(&mut self, now: Duration) {
        let is_old = |&(_, claimed_at): &(IdHash, Duration)| claimed_at + RETENTION <= now;
        while self.order.front().is_some_and(is_old) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((id, claimed_at)) = self.order.pop_front() else {
            return;
        };
        // An id that was released may have been claimed anew.
        if self.claimed_at.get(&id) == Some(&claimed_at) {
            self.claimed_at.remove(&id);
        }
    }
}
