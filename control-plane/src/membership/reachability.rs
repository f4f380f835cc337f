//! Which members do not answer this agent's own direct probes, whatever other members report. It shows links that fail
//! in one or both directions while the member is alive.

use std::collections::BTreeMap;

use super::Name;
use crate::Micros;

/// Consecutive direct probes without an answer after which a member counts as unreachable.
const UNREACHABLE_AFTER: u32 = 3;

#[derive(Debug)]
struct MissedProbes {
    consecutive: u32,
    since: Micros,
}

/// Results of this agent's direct probes, by member.
#[derive(Debug, Default)]
pub struct Reachability {
    missed: BTreeMap<Name, MissedProbes>,
}

impl Reachability {
    /// Records that a member answered a direct probe.
    pub fn record_answer(&mut self, name: &Name) {
        self.missed.remove(name);
    }

    /// Records that a member did not answer a direct probe in time.
    pub fn record_miss(&mut self, now: Micros, name: &Name) {
        let missed = self.missed.entry(name.clone()).or_insert(MissedProbes {
            consecutive: 0,
            since: now,
        });
        missed.consecutive += 1;
    }

    /// Keeps only the members for which `is_present` is true.
    pub fn retain(&mut self, is_present: impl Fn(&Name) -> bool) {
        self.missed.retain(|name, _| is_present(name));
    }

    /// Since when a member has been unreachable from here, if it is.
    pub fn unreachable_since(&self, name: &Name) -> Option<Micros> {
        self.missed
            .get(name)
            .filter(|missed| missed.consecutive >= UNREACHABLE_AFTER)
            .map(|missed| missed.since)
    }
}
