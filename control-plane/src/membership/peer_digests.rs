//! Compares the view digests of other members with this agent's own, and tracks for how long all have agreed. Which
//! members two views differ in is found out by an exchange of full views.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Name;
use crate::Micros;

/// A member that two views see differently. Field names are those of the JSON report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The member.
    pub name: Name,
    /// How this agent sees it.
    pub here: String,
    /// How the other agent sees it.
    pub there: String,
}

/// The view of another member, as far as it is known.
#[derive(Clone, Debug, PartialEq)]
struct PeerDigest {
    digest: u64,
    heard_at: Micros,
    /// Since when it has differed without interruption.
    differs_since: Option<Micros>,
    /// When this agent last asked for its full view.
    asked_at: Option<Micros>,
    /// The differences found by the last exchange.
    differences: Vec<Difference>,
}

/// A member whose view differs.
#[derive(Clone, Debug, PartialEq)]
pub struct DifferingDigest<'a> {
    /// The member.
    pub peer: &'a Name,
    /// Since when its view has differed.
    pub since: Micros,
    /// The differences found by the last exchange.
    pub differences: &'a [Difference],
}

/// The digests of all members present, and this agent's own.
#[derive(Clone, Debug, Default)]
pub struct PeerDigests {
    own: u64,
    own_changed_at: Micros,
    peers: BTreeMap<Name, PeerDigest>,
    /// Number of peers whose digest is not `own`, kept up to date because each datagram brings a digest.
    differing: usize,
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
        match self.peers.get_mut(name) {
            Some(peer) => {
                let differed = peer.digest != self.own;
                self.differing = self.differing + usize::from(differs) - usize::from(differed);
                peer.digest = digest;
                peer.heard_at = now;
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
                    heard_at: now,
                    differs_since: differs.then_some(now),
                    asked_at: None,
                    differences: Vec::new(),
                };
                self.differing += usize::from(differs);
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

    /// A peer to ask for its full view now: its view has differed for `convergence_timeout`, and it was not asked within that time.
    /// Of several it is the next one after `me`, so that not all agents ask the same peer. Counts it as asked.
    pub fn take_peer_to_ask(
        &mut self,
        now: Micros,
        convergence_timeout: Micros,
        me: &Name,
    ) -> Option<Name> {
        let own_changed_at = self.own_changed_at;
        let is_due = |peer: &PeerDigest| {
            // A digest from before this agent's own view changed may well be outdated.
            peer.heard_at >= own_changed_at
                && now >= own_changed_at + convergence_timeout
                && peer
                    .differs_since
                    .is_some_and(|since| now >= since + convergence_timeout)
                && peer
                    .asked_at
                    .is_none_or(|asked| now >= asked + convergence_timeout)
        };
        let due = self.peers.iter_mut().filter(|(_, peer)| is_due(peer));
        let (name, peer) = due.min_by_key(|(name, peer)| (peer.asked_at, *name < me))?;
        peer.asked_at = Some(now);
        Some(name.clone())
    }

    /// Since when all digests heard have equalled this agent's own.
    pub fn agreed_since(&self) -> Option<Micros> {
        self.agreed_since
    }

    /// Number of peers heard since this agent's own view last changed.
    pub fn heard_since_change(&self) -> usize {
        self.peers
            .values()
            .filter(|peer| peer.heard_at >= self.own_changed_at)
            .count()
    }

    /// Peers whose view has differed for `convergence_timeout` or longer.
    pub fn differing(
        &self,
        now: Micros,
        convergence_timeout: Micros,
    ) -> impl Iterator<Item = DifferingDigest<'_>> {
        self.peers.iter().filter_map(move |(name, peer)| {
            let since = peer
                .differs_since
                .filter(|since| peer.digest != self.own && now >= since + convergence_timeout)?;
            Some(DifferingDigest {
                peer: name,
                since,
                differences: &peer.differences,
            })
        })
    }
}
