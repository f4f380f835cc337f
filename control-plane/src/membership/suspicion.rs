//! How long a suspect has to refute: the longest timeout with a single accuser, and less with each further independent
//! one (Lifeguard's dynamic suspicion timeout). SWIM decides whether a member is a suspect.

use std::collections::BTreeSet;

use super::settings::SuspicionTimeout;
use super::Name;
use crate::Micros;

/// When a suspect is queried directly, as fractions of the shortest timeout: late enough for gossip to have brought a
/// refutation, and before the suspect can be declared failed.
const QUERY_TIMES: [f64; 3] = [0.4, 0.6, 0.8];

/// The suspicion of one incarnation of a member, as known to this agent.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// When this agent learnt of the suspicion, plus the time for which this process was paused since.
    began: Micros,
    timeout: SuspicionTimeout,
    /// Independent accusers besides the first with which the shortest timeout applies.
    required_confirmations: usize,
    /// Members whose own probe of the suspect failed. At most one more than `required_confirmations`.
    accusers: BTreeSet<Name>,
    queries_sent: usize,
}

impl Suspicion {
    /// Creates a suspicion that begins now. The shortest timeout applies after `required_confirmations` independent
    /// accusers besides the first; if that is 0, because the fleet is too small to have any, it applies from the start.
    pub fn new(
        now: Micros,
        timeout: SuspicionTimeout,
        required_confirmations: usize,
        accusers: impl Iterator<Item = Name>,
    ) -> Suspicion {
        let mut suspicion = Suspicion {
            began: now,
            timeout,
            required_confirmations,
            accusers: BTreeSet::new(),
            queries_sent: 0,
        };
        for accuser in accusers {
            suspicion.add_accuser(accuser);
        }
        suspicion
    }

    /// Adds a member whose own probe failed too. Returns whether it was new and still shortens the timeout.
    pub fn add_accuser(&mut self, accuser: Name) -> bool {
        self.accusers.len() <= self.required_confirmations && self.accusers.insert(accuser)
    }

    /// Whether any member other than `me` is an accuser.
    pub fn is_shared(&self, me: &Name) -> bool {
        self.accusers.iter().any(|accuser| accuser != me)
    }

    /// When the suspect is declared failed unless it refutes. The timeout is `max` with one accuser and falls with the
    /// logarithm of the confirmations to `min` when there are as many as required.
    pub fn deadline(&self) -> Micros {
        let SuspicionTimeout { min, max } = self.timeout;
        if self.required_confirmations == 0 {
            return self.began + min;
        }
        let confirmations = self.accusers.len().saturating_sub(1) as f64;
        let required = self.required_confirmations as f64;
        let fraction = (confirmations + 1.0).ln() / (required + 1.0).ln();
        let reduction = (max - min) as f64 * fraction.min(1.0);
        self.began + (max - reduction as Micros).max(min)
    }

    fn next_query(&self) -> Option<Micros> {
        let fraction = QUERY_TIMES.get(self.queries_sent)?;
        Some(self.began + (self.timeout.min as f64 * fraction) as Micros)
    }

    /// Whether this agent is to query the suspect directly now, in case gossip has lost its refutation. Counts the query as
    /// sent.
    pub fn take_scheduled_query(&mut self, now: Micros) -> bool {
        let is_scheduled = self.next_query().is_some_and(|at| at <= now);
        if is_scheduled {
            self.queries_sent += 1;
        }
        is_scheduled
    }

    /// When the next query or the deadline is due, if no query is sent before `queries_from`.
    pub fn next_wake(&self, queries_from: Micros) -> Micros {
        self.next_query()
            .map_or(Micros::MAX, |at| at.max(queries_from))
            .min(self.deadline())
    }

    /// Moves all times forward by a span for which this process was paused.
    pub fn postpone(&mut self, by: Micros) {
        self.began += by;
    }
}

#[cfg(test)]
mod tests;
