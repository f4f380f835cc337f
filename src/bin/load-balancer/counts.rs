//! What the node has done since its start: counted once, where it happens, for the log and the figures.

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

use load_balancer::Outcome;

/// How often the counts go to the log.
pub const REPORT: Duration = Duration::from_secs(10);

/// The outcomes, as `Counts::closed` numbers them.
const OUTCOMES: [&str; 8] = [
    "ok",
    "error",
    "full",
    "timeout",
    "unconnected",
    "reset",
    "cancelled",
    "moot",
];

/// A count since the start of the process.
#[derive(Default)]
pub struct Count(Cell<u64>);

impl Count {
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }

    fn get(&self) -> u64 {
        self.0.get()
    }
}

/// How the requests of a class ended.
#[derive(Default)]
struct Ends {
    class: String,
    served: Count,
    refused: Count,
    failed: Count,
}

impl Ends {
    fn of(&self, end: End) -> &Count {
        match end {
            End::Served => &self.served,
            End::Refused => &self.refused,
            End::Failed => &self.failed,
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Served,
    Refused,
    Failed,
}

#[derive(Default)]
pub struct Counts {
    /// Clients' connections taken, and those told that there is no room.
    pub accepted: Count,
    pub no_room: Count,
    /// Requests handed to the module, those it did not answer in time and those whose client left.
    pub taken: Count,
    pub late: Count,
    pub gone: Count,
    /// Answers in the 400s: requests that never reached the module.
    pub malformed: Count,
    /// Connections closed for want of a whole first request.
    pub silent: Count,
    /// Connections to servers that were tried, and attempts written whole to one.
    pub dialled: Count,
    pub forwards: Count,
    /// New configurations taken over and left alone.
    pub sighup_applied: Count,
    pub sighup_rejected: Count,
    /// Ends of requests by class: one count for each name, whatever places it has had.
    ends: RefCell<Vec<Rc<Ends>>>,
    /// Attempts by outcome.
    attempts: [Count; OUTCOMES.len()],
    /// What the last report read.
    reported: RefCell<Vec<u64>>,
}

/// What is so at the moment.
#[derive(Clone, Copy)]
pub struct Gauges {
    /// Requests taken and not ended.
    pub outstanding: usize,
    /// Servers on the list.
    pub discovered: usize,
    /// Their ids in one number.
    pub digest: u64,
    /// Those of them that the node avoids.
    pub ejected: usize,
}

impl Counts {
    pub fn new(classes: &[String]) -> Rc<Self> {
        let counts = Rc::new(Counts::default());
        counts.name(classes);
        counts
    }

    /// There are these classes: those that were keep their places and counts.
    pub fn name(&self, classes: &[String]) {
        let mut ends = self.ends.borrow_mut();
        for class in classes.iter().skip(ends.len()) {
            let known = ends.iter().find(|ends| ends.class == *class).cloned();
            let new = || {
                Rc::new(Ends {
                    class: class.clone(),
                    ..Ends::default()
                })
            };
            ends.push(known.unwrap_or_else(new));
        }
    }

    /// The counts of all names, each once.
    fn ends(&self) -> Vec<Rc<Ends>> {
        let mut all: Vec<Rc<Ends>> = Vec::new();
        for ends in self.ends.borrow().iter() {
            if !all.iter().any(|known| Rc::ptr_eq(known, ends)) {
                all.push(ends.clone());
            }
        }
        all
    }

    /// A request of a class has ended.
    pub fn ended(&self, class: usize, end: End) {
        if let Some(ends) = self.ends.borrow().get(class) {
            ends.of(end).add();
        }
    }

    pub fn closed(&self, outcome: Outcome) {
        let place = match outcome {
            Outcome::Ok => 0,
            Outcome::Error => 1,
            Outcome::Overloaded => 2,
            Outcome::Timeout => 3,
            Outcome::ConnectFailed => 4,
            Outcome::Reset => 5,
            Outcome::Cancelled => 6,
            Outcome::NotSent => 7,
        };
        self.attempts[place].add();
    }

    /// What came since the last report.
    pub fn report(&self) -> String {
        let ends = self.ends();
        let all = |end| ends.iter().map(|ends| ends.of(end).get()).sum();
        let mut now = vec![
            ("connected", self.accepted.get()),
            ("no-room", self.no_room.get()),
            ("malformed", self.malformed.get()),
            ("silent", self.silent.get()),
            ("taken", self.taken.get()),
            ("served", all(End::Served)),
            ("refused", all(End::Refused)),
            ("failed", all(End::Failed)),
            ("late", self.late.get()),
            ("gone", self.gone.get()),
            ("dialled", self.dialled.get()),
            ("forwards", self.forwards.get()),
        ];
        let own = now.len();
        now.extend(
            OUTCOMES
                .iter()
                .zip(&self.attempts)
                .map(|(name, count)| (*name, count.get())),
        );
        let values = now.iter().map(|(_, value)| *value).collect();
        let before = self.reported.replace(values);
        let mut text = String::new();
        for (n, (name, value)) in now.iter().enumerate() {
            let start = if n == own { "attempts: " } else { "" };
            let _ = write!(
                text,
                "{start}{name} {} ",
                value - before.get(n).unwrap_or(&0)
            );
        }
        text.truncate(text.trim_end().len());
        text
    }

    /// All figures in Prometheus' text format.
    pub fn metrics(&self, gauges: Gauges) -> String {
        let mut text = String::with_capacity(2048);
        for (name, help, end) in [
            ("succeeded_total", "Requests served.", End::Served),
            ("declined_total", "Requests refused.", End::Refused),
            ("aborted_total", "Requests failed.", End::Failed),
        ] {
            head(&mut text, name, help, "counter");
            for ends in &self.ends() {
                let (class, count) = (escaped(&ends.class), ends.of(end).get());
                let _ = writeln!(text, "svc_{name}{{service=\"{class}\"}} {count}");
            }
        }
        for (name, help, count) in [
            (
                "forwards_total",
                "Attempts written whole to servers.",
                &self.forwards,
            ),
            (
                "sighup_applied_total",
                "New configurations taken over.",
                &self.sighup_applied,
            ),
            (
                "sighup_rejected_total",
                "New configurations left alone.",
                &self.sighup_rejected,
            ),
        ] {
            head(&mut text, name, help, "counter");
            let _ = writeln!(text, "svc_{name} {}", count.get());
        }
        for (name, help, value) in [
            (
                "outstanding",
                "Requests taken and not ended.",
                gauges.outstanding as u64,
            ),
            (
                "discovered",
                "Servers on the list.",
                gauges.discovered as u64,
            ),
            (
                "discovered_digest",
                "The list's ids in one number: alike where lists are.",
                gauges.digest,
            ),
            (
                "ejected",
                "Listed servers that the node avoids, by hand or by choice.",
                gauges.ejected as u64,
            ),
        ] {
            head(&mut text, name, help, "gauge");
            let _ = writeln!(text, "svc_{name} {value}");
        }
        text
    }
}

fn head(text: &mut String, name: &str, help: &str, kind: &str) {
    let _ = writeln!(text, "# HELP svc_{name} {help}\n# TYPE svc_{name} {kind}");
}

/// A label's value as the format wants it.
fn escaped(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}

#[cfg(test)]
mod tests;
