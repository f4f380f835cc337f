//! Compares the view digests of other members with this agent's own, and tracks for how long all have agreed. An
//! exchange of full views then finds the members in which two views differ.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Name;
use crate::Micros;

/// A member that two views see differently. Field names are those of the JSON report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Name of the member.
    pub name: Name,
    /// The member's state, the state of its node and its generation in this agent's view, as text; `unknown` if the
    /// view lacks the member.
    pub here: String,
    /// The same in the other agent's view.
    pub there: String,
}

/// The digest of another member's view, and what is known of its differences.
#[derive(Clone, Debug, PartialEq)]
struct PeerDigest {
    digest: u64,
    received_at: Micros,
    /// Since when the digest has differed from this agent's own without interruption.
    differs_since: Option<Micros>,
    /// When this agent last requested the member's full view.
    requested_at: Option<Micros>,
    /// The differences found by the last exchange.
    differences: Vec<Difference>,
}

impl PeerDigest {
    /// Whether the member's view has differed without interruption for `timeout` or longer.
    fn has_differed_for(&self, now: Micros, timeout: Micros) -> bool {
        self.differs_since
            .is_some_and(|since| now >= since + timeout)
    }

    /// Whether the member's full view was requested within the last `timeout`.
    fn was_requested_within(&self, now: Micros, timeout: Micros) -> bool {
        self.requested_at.is_some_and(|at| now < at + timeout)
    }
}

/// A member whose view differs from this agent's.
#[derive(Clone, Debug, PartialEq)]
pub struct DifferingDigest<'a> {
    /// Name of the member.
    pub peer: &'a Name,
    /// Since when the view has differed.
    pub since: Micros,
    /// The differences found by the last exchange.
    pub differences: &'a [Difference],
}

/// The digests of all members present, and this agent's own.
#[derive(Clone, Debug, Default)]
pub struct PeerDigests {
    /// Digest of this agent's own view.
    own: u64,
    /// When `own` last changed.
    own_changed_at: Micros,
    peers: BTreeMap<Name, PeerDigest>,
    /// Number of peers whose digest is not `own`. It is updated incrementally, because each datagram brings a digest.
    differing: usize,
    /// Since when `differing` has been 0.
    agreed_since: Option<Micros>,
}

impl PeerDigests {
    /// Sets the digest of this agent's own view.
    pub fn set_own(&mut self, now: Micros, digest: u64) {
        if digest != self.own {
            self.own = digest;
            self.own_changed_at = now;
            self.recount(now);
        }
    }

    /// Records a peer's digest, from a datagram or an exchange.
    pub fn record(&mut self, now: Micros, name: &Name, digest: u64) {
        let differs = digest != self.own;
        let differed = self
            .peers
            .get(name)
            .is_some_and(|peer| peer.digest != self.own);
        self.differing = self.differing + usize::from(differs) - usize::from(differed);
        match self.peers.get_mut(name) {
            Some(peer) => {
                peer.digest = digest;
                peer.received_at = now;
                if differs {
                    peer.differs_since.get_or_insert(now);
                } else {
                    peer.differs_since = None;
                    peer.differences.clear();
                }
            }
            None => {
                let peer = PeerDigest {
                    digest,
                    received_at: now,
                    differs_since: differs.then_some(now),
                    requested_at: None,
                    differences: Vec::new(),
                };
                self.peers.insert(name.clone(), peer);
            }
        }
        self.update_agreement(now);
    }

    /// Forgets peers that are no longer present. `is_present` must be false for this agent itself.
    pub fn retain(&mut self, now: Micros, is_present: impl Fn(&Name) -> bool) {
        self.peers.retain(|name, _| is_present(name));
        self.recount(now);
    }

    fn recount(&mut self, now: Micros) {
        self.differing = self
            .peers
            .values()
            .filter(|peer| peer.digest != self.own)
            .count();
        self.update_agreement(now);
    }

    fn update_agreement(&mut self, now: Micros) {
        if self.differing == 0 {
            self.agreed_since.get_or_insert(now);
        } else {
            self.agreed_since = None;
        }
    }

    /// Stores the differences that an exchange with a peer has found.
    pub fn set_differences(&mut self, name: &Name, differences: Vec<Difference>) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.differences = differences;
        }
    }

    /// The peer whose full view is to be requested now, if any: its view has differed for `convergence_timeout`, this
    /// agent's own has not changed for that time, and no request was made within it. Marks the view as requested.
    ///
    /// Of several such peers, it is the one whose view was requested longest ago; of equals, the next one after `me` in the
    /// order of names, so that agents do not all call the same peer.
    pub fn take_peer_to_sync(
        &mut self,
        now: Micros,
        convergence_timeout: Micros,
        me: &Name,
    ) -> Option<Name> {
        let own_changed_at = self.own_changed_at;
        if now < own_changed_at + convergence_timeout {
            return None;
        }
        let needs_sync = |peer: &PeerDigest| {
            // A digest from before this agent's own view changed may well be outdated.
            peer.received_at >= own_changed_at
                && peer.has_differed_for(now, convergence_timeout)
                && !peer.was_requested_within(now, convergence_timeout)
        };
        let candidates = self.peers.iter_mut().filter(|(_, peer)| needs_sync(peer));
        let (name, peer) = candidates.min_by_key(|(name, peer)| (peer.requested_at, *name < me))?;
        peer.requested_at = Some(now);
        Some(name.clone())
    }

    /// Since when all digests received have equalled this agent's own; `None` while one differs.
    pub fn agreed_since(&self) -> Option<Micros> {
        self.agreed_since
    }

    /// Number of peers whose digest has arrived since this agent's own view last changed.
    pub fn received_since_change(&self) -> usize {
        self.peers
            .values()
            .filter(|peer| peer.received_at >= self.own_changed_at)
            .count()
    }

    /// Peers whose view has differed for `convergence_timeout` or longer.
    pub fn differing(
        &self,
        now: Micros,
        convergence_timeout: Micros,
    ) -> impl Iterator<Item = DifferingDigest<'_>> {
        self.peers.iter().filter_map(move |(name, peer)| {
            let is_lasting =
                peer.digest != self.own && peer.has_differed_for(now, convergence_timeout);
            let since = peer.differs_since.filter(|_| is_lasting)?;
            Some(DifferingDigest {
                peer: name,
                since,
                differences: &peer.differences,
            })
        })
    }
}
