//! Owns one client's behaviour: how long a try may take, whether and when it tries again.

use super::demand::Ask;
use super::Micros;
use crate::scenario::Repeats;

/// How a try ended, as a client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// 200.
    Served,
    /// 429 or 503, with the advice to stay away for so long.
    Refused(Option<Micros>),
    /// Any other answer, one that is not whole, or a connection closed without one.
    Failed,
    /// No node took the request.
    Unreachable,
    /// Nothing in time.
    Nothing,
}

/// A try that a client makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Try {
    /// Its number, from 0.
    pub number: u32,
    /// When it is made.
    pub at: Micros,
    /// When the client gives it up.
    pub until: Micros,
    /// When it says that it will: a client that leaves early does not know so.
    pub says: Micros,
}

/// One client with one request.
#[derive(Clone, Debug)]
pub struct Client {
    ask: Ask,
    tried: u32,
}

impl Client {
    /// A client that has yet to make its first try.
    pub fn new(ask: Ask) -> Client {
        Client { ask, tried: 0 }
    }

    /// What it asks.
    pub fn ask(&self) -> &Ask {
        &self.ask
    }

    /// The try that begins now; `None` when the client's whole time is over.
    pub fn try_at(&mut self, now: Micros) -> Option<Try> {
        let ends = self.ask.at + self.ask.deadline;
        if now >= ends {
            return None;
        }
        let number = self.tried;
        self.tried += 1;
        let says = (now + (self.ask.deadline as f64 * self.ask.try_share) as Micros).min(ends);
        let leaves = self.ask.leaves.map_or(says, |after| now + after);
        Some(Try {
            number,
            at: now,
            until: says.min(leaves),
            says,
        })
    }

    /// When it tries again after this answer, if it does. What must not run twice is tried again only
    /// where nothing can have run (WIRE, "When do clients try again?").
    pub fn after(&self, now: Micros, answer: Answer) -> Option<Micros> {
        if answer == Answer::Served || self.ask.leaves.is_some() || self.tried > self.ask.retries {
            return None;
        }
        let harmless = matches!(answer, Answer::Refused(_) | Answer::Unreachable);
        if self.ask.repeats == Repeats::Unsafe && !harmless {
            return None;
        }
        let wait = self.ask.backoff << (self.tried - 1).min(10);
        let advised = match answer {
            Answer::Refused(Some(advice)) if self.ask.honours => advice.min(self.ask.honours_most),
            _ => 0,
        };
        let at = now + wait.max(advised);
        (at < self.ask.at + self.ask.deadline).then_some(at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ask(repeats: Repeats) -> Ask {
        Ask {
            serial: 1,
            at: 1_000_000,
            zone: 0,
            class: 0,
            key: 7,
            work: 1,
            io: 0,
            hint: 1,
            deadline: 2_000_000,
            try_share: 0.5,
            retries: 2,
            backoff: 100_000,
            honours: true,
            honours_most: 300_000,
            leaves: None,
            repeats,
            body: 0,
            answer: 0,
        }
    }

    #[test]
    fn tries_end_with_the_deadline_and_wait_longer_each_time() {
        let mut client = Client::new(ask(Repeats::Safe));
        let first = client.try_at(1_000_000).unwrap();
        assert_eq!((first.number, first.until), (0, 2_000_000));
        assert_eq!(client.after(2_000_000, Answer::Nothing), Some(2_100_000));
        assert_eq!(client.try_at(2_100_000).unwrap().until, 3_000_000);
        assert_eq!(client.after(2_200_000, Answer::Failed), Some(2_400_000));
        assert!(client.try_at(2_400_000).is_some());
        assert_eq!(
            client.after(2_500_000, Answer::Failed),
            None,
            "two retries and no more"
        );
        assert_eq!(client.try_at(3_000_000), None, "its time is over");
    }

    #[test]
    fn a_client_that_leaves_early_says_nothing_of_it_and_does_not_come_back() {
        let mut client = Client::new(Ask {
            leaves: Some(50_000),
            ..ask(Repeats::Safe)
        });
        let only = client.try_at(1_000_000).unwrap();
        assert_eq!((only.until, only.says), (1_050_000, 2_000_000));
        assert_eq!(client.after(1_050_000, Answer::Nothing), None);
    }

    #[test]
    fn what_must_not_run_twice_is_tried_again_only_where_nothing_ran() {
        let mut client = Client::new(ask(Repeats::Unsafe));
        client.try_at(1_000_000);
        assert_eq!(client.after(1_100_000, Answer::Failed), None);
        assert_eq!(client.after(1_100_000, Answer::Nothing), None);
        assert_eq!(
            client.after(1_100_000, Answer::Unreachable),
            Some(1_200_000)
        );
        assert_eq!(
            client.after(1_100_000, Answer::Refused(Some(250_000))),
            Some(1_350_000)
        );
        assert_eq!(
            client.after(1_100_000, Answer::Refused(Some(900_000))),
            Some(1_400_000)
        );
    }
}
