//! Owns how long a suspect has to refute: long on one accuser's word, less with each independent other
//! (Lifeguard, "dynamic suspicion"). Whether it is a suspect is SWIM's to say.

use std::collections::BTreeSet;

use super::Name;
use crate::Micros;

/// When a suspect is asked, as parts of the least span: after gossip had its chance, before the judgement.
const ASKS: [f64; 3] = [0.4, 0.6, 0.8];

/// One suspicion, from when this agent heard of it.
#[derive(Clone, Debug)]
pub struct Suspicion {
    began: Micros,
    least: Micros,
    longest: Micros,
    confirmations: usize,
    accusers: BTreeSet<Name>,
    asked: usize,
}

impl Suspicion {
    /// A suspicion that begins now. `confirmations` is the number of independent accusers beside the first
    /// after which `least` holds; where the fleet has none to offer, it holds from the start.
    pub fn new(
        now: Micros,
        (least, longest): (Micros, Micros),
        confirmations: usize,
        accusers: impl Iterator<Item = Name>,
    ) -> Suspicion {
        let mut suspicion = Suspicion {
            began: now,
            least,
            longest,
            confirmations,
            accusers: BTreeSet::new(),
            asked: 0,
        };
        for by in accusers {
            suspicion.accuse(by);
        }
        suspicion
    }

    /// Another member's own probe failed too. Whether that was news.
    pub fn accuse(&mut self, by: Name) -> bool {
        self.accusers.len() <= self.confirmations && self.accusers.insert(by)
    }

    /// Whether anybody but `me` accuses it.
    pub fn shared(&self, me: &Name) -> bool {
        self.accusers.iter().any(|by| by != me)
    }

    /// When it is up.
    pub fn deadline(&self) -> Micros {
        if self.confirmations == 0 {
            return self.began + self.least;
        }
        let others = self.accusers.len().saturating_sub(1) as f64;
        let part = (others + 1.0).ln() / (self.confirmations as f64 + 1.0).ln();
        let cut = (self.longest - self.least) as f64 * part.min(1.0);
        self.began + (self.longest - cut as Micros).max(self.least)
    }

    fn ask_at(&self) -> Option<Micros> {
        let part = ASKS.get(self.asked)?;
        Some(self.began + (self.least as f64 * part) as Micros)
    }

    /// Whether this agent itself is to ask the suspect now, before it judges: gossip may have lost its refutation.
    /// Each time is told once.
    pub fn ask(&mut self, now: Micros) -> bool {
        let due = self.ask_at().is_some_and(|at| at <= now);
        self.asked += usize::from(due);
        due
    }

    /// When there is something to do about it, where it may be asked from a time on.
    pub fn next(&self, asks_from: Micros) -> Micros {
        self.ask_at()
            .map_or(Micros::MAX, |at| at.max(asks_from))
            .min(self.deadline())
    }

    /// Time that did not count: the process was paused.
    pub fn shift(&mut self, by: Micros) {
        self.began += by;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_other_accuser_shortens_it_down_to_the_least() {
        let name = |n: u32| format!("n{n}").parse::<Name>().unwrap();
        let mut suspicion = Suspicion::new(100, (1_000, 6_000), 3, std::iter::empty());
        let mut last = suspicion.deadline();
        assert_eq!(last, 6_100);
        assert!(suspicion.accuse(name(1)));
        assert!(!suspicion.accuse(name(1)), "the same one twice is one");
        assert_eq!(
            suspicion.deadline(),
            last,
            "the first accuser has the whole span"
        );
        for by in 2..=4 {
            assert!(suspicion.accuse(name(by)));
            assert!(suspicion.deadline() < last);
            last = suspicion.deadline();
        }
        assert_eq!(last, 1_100);
        assert!(!suspicion.accuse(name(5)), "bounded");
        assert_eq!(
            Suspicion::new(0, (1_000, 6_000), 0, std::iter::empty()).deadline(),
            1_000
        );
    }
}
