//! Owns when a duty may be given on, and to whom. Only the leader gives, by its own monotonic clock: never sooner than a
//! whole lease, with the clocks' drift, after the last renewal that it applied, or after it came to lead.

use std::collections::BTreeMap;

use super::{Duty, Lease, State, What};
use crate::membership::Name;
use crate::Micros;

/// A process that may be given duties.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: Name,
    /// Which process of it.
    pub process: u64,
    /// Its zone: duties are spread over zones where they can be.
    pub zone: String,
}

/// The leader's watch over leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Keeper {
    duties: Vec<Duty>,
    /// How long nobody else is given a duty, and how often it is tried.
    kept: Micros,
    try_every: Micros,
    /// For each duty the token and renewals last applied, and when it was.
    seen: BTreeMap<Duty, (u64, u64, Micros)>,
    since: Option<Micros>,
    next_try: Micros,
}

impl Keeper {
    /// Leads nothing yet.
    pub fn new(lease: Lease, duties: &[Duty]) -> Keeper {
        Keeper {
            duties: duties.to_vec(),
            kept: lease.kept(),
            try_every: lease.renew_every(),
            seen: BTreeMap::new(),
            since: None,
            next_try: 0,
        }
    }

    /// This voter leads, or does not any more.
    pub fn leads(&mut self, now: Micros, leads: bool) {
        self.since = if leads {
            Some(self.since.unwrap_or(now))
        } else {
            None
        };
    }

    /// An entry was applied: what changed counts from now.
    pub fn applied(&mut self, now: Micros, state: &State) {
        for (duty, held) in &state.held {
            let latest = (held.token, held.renewals);
            if self
                .seen
                .get(duty)
                .map(|(token, renewals, _)| (*token, *renewals))
                != Some(latest)
            {
                self.seen.insert(*duty, (held.token, held.renewals, now));
            }
        }
    }

    /// When a duty may be given, as far as known; `None` while this voter does not lead.
    pub fn free_at(&self, duty: Duty, state: &State) -> Option<Micros> {
        let since = self.since?;
        if !state.held.contains_key(&duty) {
            return Some(since);
        }
        let applied = self.seen.get(&duty).map_or(since, |(_, _, at)| *at);
        Some(since.max(applied) + self.kept)
    }

    /// Commands that give on what may be given on. `at_ms` is a wall clock, for people.
    pub fn give(
        &mut self,
        now: Micros,
        state: &State,
        candidates: &[Candidate],
        at_ms: u64,
    ) -> Vec<What> {
        if now < self.next_try {
            return Vec::new();
        }
        let free = self.duties.iter().copied();
        let free: Vec<Duty> = free
            .filter(|duty| self.free_at(*duty, state).is_some_and(|at| now >= at))
            .collect();
        let mut load: Vec<(usize, &Candidate)> = candidates.iter().map(|one| (0, one)).collect();
        for (_, held) in state.held.iter().filter(|(duty, _)| !free.contains(duty)) {
            load.iter_mut()
                .filter(|(_, one)| one.name == held.holder)
                .for_each(|(count, _)| *count += 1);
        }
        let mut given = Vec::new();
        for duty in free {
            let zones = |zone: &str, load: &[(usize, &Candidate)]| {
                load.iter()
                    .filter(|(count, one)| *count > 0 && one.zone == zone)
                    .count()
            };
            let best = (0..load.len()).min_by_key(|&at| {
                let (count, one) = load[at];
                // Who let a lease lapse may be dead and not known to be, and who gave it up did so on purpose: they get the
                // duty back only where they are alone.
                let lapsed = state
                    .last
                    .get(&duty)
                    .is_some_and(|held| held.process == one.process);
                (lapsed, count, zones(&one.zone, &load), one.name.clone())
            });
            let Some(best) = best else { break };
            load[best].0 += 1;
            let (to, process) = (load[best].1.name.clone(), load[best].1.process);
            let held = state
                .held
                .get(&duty)
                .map_or((state.token(duty), 0), |held| (held.token, held.renewals));
            given.push(What::Give {
                duty,
                to,
                process,
                after: held.0,
                renewals: held.1,
                at_ms,
            });
        }
        if !given.is_empty() {
            // What was proposed needs a moment to be agreed, or is lost and tried again.
            self.next_try = now + self.try_every;
        }
        given
    }
}
