//! Owns whom this agent itself gets answers from, apart from what others say: a link that works one way
//! only, or not at all, while the member is alive.

use std::collections::BTreeMap;

use super::Name;
use crate::Micros;

/// Direct probes without an answer, one after the other, before a member counts as out of reach.
const MISSES: u32 = 3;

/// What came of direct probes, by member.
#[derive(Debug, Default)]
pub struct Reach {
    /// Misses in a row and since when.
    missed: BTreeMap<Name, (u32, Micros)>,
}

impl Reach {
    /// It answered a direct probe.
    pub fn answered(&mut self, name: &Name) {
        self.missed.remove(name);
    }

    /// It did not, in the time given.
    pub fn missed(&mut self, now: Micros, name: &Name) {
        self.missed.entry(name.clone()).or_insert((0, now)).0 += 1;
    }

    /// Keeps only members that are there.
    pub fn retain(&mut self, present: impl Fn(&Name) -> bool) {
        self.missed.retain(|name, _| present(name));
    }

    /// Since when a member is out of this agent's own reach, if it is.
    pub fn lost_since(&self, name: &Name) -> Option<Micros> {
        self.missed
            .get(name)
            .filter(|(misses, _)| *misses >= MISSES)
            .map(|(_, since)| *since)
    }
}
