//! The behaviour of one client: the time-out of a try, and whether and when it retries.

use super::demand::ClientRequest;
use super::Micros;
use crate::scenario::RetrySafety;

/// How a try ended, as the client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// Response with status 200.
    Served,
    /// Response with status 429 or 503, with the value of `Retry-After` if it has one.
    Refused(Option<Micros>),
    /// Any other response, an incomplete one, or a connection closed without a response.
    Failed,
    /// No node accepted the request.
    Unreachable,
    /// No response before the try ended.
    TimedOut,
}

/// One try of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Try {
    /// Number of the try, from 0.
    pub number: u32,
    /// When the try begins.
    pub at: Micros,
    /// When the client abandons the try.
    pub ends_at: Micros,
    /// The end of the try that the client announces to the node. A client that abandons the request early announces
    /// the later, regular time-out.
    pub announced_end: Micros,
}

/// A client with its one request.
#[derive(Clone, Debug)]
pub struct Client {
    request: ClientRequest,
    tries: u32,
}

impl Client {
    /// A client that has not made its first try.
    pub fn new(request: ClientRequest) -> Client {
        Client { request, tries: 0 }
    }

    /// The request of this client.
    pub fn request(&self) -> &ClientRequest {
        &self.request
    }

    /// Begins a try at `now`. `None` when the deadline of the request has passed.
    pub fn begin_try(&mut self, now: Micros) -> Option<Try> {
        let deadline = self.request.first_try_at + self.request.deadline;
        if now >= deadline {
            return None;
        }
        let number = self.tries;
        self.tries += 1;
        let announced_end =
            (now + (self.request.deadline as f64 * self.request.try_share) as Micros).min(deadline);
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

    /// When the client retries after this outcome; `None` if it does not. A request that must not be executed twice
    /// is retried only where it cannot have been executed (WIRE, "When do clients try again?").
    pub fn retry_at(&self, now: Micros, outcome: TryOutcome) -> Option<Micros> {
        if outcome == TryOutcome::Served
            || self.request.abandons_after.is_some()
            || self.tries > self.request.retries
        {
            return None;
        }
        let not_executed = matches!(outcome, TryOutcome::Refused(_) | TryOutcome::Unreachable);
        if self.request.retry_safety == RetrySafety::Unsafe && !not_executed {
            return None;
        }
        let backoff = self.request.backoff << (self.tries - 1).min(10);
        let retry_after = match outcome {
            TryOutcome::Refused(Some(advice)) if self.request.honors_retry_after => {
                advice.min(self.request.max_retry_after)
            }
            _ => 0,
        };
        let at = now + backoff.max(retry_after);
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
    fn tries_end_at_the_deadline_and_backoff_doubles() {
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
        assert_eq!(client.begin_try(3_000_000), None, "the deadline has passed");
    }

    #[test]
    fn a_client_that_abandons_early_announces_the_regular_time_out_and_does_not_retry() {
        let mut client = Client::new(ClientRequest {
            abandons_after: Some(50_000),
            ..request(RetrySafety::Safe)
        });
        let only = client.begin_try(1_000_000).unwrap();
        assert_eq!((only.ends_at, only.announced_end), (1_050_000, 2_000_000));
        assert_eq!(client.retry_at(1_050_000, TryOutcome::TimedOut), None);
    }

    #[test]
    fn an_unsafe_request_is_retried_only_if_it_was_not_executed() {
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
