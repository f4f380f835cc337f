//! The node's counters since its start, each incremented where the event happens.
//!
//! They are exported in two forms: a log line every [`LOG_INTERVAL`], and the Prometheus text format.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use load_balancer::Outcome;

mod close_reason;
mod export;
mod memory;
mod refusal;

pub use close_reason::CloseReason;
pub use memory::{peak_resident_bytes, resident_bytes};
pub use refusal::Refusal;

/// Interval between two log lines with the counters' increments.
pub const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Names of the attempt outcomes in the log, in the order of [`outcome_index`].
const OUTCOME_NAMES: [&str; 9] = [
    "ok",
    "error",
    "full",
    "timeout",
    "unconnected",
    "reset",
    "cancelled",
    "moot",
    "withheld",
];

/// A monotonic counter since the start of the process.
#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds 1.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    fn get(&self) -> u64 {
        self.0.get()
    }
}

/// How a client's request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestOutcome {
    /// A server's response was sent to the client.
    Served,
    /// Rejected by the node; the client may retry.
    Rejected,
    /// All attempts failed, the response broke off, or the request was not answered by its deadline.
    Failed,
}

/// Ended requests of one class, by outcome.
#[derive(Default)]
struct ClassCounters {
    class: String,
    served: Counter,
    rejected: Counter,
    failed: Counter,
}

impl ClassCounters {
    fn of(&self, outcome: RequestOutcome) -> &Counter {
        match outcome {
            RequestOutcome::Served => &self.served,
            RequestOutcome::Rejected => &self.rejected,
            RequestOutcome::Failed => &self.failed,
        }
    }
}

/// All counters of the node.
#[derive(Default)]
pub struct Metrics {
    /// Client connections that were accepted and served.
    pub connections_accepted: Counter,
    /// Client connections rejected because all descriptors were in use.
    pub connections_rejected: Counter,
    /// Requests passed to the balancer.
    pub requests_received: Counter,
    /// Requests that the node answered itself because the balancer had not answered them by their deadline.
    pub deadlines_exceeded: Counter,
    /// Requests whose client disconnected before the response was complete.
    pub clients_disconnected: Counter,
    /// Requests answered with a 4xx status, which never reached the balancer.
    pub requests_malformed: Counter,
    /// Client connections closed because no complete first request head arrived in time.
    pub head_timeouts: Counter,
    /// Client connections closed because the client stopped reading its response. Their requests count as
    /// disconnected too.
    pub clients_stalled: Counter,
    /// Connection attempts to servers, successful or not.
    pub connections_opened: Counter,
    /// Connections to servers closed because the server stopped reading a request. Their attempts count as timed out.
    pub servers_stalled: Counter,
    /// Attempts whose request was written to a server completely. Health checks don't count.
    pub requests_forwarded: Counter,
    /// Configuration reloads that took effect.
    pub reloads_applied: Counter,
    /// Configuration reloads that were rejected.
    pub reloads_rejected: Counter,
    /// Ended requests, by class index. Classes with the same name share one entry.
    classes: RefCell<Vec<Rc<ClassCounters>>>,
    /// Requests that the node refused itself, by reason.
    refusals: [Counter; Refusal::ALL.len()],
    /// Ended client connections, by reason.
    closed_connections: [Counter; CloseReason::ALL.len()],
    /// Ended attempts, indexed by [`outcome_index`].
    attempts: [Counter; OUTCOME_NAMES.len()],
    /// The counters' values at the last log line.
    last_logged: RefCell<Vec<u64>>,
    /// The values of `closed_connections` at the last line about connections.
    last_logged_closed: RefCell<[u64; CloseReason::ALL.len()]>,
}

/// Values that are read from their owners when the metrics are exported.
#[derive(Clone, Copy)]
pub struct Gauges {
    /// Requests that were received and have not ended.
    pub outstanding_requests: usize,
    /// Servers on the endpoint list.
    pub listed_servers: usize,
    /// Order-independent hash of the listed servers, below 2^52.
    pub endpoint_digest: u64,
    /// Listed servers that the balancer sends no requests: draining, cordoned, ejected or in a lost zone.
    pub avoided_servers: usize,
    /// Resident memory of the process, in bytes; 0 if it can't be read.
    pub resident_bytes: u64,
    /// Memory that is reserved for bodies, in bytes.
    pub body_bytes: u64,
}

impl Metrics {
    /// Creates the counters, all zero, with an entry for each of `classes`.
    pub fn new(classes: &[String]) -> Rc<Self> {
        let metrics = Rc::new(Metrics::default());
        metrics.register_classes(classes);
        metrics
    }

    /// Adds the classes whose index exceeds those already registered; the others keep their counters.
    pub fn register_classes(&self, classes: &[String]) {
        let mut registered = self.classes.borrow_mut();
        for class in classes.iter().skip(registered.len()) {
            let same_name = registered
                .iter()
                .find(|counters| counters.class == *class)
                .cloned();
            let counters = same_name.unwrap_or_else(|| {
                Rc::new(ClassCounters {
                    class: class.clone(),
                    ..ClassCounters::default()
                })
            });
            registered.push(counters);
        }
    }

    /// The counters of each class name, once.
    fn distinct_classes(&self) -> Vec<Rc<ClassCounters>> {
        let mut distinct: Vec<Rc<ClassCounters>> = Vec::new();
        for counters in self.classes.borrow().iter() {
            if !distinct.iter().any(|known| Rc::ptr_eq(known, counters)) {
                distinct.push(counters.clone());
            }
        }
        distinct
    }

    /// Counts the end of a request of the class at this index.
    pub fn request_ended(&self, class: usize, outcome: RequestOutcome) {
        if let Some(counters) = self.classes.borrow().get(class) {
            counters.of(outcome).increment();
        }
    }

    /// Counts a request that the node refused itself. Its class, if it is known, counts it too.
    pub fn refused(&self, class: Option<usize>, reason: Refusal) {
        self.refusals[reason.index()].increment();
        if let Some(class) = class {
            self.request_ended(class, RequestOutcome::Rejected);
        }
    }

    /// Counts the end of a client's connection.
    pub fn connection_closed(&self, reason: CloseReason) {
        self.closed_connections[reason.index()].increment();
    }

    /// Counts the end of an attempt.
    pub fn attempt_ended(&self, outcome: Outcome) {
        self.attempts[outcome_index(outcome)].increment();
    }
}

/// The name of an outcome in the log.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    OUTCOME_NAMES[outcome_index(outcome)]
}

fn outcome_index(outcome: Outcome) -> usize {
    match outcome {
        Outcome::Ok => 0,
        Outcome::Error => 1,
        Outcome::Overloaded => 2,
        Outcome::Timeout => 3,
        Outcome::ConnectFailed => 4,
        Outcome::Reset => 5,
        Outcome::Cancelled => 6,
        Outcome::NotSent => 7,
        Outcome::Withheld => 8,
    }
}

#[cfg(test)]
mod tests;
