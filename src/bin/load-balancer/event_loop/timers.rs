//! The event loop's timers.

use std::time::Duration;

use load_balancer::TimerId;
use tokio::time::Instant;
use tokio_util::time::{delay_queue, DelayQueue};

use super::messages::RequestNumber;

/// Names a pending timer, to cancel it.
pub type TimerKey = delay_queue::Key;

/// What a timer is for.
pub enum Timer {
    /// The balancer set it.
    Balancer(TimerId),
    /// The balancer has not answered this request by its deadline: the node answers in its place.
    DeadlineBackstop(RequestNumber),
    /// Expired idle connections are to be closed.
    CloseIdleConnections,
    /// The watch is to be reopened.
    ReopenWatch,
    /// The metrics are to be logged.
    LogMetrics,
    /// The file of cordoned servers is to be reread.
    RereadCordons,
}

/// All pending timers.
#[derive(Default)]
pub struct Timers {
    queue: DelayQueue<Timer>,
}

impl Timers {
    /// Sets a timer that expires after `delay`.
    pub fn set_after(&mut self, delay: Duration, timer: Timer) -> TimerKey {
        self.queue.insert(timer, delay)
    }

    /// Sets a timer that expires at `time`.
    pub fn set_at(&mut self, time: Instant, timer: Timer) -> TimerKey {
        self.queue.insert_at(timer, time)
    }

    /// Cancels a timer that has not expired.
    ///
    /// # Panics
    ///
    /// If it has expired: whoever keeps a key drops it when the timer expires.
    pub fn cancel(&mut self, key: &TimerKey) {
        self.queue.remove(key);
    }

    /// The next timer to expire; `None` if none is pending.
    pub async fn next_expired(&mut self) -> Option<Timer> {
        std::future::poll_fn(|context| self.queue.poll_expired(context))
            .await
            .map(delay_queue::Expired::into_inner)
    }
}
