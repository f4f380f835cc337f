//! When a node that has exited is started again: exponential backoff, and a limit on starts per minute.

use std::collections::VecDeque;

use super::SupervisorSettings;
use crate::{micros, Micros};

/// Window of [`SupervisorSettings::max_starts_per_minute`]. The starts that the metrics report are counted separately,
/// by [`NodeMetricsCollector`](crate::metrics::NodeMetricsCollector).
pub(super) const START_LIMIT_WINDOW: Micros = 60_000_000;
/// Bounds the exponent of the backoff, so that the shift cannot overflow.
const MAX_DOUBLINGS: u32 = 20;

/// The next start, as scheduled after a failure.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Restart {
    /// Time of the start.
    pub at: Micros,
    /// Whether the limit on starts was reached. The start may then be later than the backoff alone would allow.
    pub limited: bool,
}

/// Recent starts, and failures since the last reset of the backoff.
#[derive(Debug, Default)]
pub(super) struct RestartHistory {
    /// Failures since the backoff was last reset.
    consecutive_failures: u32,
    /// Times of the starts within the window as of the last failure, the oldest first.
    starts: VecDeque<Micros>,
}

impl RestartHistory {
    /// Records a start.
    pub fn record_start(&mut self, now: Micros) {
        self.starts.push_back(now);
    }

    /// Resets the backoff, after a process that served long enough.
    pub fn reset_backoff(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failure and schedules the next start.
    pub fn schedule(&mut self, now: Micros, settings: &SupervisorSettings) -> Restart {
        self.consecutive_failures += 1;
        let at = now + self.backoff(settings);

        self.starts.retain(|start| start + START_LIMIT_WINDOW > now);
        let limit = settings.max_starts_per_minute as usize;
        let excess = (self.starts.len() + 1).saturating_sub(limit);
        if excess == 0 {
            return Restart { at, limited: false };
        }
        // A start is allowed once enough of the recent ones have left the window.
        let allowed = self
            .starts
            .get(excess - 1)
            .map_or(at, |start| start + START_LIMIT_WINDOW);
        Restart {
            at: at.max(allowed),
            limited: true,
        }
    }

    /// The initial backoff after the first failure, doubled for each further one, up to the longest.
    fn backoff(&self, settings: &SupervisorSettings) -> Micros {
        let doublings = (self.consecutive_failures - 1).min(MAX_DOUBLINGS);
        let backoff = micros(settings.initial_backoff) << doublings;
        backoff.min(micros(settings.max_backoff))
    }
}
