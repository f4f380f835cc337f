//! Timeouts and limits of the supervisor.

use std::time::Duration;

/// Timeouts and limits by which a node's process is started, checked and ended.
#[derive(Clone, Debug, PartialEq)]
pub struct SupervisorSettings {
    /// Delay before the first restart; each further restart doubles it.
    pub initial_backoff: Duration,
    /// Upper bound of the restart delay. A process that served for at least this long resets the backoff.
    pub max_backoff: Duration,
    /// Upper bound on starts within any minute.
    pub max_starts_per_minute: u32,
    /// A new process that has not become ready within this time is terminated.
    pub ready_timeout: Duration,
    /// A draining process is killed after this time. It should exceed the longest deadline of a request.
    pub drain_timeout: Duration,
    /// Interval between status queries.
    pub status_interval: Duration,
    /// A process that has answered no status query for this long is terminated.
    pub unresponsive_timeout: Duration,
}

impl Default for SupervisorSettings {
    fn default() -> Self {
        SupervisorSettings {
            initial_backoff: Duration::from_millis(200),
            max_backoff: Duration::from_secs(10),
            max_starts_per_minute: 12,
            ready_timeout: Duration::from_secs(10),
            drain_timeout: Duration::from_secs(30),
            status_interval: Duration::from_millis(250),
            unresponsive_timeout: Duration::from_secs(10),
        }
    }
}
