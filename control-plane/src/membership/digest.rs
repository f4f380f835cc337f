//! Owns what others' views come to, and for how long all have agreed. It compares numbers; which names differ it is
//! told by the core, which asks the other side.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Name;
use crate::Micros;

/// A member that two views hold differently.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Who.
    pub name: Name,
    /// As this agent has it.
    pub here: String,
    /// As the other has it.
    pub there: String,
}

/// What is known of another's view.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    digest: u64,
    heard: Micros,
    /// Since when it has differed, at one time after the other.
    differs: Option<Micros>,
    asked: Option<Micros>,
    /// Where, as of the last exchange.
    pub names: Vec<Difference>,
}

/// All of them, beside one's own.
#[derive(Clone, Debug, Default)]
pub struct Digests {
    mine: u64,
    changed: Micros,
    peers: BTreeMap<Name, Peer>,
    /// Peers whose digest is not `mine`: kept, as each datagram brings one.
    apart: usize,
    agreed: Option<Micros>,
}

impl Digests {
    /// This agent's view comes to this.
    pub fn set_mine(&mut self, now: Micros, digest: u64) {
        if digest != self.mine {
            self.mine = digest;
            self.changed = now;
            self.recount(now);
        }
    }

    /// Another's came with a datagram or an exchange.
    pub fn heard(&mut self, now: Micros, name: &Name, digest: u64) {
        let mine = self.mine;
        let apart = |digest: u64| usize::from(digest != mine);
        match self.peers.get_mut(name) {
            Some(peer) => {
                self.apart = self.apart + apart(digest) - apart(peer.digest);
                (peer.digest, peer.heard) = (digest, now);
                if digest == mine {
                    peer.differs = None;
                    peer.names.clear();
                } else {
                    peer.differs.get_or_insert(now);
                }
            }
            None => {
                let differs = (digest != mine).then_some(now);
                let peer = Peer {
                    digest,
                    heard: now,
                    differs,
                    asked: None,
                    names: Vec::new(),
                };
                self.apart += apart(digest);
                self.peers.insert(name.clone(), peer);
            }
        }
        self.judge(now);
    }

    /// Keeps those that are present, this agent not among them.
    pub fn retain(&mut self, now: Micros, present: impl Fn(&Name) -> bool) {
        self.peers.retain(|name, _| present(name));
        self.recount(now);
    }

    fn recount(&mut self, now: Micros) {
        self.apart = self
            .peers
            .values()
            .filter(|peer| peer.digest != self.mine)
            .count();
        self.judge(now);
    }

    fn judge(&mut self, now: Micros) {
        self.agreed = if self.apart == 0 {
            Some(self.agreed.unwrap_or(now))
        } else {
            None
        };
    }

    /// Where a peer's view differs, as found by an exchange.
    pub fn found(&mut self, name: &Name, names: Vec<Difference>) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.names = names;
        }
    }

    /// A peer that has differed for so long and was not asked within that time: it is asked now. Of several it is the
    /// next after `me`, so that not all ask the same one.
    pub fn ask(&mut self, now: Micros, settle: Micros, me: &Name) -> Option<Name> {
        let changed = self.changed;
        let due = |peer: &Peer| {
            // What was heard before this agent's own view changed may well have changed since.
            peer.heard >= changed
                && now >= changed + settle
                && peer.differs.is_some_and(|since| now >= since + settle)
                && peer.asked.is_none_or(|asked| now >= asked + settle)
        };
        let due = self.peers.iter_mut().filter(|(_, peer)| due(peer));
        let (name, peer) = due.min_by_key(|(name, peer)| (peer.asked, *name < me))?;
        peer.asked = Some(now);
        Some(name.clone())
    }

    /// Since when all views heard have been the same as this one.
    pub fn agreed_since(&self) -> Option<Micros> {
        self.agreed
    }

    /// Views heard since this agent's own last changed.
    pub fn heard_since_change(&self) -> usize {
        self.peers
            .values()
            .filter(|peer| peer.heard >= self.changed)
            .count()
    }

    /// Those whose view has differed for `settle` or longer, with since when.
    pub fn differing(
        &self,
        now: Micros,
        settle: Micros,
    ) -> impl Iterator<Item = (&Name, Micros, &Peer)> {
        self.peers.iter().filter_map(move |(name, peer)| {
            let since = peer
                .differs
                .filter(|since| peer.digest != self.mine && now >= since + settle)?;
            Some((name, since, peer))
        })
    }
}
