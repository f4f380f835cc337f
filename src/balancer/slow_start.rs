//! Slow start: a server that has just started is sent no more than it can do.
//!
//! A server that is warming up has a fraction of its capacity, which grows evenly to its full one over
//! the slow-start time, and is overloaded by more than a multiple of its present capacity. Reads the
//! time since its start in microseconds, its weight, and the rate of answers per unit of weight that
//! this node sees from all servers. From these follows a rate of attempts that this node may send it,
//! which fills its [`AttemptBudget`], a token bucket; an attempt takes 1 from it.
//!
//! As the nodes do not talk to each other, their first attempts at a server are spread evenly: each node
//! starts with a fraction of an attempt that follows from its own index and the server's start.
//! The slots of a warming server bring it too few requests. An attempt that has been available in the budget
//! for long is *overdue*: the next request whose latency objective the server can meet goes there, whichever
//! slot it has.

use fastrand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::server::{Server, ServerIndex, ServerSet};
use super::tick::{TickInterval, MICROS_PER_SECOND};
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

/// The attempts that this node may send a warming server: a token bucket, whose tokens expire.
#[derive(Clone, Copy)]
pub(super) struct AttemptBudget {
    attempts: f64,
    /// When it was last seen below 1.
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

    /// For how many ticks an attempt has been available.
    fn ticks_available(&self, now: Micros, tick: TickInterval) -> f64 {
        (now - self.exhausted_at) as f64 / tick.micros() as f64
    }

    /// Whether an attempt is available and has been for long.
    fn is_overdue(&self, now: Micros, expiry: Expiry) -> bool {
        let overdue_ticks = expiry.ticks / EXPIRY_TO_OVERDUE;
        !self.is_exhausted() && self.ticks_available(now, expiry.tick) > overdue_ticks
    }

    /// Expires what has been available for too long. `refill` is what a tick adds.
    fn expire(&mut self, refill: f64, now: Micros, expiry: Expiry) {
        let expired = self.ticks_available(now, expiry.tick) > expiry.ticks;
        if self.is_exhausted() {
            self.exhausted_at = now;
        }
        if expired {
            let unexpired = (refill * expiry.ticks).max(self.attempts.fract());
            self.attempts = self.attempts.min(unexpired);
        }
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
    /// Requests and answers counted, per unit of weight.
    pub(super) requests_per_weight: f64,
    pub(super) answers_per_weight: f64,
    /// How many seconds the counts hold.
    pub(super) window: f64,
}

impl Refill<'_> {
    /// Attempts a second per unit of weight that a warm server would be sent, times the safe load. `window`
    /// is how many seconds the counts hold.
    fn rate(&self, window: f64) -> f64 {
        let requests = self.requests_per_weight;
        let answers = self.answers_per_weight.clamp(
            requests * MIN_ANSWERS_PER_REQUEST,
            requests * MAX_ANSWERS_PER_REQUEST,
        );
        safe_load(self.settings) * (answers / window)
    }
}

/// The time in which a node counts its traffic before it sends warming servers anything.
enum LearningPeriod {
    /// It begins with the node's first request.
    NotBegun,
    Until(Micros),
    Over,
}

impl LearningPeriod {
    /// A request arrived.
    fn record_request(&mut self, now: Micros) {
        if let LearningPeriod::NotBegun = self {
            *self = LearningPeriod::Until(now + LEARNING_PERIOD);
        }
    }

    /// Ends it when its time is over; returns whether it ends now.
    fn ends(&mut self, now: Micros) -> bool {
        match self {
            LearningPeriod::Until(end) if now >= *end => {
                *self = LearningPeriod::Over;
                true
            }
            _ => false,
        }
    }

    fn is_over(&self) -> bool {
        matches!(self, LearningPeriod::Over)
    }
}

/// The slow start of all servers.
pub(super) struct SlowStart {
    /// This node's place among all, from 0 to 1: the same after a restart.
    node_phase: f64,
    learning_period: LearningPeriod,
    /// Warming servers with an overdue attempt, as of the latest tick.
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
            learning_period: LearningPeriod::NotBegun,
            overdue: Vec::new(),
        }
    }

    /// A request arrived: the first one starts the learning period.
    pub(super) fn record_request(&mut self, now: Micros) {
        self.learning_period.record_request(now);
    }

    /// The fraction of an attempt that this node has at a server's start: evenly spread over the nodes.
    pub(super) fn initial_attempts(&self, endpoint: &Endpoint) -> f64 {
        let start = u64::from(endpoint.server.0) ^ endpoint.started_at.rotate_left(32);
        let hash = xxh3_64_with_seed(&start.to_le_bytes(), PHASE_SEED);
        (self.node_phase + hash as f64 / u64::MAX as f64).fract()
    }

    /// Whether a server is warming up and may be sent nothing now.
    pub(super) fn is_exhausted(&self, settings: &Settings, server: &Server, now: Micros) -> bool {
        let exhausted = server.attempt_budget.is_exhausted() || !self.learning_period.is_over();
        exhausted && warm_up_fraction(settings, server, now) < 1.0
    }

    /// The warming servers with an overdue attempt, as of the latest tick.
    pub(super) fn overdue_servers(&self) -> &[ServerIndex] {
        &self.overdue
    }

    /// The indices of the servers changed.
    pub(super) fn clear_overdue(&mut self) {
        self.overdue.clear();
    }

    /// A tick has passed: fills the budgets and finds the overdue attempts.
    pub(super) fn refill(&mut self, servers: &mut ServerSet, refill: &Refill) {
        let now = refill.now;
        let learning_ends = self.learning_period.ends(now);
        let window = if learning_ends {
            // The counts hold the traffic of the learning period.
            LEARNING_PERIOD as f64 / MICROS_PER_SECOND
        } else {
            refill.window
        };
        let rate = refill.rate(window);
        let expiry = Expiry::new(refill.settings, refill.tick);
        self.overdue.clear();
        for ((index, server), &warm_up) in servers.iter_mut_with_index().zip(refill.warm_up) {
            if !server.in_service {
                continue;
            }
            let weight = server.endpoint.weight;
            let warm_refill = rate * weight * refill.tick.micros() as f64 / MICROS_PER_SECOND;
            let refill_per_tick = warm_refill * warm_up;
            if learning_ends {
                server.attempt_budget.attempts =
                    self.attempts_since_start(server, refill, warm_refill, warm_up);
            } else {
                server.attempt_budget.attempts += refill_per_tick;
            }
            let overdue = server.attempt_budget.is_overdue(now, expiry);
            server.attempt_budget.expire(refill_per_tick, now, expiry);
            if overdue && warm_up < 1.0 {
                self.overdue.push(index);
            }
        }
    }

    /// The budget of a server after the learning period: a node that starts takes as used what would have
    /// been added since the server's start. `warm_refill` is what a tick adds for a warm server.
    fn attempts_since_start(
        &self,
        server: &Server,
        refill: &Refill,
        warm_refill: f64,
        warm_up: f64,
    ) -> f64 {
        let age = refill.now.saturating_sub(server.started_at());
        let ticks = age / refill.tick.micros();
        let twice_mean_warm_up = refill.settings.cold_capacity + warm_up;
        let added = warm_refill * ticks as f64 * twice_mean_warm_up / 2.0;
        (self.initial_attempts(&server.endpoint) + added).fract()
    }
}
