//! What the node has done since its last report, for the log.

use std::cell::Cell;
use std::fmt::Write;
use std::time::Duration;

use woodgap::Outcome;

/// How often the counts go to the log.
pub const REPORT: Duration = Duration::from_secs(10);

/// The outcomes, as `Counts::closed` numbers them.
const OUTCOMES: [&str; 8] = ["ok", "error", "full", "timeout", "unconnected", "reset", "cancelled", "moot"];

/// A count that starts anew with each report.
#[derive(Default)]
pub struct Count(Cell<u64>);

impl Count {
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }

    fn take(&self) -> u64 {
        self.0.take()
    }
}

#[derive(Default)]
pub struct Counts {
    /// Clients' connections taken, and those told that there is no room.
    pub accepted: Count,
    pub no_room: Count,
    /// Requests handed to the module and what became of them.
    pub taken: Count,
    pub served: Count,
    pub refused: Count,
    pub failed: Count,
    pub late: Count,
    pub gone: Count,
    /// Answers in the 400s: requests that never reached the module.
    pub malformed: Count,
    /// Connections closed for want of a whole first request.
    pub silent: Count,
    /// Connections to servers that were tried.
    pub dialled: Count,
    /// Attempts by outcome.
    attempts: [Count; OUTCOMES.len()],
}

impl Counts {
    pub fn closed(&self, outcome: Outcome) {
        let place = match outcome {
            Outcome::Ok => 0,
            Outcome::Error => 1,
            Outcome::Full => 2,
            Outcome::Timeout => 3,
            Outcome::ConnectFailed => 4,
            Outcome::Reset => 5,
            Outcome::Cancelled => 6,
            Outcome::Moot => 7,
        };
        self.attempts[place].add();
    }

    /// What came since the last report.
    pub fn report(&self) -> String {
        let counts = [
            ("connected", &self.accepted),
            ("no-room", &self.no_room),
            ("malformed", &self.malformed),
            ("silent", &self.silent),
            ("taken", &self.taken),
            ("served", &self.served),
            ("refused", &self.refused),
            ("failed", &self.failed),
            ("late", &self.late),
            ("gone", &self.gone),
            ("dialled", &self.dialled),
        ];
        let mut text = String::new();
        for (name, count) in counts {
            let _ = write!(text, "{name} {} ", count.take());
        }
        text.push_str("attempts:");
        for (name, count) in OUTCOMES.iter().zip(&self.attempts) {
            let _ = write!(text, " {name} {}", count.take());
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_report_tells_what_came_since_the_last_one() {
        let counts = Counts::default();
        counts.closed(Outcome::Reset);
        counts.closed(Outcome::Reset);
        counts.taken.add();
        let report = counts.report();
        assert!(report.contains("taken 1") && report.contains("reset 2"), "{report}");
        let next = counts.report();
        assert!(next.contains("taken 0") && next.contains("reset 0"), "{next}");
    }
}
