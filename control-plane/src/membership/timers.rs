//! Schedules foca's timers, and the queries and deadlines of suspicions. Nothing fires by itself: the protocol reads
//! [`Timers::next_wake`] and takes what has expired when it is woken.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use foca::Timer;

use super::suspicion::Suspicion;
use super::{Identity, Name};
use crate::Micros;

/// Identifies a suspect: a refutation under a higher incarnation, or a rejoin under a higher generation, ends the
/// suspicion, and a later suspicion is another one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SuspectKey {
    /// Name of the suspect.
    pub name: Name,
    /// Generation of the suspect.
    pub generation: u64,
    /// Suspected incarnation.
    pub incarnation: u16,
}

/// A member at one incarnation.
#[derive(Clone, Debug)]
pub struct MemberIncarnation {
    /// Identity of the member.
    pub identity: Identity,
    /// Incarnation of the member.
    pub incarnation: u16,
}

impl MemberIncarnation {
    /// Identifies a suspicion of the member at this incarnation.
    pub fn key(&self) -> SuspectKey {
        SuspectKey {
            name: self.identity.name.clone(),
            generation: self.identity.generation,
            incarnation: self.incarnation,
        }
    }
}

#[derive(Debug)]
struct Suspect {
    identity: Identity,
    suspicion: Suspicion,
}

impl Suspect {
    fn member(&self, key: &SuspectKey) -> MemberIncarnation {
        MemberIncarnation {
            identity: self.identity.clone(),
            incarnation: key.incarnation,
        }
    }
}

/// foca's timers, and the suspects with their suspicions.
#[derive(Debug, Default)]
pub struct Timers {
    /// Time and id of each timer, the earliest first.
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    /// The timers of the queue by id, as foca's timers have no order by time.
    pending: BTreeMap<u64, Timer<Identity>>,
    last_id: u64,
    suspects: BTreeMap<SuspectKey, Suspect>,
    /// Time before which no suspect is queried, because the rate limit does not allow it.
    queries_from: Micros,
}

impl Timers {
    /// Schedules one of foca's timers.
    pub fn schedule(&mut self, at: Micros, timer: Timer<Identity>) {
        self.last_id += 1;
        self.queue.push(Reverse((at, self.last_id)));
        self.pending.insert(self.last_id, timer);
    }

    /// Replaces the set of suspects. A suspect that was in the set keeps its suspicion; `begin` creates one for a new
    /// suspect.
    pub fn set_suspects(
        &mut self,
        suspects: impl Iterator<Item = MemberIncarnation>,
        begin: impl Fn(&SuspectKey) -> Suspicion,
    ) {
        let mut previous = std::mem::take(&mut self.suspects);
        for member in suspects {
            let key = member.key();
            let suspect = previous.remove(&key).unwrap_or_else(|| Suspect {
                identity: member.identity,
                suspicion: begin(&key),
            });
            self.suspects.insert(key, suspect);
        }
    }

    /// The suspicion of an incarnation, while it lasts.
    pub fn suspicion(&mut self, key: &SuspectKey) -> Option<&mut Suspicion> {
        self.suspects
            .get_mut(key)
            .map(|suspect| &mut suspect.suspicion)
    }

    /// The highest suspected incarnation of a member under a generation, if there is one.
    pub fn suspected_incarnation(&self, name: &Name, generation: u64) -> Option<u16> {
        let key = |incarnation| SuspectKey {
            name: name.clone(),
            generation,
            incarnation,
        };
        self.suspects
            .range(key(0)..=key(u16::MAX))
            .next_back()
            .map(|(key, _)| key.incarnation)
    }

    /// Whether any member is under suspicion.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// The earliest time at which a timer fires, a suspect is queried, or a suspicion ends.
    pub fn next_wake(&self) -> Option<Micros> {
        let queued = self.queue.peek().map(|Reverse((at, _))| *at);
        let suspects = self
            .suspects
            .values()
            .map(|suspect| suspect.suspicion.next_wake(self.queries_from))
            .min();
        [queued, suspects].into_iter().flatten().min()
    }

    /// Takes at most `limit` suspects that are to be queried now, those with the earliest deadline first. Queries beyond
    /// the limit stay scheduled.
    pub fn take_scheduled_queries(&mut self, now: Micros, limit: usize) -> Vec<MemberIncarnation> {
        let mut suspects: Vec<(&SuspectKey, &mut Suspect)> = self.suspects.iter_mut().collect();
        suspects.sort_by_key(|(_, suspect)| suspect.suspicion.deadline());
        suspects
            .into_iter()
            .filter_map(|(key, suspect)| {
                let is_taken = suspect.suspicion.take_scheduled_query(now);
                is_taken.then(|| suspect.member(key))
            })
            .take(limit)
            .collect()
    }

    /// Delays all queries of suspects until that time.
    pub fn delay_queries(&mut self, until: Micros) {
        self.queries_from = until;
    }

    /// Takes the suspects whose deadline has passed.
    pub fn take_expired_suspects(&mut self, now: Micros) -> Vec<MemberIncarnation> {
        let mut expired = Vec::new();
        self.suspects.retain(|key, suspect| {
            let is_expired = suspect.suspicion.deadline() <= now;
            if is_expired {
                expired.push(suspect.member(key));
            }
            !is_expired
        });
        expired
    }

    /// Takes foca's timers that have expired, in foca's own order: an indirect probe is sent before the next probe begins.
    pub fn take_expired(&mut self, now: Micros) -> Vec<Timer<Identity>> {
        let mut expired = Vec::new();
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > now {
                break;
            }
            self.queue.pop();
            expired.extend(self.pending.remove(&id));
        }
        expired.sort();
        expired
    }

    /// Moves all times forward by a span for which this process was paused.
    pub fn postpone(&mut self, by: Micros) {
        self.queue = self
            .queue
            .drain()
            .map(|Reverse((at, id))| Reverse((at + by, id)))
            .collect();
        for suspect in self.suspects.values_mut() {
            suspect.suspicion.postpone(by);
        }
    }
}
