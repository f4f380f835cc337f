//! The event loop's timers.

use std::time::Duration;

use load_balancer::TimerId;
use tokio::time::Instant;
use tokio_util::time::{delay_queue, DelayQueue};

use super::messages::RequestNumber;

/// The key of a pending timer, to cancel it.
pub type TimerKey = delay_queue::Key;

/// The purpose of a timer.
pub enum Timer {
    /// A timer that the balancer has set.
    Balancer(TimerId),
    /// The node answers this request if the balancer has not done so by its deadline.
    DeadlineBackstop(RequestNumber),
    /// Idle connections that have expired are closed.
    CloseIdleConnections,
    /// The watch is reopened.
    ReopenWatch,
    /// The metrics are logged.
    LogMetrics,
    /// The file of cordoned servers is reread.
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
    /// If the timer has expired. Whoever keeps a key drops it when the timer expires.
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
