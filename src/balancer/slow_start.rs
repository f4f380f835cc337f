//! Slow start: a server that has just started is sent no more than it can do.
//!
//! A server that is warming up has a fraction of its capacity, which grows evenly to its full one over
//! the slow-start time, and is overloaded by more than a multiple of its present capacity. Reads the
//! time since its start in microseconds, its weight, and the rate of answers per unit of weight that
//! this node sees from all servers. From these follows a rate of attempts that this node may send it,
//! which fills its [`AttemptBudget`]; an attempt needs a budget of 1.
//!
//! As the nodes do not talk to each other, their first attempts at a server are spread evenly: each node
//! starts with a fraction of an attempt that follows from its own index and the server's start.
//! The slots of a warming server bring it too few requests. An attempt that has been available for long is
//! *overdue*, and the next request whose latency objective the server can meet goes there.

use fastrand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::server::{Server, ServerIndex, ServerSet};
use super::tick::TickInterval;
use crate::api::*;

/// A warming server may be sent this fraction of what overloads it: it has no key cached yet.
const SAFE_LOAD: f64 = 0.45;
/// An attempt expires after this fraction of the window over which overload is counted, but not sooner
/// than a few ticks.
const EXPIRY_WINDOW_FRACTION: f64 = 0.5;
const MIN_EXPIRY_TICKS: f64 = 3.0;
/// An attempt is overdue after its time to expiry divided by this.
const EXPIRY_TO_OVERDUE: f64 = 3.0;
/// A node counts its traffic for this long before it sends warming servers anything.
const LEARNING_PERIOD: Micros = 1_000_000;
/// The rate of answers is taken to lie between these multiples of the rate of requests: where most
/// servers are warming up, the few warm ones answer all of it or none at all.
const MIN_ANSWERS_PER_REQUEST: f64 = 0.5;
const MAX_ANSWERS_PER_REQUEST: f64 = 1.25;
/// Seed of the nodes' order at a warming server, alike at all nodes.
const PHASE_SEED: u64 = 0x7068_6173;

/// The fraction of its full capacity that a server has, by the time since its start: 1 once it is warm.
pub(super) fn warm_up_fraction(settings: &Settings, server: &Server, now: Micros) -> f64 {
    let slow_start_time = settings.slow_start_time;
    let started_at = server.started_at();
    let age = now.saturating_sub(started_at);
    if started_at == 0 || age >= slow_start_time {
        return 1.0;
    }
    let initial = settings.cold_capacity.clamp(0.0, 1.0);
    initial + (1.0 - initial) * age as f64 / slow_start_time as f64
}

/// The warm-up fraction of each server, in the order of the set.
pub(super) fn warm_up_fractions(settings: &Settings, servers: &ServerSet, now: Micros) -> Vec<f64> {
    servers
        .iter()
        .map(|server| warm_up_fraction(settings, server, now))
        .collect()
}

/// The fraction of its capacity that a server of this warm-up fraction may be sent.
pub(super) fn usable_fraction(settings: &Settings, warm_up: f64) -> f64 {
    if warm_up < 1.0 {
        (safe_load(settings) * warm_up).min(1.0)
    } else {
        1.0
    }
}

/// The multiple of its present capacity that a warming server may be sent.
fn safe_load(settings: &Settings) -> f64 {
    SAFE_LOAD * settings.cold_overload_factor
}

/// The attempts that this node may send a warming server.
#[derive(Clone, Copy)]
pub(super) struct AttemptBudget {
    attempts: f64,
    /// When it was last below 1.
    exhausted_at: Micros,
}

impl AttemptBudget {
    pub(super) fn new(attempts: f64, now: Micros) -> Self {
        AttemptBudget {
            attempts,
            exhausted_at: now,
        }
    }

    /// An attempt was sent.
    pub(super) fn take(&mut self) {
        self.attempts -= 1.0;
    }

    fn is_exhausted(&self) -> bool {
        self.attempts < 1.0
    }

    /// Expires what has been available for too long; returns whether an attempt is overdue.
    /// `refill` is what a tick adds.
    fn expire(&mut self, refill: f64, now: Micros, expiry: Expiry) -> bool {
        let waited = (now - self.exhausted_at) as f64 / expiry.tick.micros() as f64;
        let mut overdue = false;
        if self.is_exhausted() {
            self.exhausted_at = now;
        } else {
            overdue = waited > expiry.ticks / EXPIRY_TO_OVERDUE;
        }
        if waited > expiry.ticks {
            let unexpired = (refill * expiry.ticks).max(self.attempts.fract());
            self.attempts = self.attempts.min(unexpired);
        }
        overdue
    }
}

/// After how many ticks an attempt expires.
#[derive(Clone, Copy)]
struct Expiry {
    ticks: f64,
    tick: TickInterval,
}

impl Expiry {
    fn new(settings: &Settings, tick: TickInterval) -> Self {
        let window = settings.cold_overload_window as f64;
        let ticks = EXPIRY_WINDOW_FRACTION * window / tick.micros() as f64;
        Expiry {
            ticks: ticks.max(MIN_EXPIRY_TICKS),
            tick,
        }
    }
}

/// What the budgets of the warming servers are filled by in a tick.
pub(super) struct Refill<'a> {
    pub(super) settings: &'a Settings,
    /// The warm-up fraction of each server, in the order of the set.
    pub(super) warm_up: &'a [f64],
    pub(super) now: Micros,
    pub(super) tick: TickInterval,
    /// Requests and answers of the traffic window, per unit of weight.
    pub(super) requests_per_weight: f64,
    pub(super) answers_per_weight: f64,
    /// The traffic window, in seconds.
    pub(super) window: f64,
}

impl Refill<'_> {
    /// Attempts a second per unit of weight that a warm server would be sent, times the safe load.
    fn rate(&self, window: f64) -> f64 {
        let requests = self.requests_per_weight;
        let answers = self.answers_per_weight.clamp(
            requests * MIN_ANSWERS_PER_REQUEST,
            requests * MAX_ANSWERS_PER_REQUEST,
        );
        safe_load(self.settings) * (answers / window)
    }
}

/// The slow start of all servers.
pub(super) struct SlowStart {
    /// This node's place among all, from 0 to 1: the same after a restart.
    node_phase: f64,
    /// When the learning period ends; `None` once it is over.
    learning_until: Option<Micros>,
    /// Warming servers with an overdue attempt.
    overdue: Vec<ServerIndex>,
}

impl SlowStart {
    pub(super) fn new(settings: &Settings, rng: &mut Rng) -> Self {
        let node_phase = match settings.node_index {
            Some(index) => f64::from(index) / f64::from(settings.node_count),
            None => rng.f64(),
        };
        SlowStart {
            node_phase,
            learning_until: Some(Micros::MAX),
            overdue: Vec::new(),
        }
    }

    /// A request arrived: the first one starts the learning period.
    pub(super) fn record_request(&mut self, now: Micros) {
        self.learning_until = self
            .learning_until
            .map(|until| until.min(now + LEARNING_PERIOD));
    }

    /// The fraction of an attempt that this node has at a server's start: evenly spread over the nodes.
    pub(super) fn initial_attempts(&self, endpoint: &Endpoint) -> f64 {
        let start = u64::from(endpoint.server.0) ^ endpoint.started_at.rotate_left(32);
        let hash = xxh3_64_with_seed(&start.to_le_bytes(), PHASE_SEED);
        (self.node_phase + hash as f64 / u64::MAX as f64).fract()
    }

    /// Whether a server is warming up and may be sent nothing now.
    pub(super) fn is_exhausted(&self, settings: &Settings, server: &Server, now: Micros) -> bool {
        let exhausted = server.attempt_budget.is_exhausted() || self.learning_until.is_some();
        exhausted && warm_up_fraction(settings, server, now) < 1.0
    }

    /// The warming servers with an overdue attempt, as of the latest tick.
    pub(super) fn overdue(&self) -> &[ServerIndex] {
        &self.overdue
    }

    /// The indices of the servers changed.
    pub(super) fn clear_overdue(&mut self) {
        self.overdue.clear();
    }

    /// A tick has passed: fills the budgets and finds the overdue attempts.
    pub(super) fn refill(&mut self, servers: &mut ServerSet, refill: &Refill) {
        let now = refill.now;
        let learnt = self.learning_until.take_if(|until| now >= *until).is_some();
        // The counts hold the traffic of the learning period.
        let rate = refill.rate(if learnt {
            LEARNING_PERIOD as f64 / 1e6
        } else {
            refill.window
        });
        let expiry = Expiry::new(refill.settings, refill.tick);
        self.overdue.clear();
        for ((index, server), &warm_up) in servers.iter_mut_with_index().zip(refill.warm_up) {
            if !server.in_service {
                continue;
            }
            let weight = server.endpoint.weight;
            let warm_refill = rate * weight * refill.tick.micros() as f64 / 1e6;
            let refill_per_tick = warm_refill * warm_up;
            server.attempt_budget.attempts = if learnt {
                self.attempts_since_start(server, refill, warm_refill, warm_up)
            } else {
                server.attempt_budget.attempts + refill_per_tick
            };
            let overdue = server.attempt_budget.expire(refill_per_tick, now, expiry);
            if overdue && warm_up < 1.0 {
                self.overdue.push(index);
            }
        }
    }

    /// The budget of a server after the learning period: a node that starts takes as used what would have
    /// been added since the server's start.
    fn attempts_since_start(
        &self,
        server: &Server,
        refill: &Refill,
        warm_refill: f64,
        warm_up: f64,
    ) -> f64 {
        let age = refill.now.saturating_sub(server.started_at()) / refill.tick.micros();
        let past = warm_refill * age as f64 * (refill.settings.cold_capacity + warm_up) / 2.0;
        (self.initial_attempts(&server.endpoint) + past).fract()
    }
}
