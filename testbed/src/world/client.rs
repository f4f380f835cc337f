//! Owns one client's behaviour: how long a try may take, whether and when it tries again.

use super::demand::ClientRequest;
use super::Micros;
use crate::scenario::RetrySafety;

/// How a try ended, as a client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// 200.
    Served,
    /// 429 or 503, with the advice to stay away for so long.
    Refused(Option<Micros>),
    /// Any other answer, one that is not whole, or a connection closed without one.
    Failed,
    /// No node took the request.
    Unreachable,
    /// Nothing in time.
    TimedOut,
}

/// A try that a client makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Try {
    /// Its number, from 0.
    pub number: u32,
    /// When it is made.
    pub at: Micros,
    /// When the client gives it up.
    pub ends_at: Micros,
    /// When it says that it will: a client that leaves early does not know so.
    pub announced_end: Micros,
}

/// One client with one request.
#[derive(Clone, Debug)]
pub struct Client {
    request: ClientRequest,
    tried: u32,
}

impl Client {
    /// A client that has yet to make its first try.
    pub fn new(request: ClientRequest) -> Client {
        Client { request, tried: 0 }
    }

    /// What it asks.
    pub fn request(&self) -> &ClientRequest {
        &self.request
    }

    /// The try that begins now; `None` when the client's whole time is over.
    pub fn begin_try(&mut self, now: Micros) -> Option<Try> {
        let ends = self.request.first_try_at + self.request.deadline;
        if now >= ends {
            return None;
        }
        let number = self.tried;
        self.tried += 1;
        let announced_end =
            (now + (self.request.deadline as f64 * self.request.try_share) as Micros).min(ends);
        let abandons_at = self
            .request
            .abandons_after
            .map_or(announced_end, |after| now + after);
        Some(Try {
            number,
            at: now,
            ends_at: announced_end.min(abandons_at),
            announced_end,
        })
    }

    /// When it tries again after this answer, if it does. What must not run twice is tried again only
    /// where nothing can have run (WIRE, "When do clients try again?").
    pub fn retry_at(&self, now: Micros, answer: TryOutcome) -> Option<Micros> {
        if answer == TryOutcome::Served
            || self.request.abandons_after.is_some()
            || self.tried > self.request.retries
        {
            return None;
        }
        let harmless = matches!(answer, TryOutcome::Refused(_) | TryOutcome::Unreachable);
        if self.request.retry_safety == RetrySafety::Unsafe && !harmless {
            return None;
        }
        let wait = self.request.backoff << (self.tried - 1).min(10);
        let advised = match answer {
            TryOutcome::Refused(Some(advice)) if self.request.honors_retry_after => {
                advice.min(self.request.max_retry_after)
            }
            _ => 0,
        };
        let at = now + wait.max(advised);
        (at < self.request.first_try_at + self.request.deadline).then_some(at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn request(retry_safety: RetrySafety) -> ClientRequest {
        ClientRequest {
            serial: 1,
            first_try_at: 1_000_000,
            zone: 0,
            class: 0,
            key: 7,
            work: 1,
            io_wait: 0,
            cost_hint: 1,
            deadline: 2_000_000,
            try_share: 0.5,
            retries: 2,
            backoff: 100_000,
            honors_retry_after: true,
            max_retry_after: 300_000,
            abandons_after: None,
            retry_safety,
            body_bytes: 0,
            response_bytes: 0,
        }
    }

    #[test]
    fn tries_end_with_the_deadline_and_wait_longer_each_time() {
        let mut client = Client::new(request(RetrySafety::Safe));
        let first = client.begin_try(1_000_000).unwrap();
        assert_eq!((first.number, first.ends_at), (0, 2_000_000));
        assert_eq!(
            client.retry_at(2_000_000, TryOutcome::TimedOut),
            Some(2_100_000)
        );
        assert_eq!(client.begin_try(2_100_000).unwrap().ends_at, 3_000_000);
        assert_eq!(
            client.retry_at(2_200_000, TryOutcome::Failed),
            Some(2_400_000)
        );
        assert!(client.begin_try(2_400_000).is_some());
        assert_eq!(
            client.retry_at(2_500_000, TryOutcome::Failed),
            None,
            "two retries and no more"
        );
        assert_eq!(client.begin_try(3_000_000), None, "its time is over");
    }

    #[test]
    fn a_client_that_leaves_early_says_nothing_of_it_and_does_not_come_back() {
        let mut client = Client::new(ClientRequest {
            abandons_after: Some(50_000),
            ..request(RetrySafety::Safe)
        });
        let only = client.begin_try(1_000_000).unwrap();
        assert_eq!((only.ends_at, only.announced_end), (1_050_000, 2_000_000));
        assert_eq!(client.retry_at(1_050_000, TryOutcome::TimedOut), None);
    }

    #[test]
    fn what_must_not_run_twice_is_tried_again_only_where_nothing_ran() {
        let mut client = Client::new(request(RetrySafety::Unsafe));
        client.begin_try(1_000_000);
        assert_eq!(client.retry_at(1_100_000, TryOutcome::Failed), None);
        assert_eq!(client.retry_at(1_100_000, TryOutcome::TimedOut), None);
        assert_eq!(
            client.retry_at(1_100_000, TryOutcome::Unreachable),
            Some(1_200_000)
        );
        assert_eq!(
            client.retry_at(1_100_000, TryOutcome::Refused(Some(250_000))),
            Some(1_350_000)
        );
        assert_eq!(
            client.retry_at(1_100_000, TryOutcome::Refused(Some(900_000))),
            Some(1_400_000)
        );
    }
}
