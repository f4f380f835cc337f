//! Slow start: a server that has just started is sent no more requests than it can serve.
//!
//! By the settings, a server that is warming up has a fraction of its full capacity
//! (`Settings::cold_capacity`) that grows linearly to 1 over `Settings::slow_start_time`. It is overloaded
//! if it is sent more than `Settings::cold_overload_factor` times its present capacity.
//!
//! The inputs are the time since the server's start in microseconds, its weight, and the rate of answers
//! per unit of weight that this node gets from all servers. From these follows the rate of attempts that
//! this node may send to the server. That rate fills the server's [`AttemptBudget`], a token bucket from
//! which each attempt takes 1.
//!
//! The nodes do not talk to each other, and each may send a server only a small part of what it can serve.
//! To spread the first attempts of all nodes evenly over time, each node starts a server's budget with a
//! fraction of an attempt that follows from the node's index and the server's start.
//!
//! The slots of a warming server alone bring it fewer requests than it may get. An attempt that has been
//! available in its budget for some time is therefore *overdue*: the next request that the server can
//! answer within the latency objective goes there, whatever its slot.

use fastrand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::server::{Server, ServerIndex, ServerSet};
use super::tick::{TickInterval, MICROS_PER_SECOND};
use crate::api::*;

/// A warming server may be sent this fraction of the rate that overloads it. It is well below 1, as the
/// server has no keys cached yet.
const SAFE_LOAD: f64 = 0.45;
/// An attempt that a budget holds and the node does not use expires after this fraction of the window over
/// which overload is counted (`Settings::cold_overload_window`), or after the minimum number of ticks if that
/// is longer.
const EXPIRY_WINDOW_FRACTION: f64 = 0.5;
const MIN_EXPIRY_TICKS: f64 = 3.0;
/// Ratio of the time after which an attempt expires to the time after which it is overdue.
const EXPIRY_TO_OVERDUE: f64 = 3.0;
/// After its first request, a node counts its traffic for this long before it sends anything to warming
/// servers.
const LEARNING_PERIOD: Micros = 1_000_000;
/// Bounds of the rate of answers per unit of weight, as multiples of the rate of requests. While most servers
/// are warming up, the measured rate is no guide: the few warm servers answer all requests, or there are no
/// answers at all.
const MIN_ANSWERS_PER_REQUEST: f64 = 0.5;
const MAX_ANSWERS_PER_REQUEST: f64 = 1.25;
/// Seed of the hash that determines in which order the nodes send their first attempts to a server. It must
/// be the same at all nodes.
const PHASE_SEED: u64 = 0x7068_6173;

/// The fraction of its full capacity that a server has by the time since its start; 1 once it is warm.
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

/// The warm-up fraction of each server, in the order of `servers`.
pub(super) fn warm_up_fractions(settings: &Settings, servers: &ServerSet, now: Micros) -> Vec<f64> {
    servers
        .iter()
        .map(|server| warm_up_fraction(settings, server, now))
        .collect()
}

/// The fraction of its full capacity that a server with this warm-up fraction may be sent.
pub(super) fn usable_fraction(settings: &Settings, warm_up: f64) -> f64 {
    if warm_up < 1.0 {
        (safe_load(settings) * warm_up).min(1.0)
    } else {
        1.0
    }
}

/// The multiple of its present capacity that a warming server may be sent. Above 1 where the settings say
/// that servers withstand more than their capacity for a while.
fn safe_load(settings: &Settings) -> f64 {
    SAFE_LOAD * settings.cold_overload_factor
}

/// The attempts that this node may send to a warming server: a token bucket whose tokens expire.
#[derive(Clone, Copy)]
pub(super) struct AttemptBudget {
    /// Number of attempts available; the budget is exhausted below 1.
    attempts: f64,
    /// The latest tick in which it was exhausted.
    exhausted_at: Micros,
}

impl AttemptBudget {
    pub(super) fn new(attempts: f64, now: Micros) -> Self {
        AttemptBudget {
            attempts,
            exhausted_at: now,
        }
    }

    /// Takes one attempt from the budget for an attempt that is being sent to the server.
    pub(super) fn take(&mut self) {
        self.attempts -= 1.0;
    }

    fn is_exhausted(&self) -> bool {
        self.attempts < 1.0
    }

    /// The number of ticks for which an attempt has been available.
    fn ticks_available(&self, now: Micros, tick: TickInterval) -> f64 {
        (now - self.exhausted_at) as f64 / tick.micros() as f64
    }

    /// Whether an attempt has been available for so long that it is overdue.
    fn is_overdue(&self, now: Micros, expiry: Expiry) -> bool {
        let overdue_ticks = expiry.ticks / EXPIRY_TO_OVERDUE;
        !self.is_exhausted() && self.ticks_available(now, expiry.tick) > overdue_ticks
    }

    /// Removes expired attempts. `refill` is the number of attempts that a tick adds.
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

/// The time after which an available attempt expires.
#[derive(Clone, Copy)]
struct Expiry {
    /// The time in ticks.
    ticks: f64,
    /// The interval of the ticks.
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

/// The inputs for filling the budgets of warming servers in a tick.
pub(super) struct Refill<'a> {
    pub(super) settings: &'a Settings,
    /// The warm-up fraction of each server, in the order of the set.
    pub(super) warm_up: &'a [f64],
    pub(super) now: Micros,
    pub(super) tick: TickInterval,
    /// Decaying counts of requests and answers, per unit of weight.
    pub(super) requests_per_weight: f64,
    pub(super) answers_per_weight: f64,
    /// The time that these counts cover, in seconds (see `traffic`).
    pub(super) window: f64,
}

impl Refill<'_> {
    /// Attempts per second and per unit of weight that a warming server may be sent, before its warm-up
    /// fraction is applied. `window` is the time in seconds that the counts cover.
    fn rate(&self, window: f64) -> f64 {
        let requests = self.requests_per_weight;
        let answers = self.answers_per_weight.clamp(
            requests * MIN_ANSWERS_PER_REQUEST,
            requests * MAX_ANSWERS_PER_REQUEST,
        );
        safe_load(self.settings) * (answers / window)
    }
}

/// The period after a node's start in which it counts its traffic and sends nothing to warming servers.
enum LearningPeriod {
    /// The node's first request, which begins the period, has not arrived.
    NotBegun,
    /// The period ends at this time.
    Until(Micros),
    /// The period has ended.
    Over,
}

impl LearningPeriod {
    /// Begins the period with the first request.
    fn record_request(&mut self, now: Micros) {
        if let LearningPeriod::NotBegun = self {
            *self = LearningPeriod::Until(now + LEARNING_PERIOD);
        }
    }

    /// Ends the period when its time is over; returns whether it ended in this call.
    fn end_if_due(&mut self, now: Micros) -> bool {
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
    /// This node's position among all nodes, from 0 to 1. It follows from the node's index and is then the
    /// same after a restart; without an index it is random.
    node_phase: f64,
    learning_period: LearningPeriod,
    /// The warming servers with an overdue attempt, as of the latest tick.
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

    /// Records a request; the first one begins the learning period.
    pub(super) fn record_request(&mut self, now: Micros) {
        self.learning_period.record_request(now);
    }

    /// The fraction of an attempt with which this node's budget for a server starts. The fractions of all
    /// nodes are evenly distributed, and differ from one start of a server to the next.
    pub(super) fn initial_attempts(&self, endpoint: &Endpoint) -> f64 {
        let start = u64::from(endpoint.server.0) ^ endpoint.started_at.rotate_left(32);
        let hash = xxh3_64_with_seed(&start.to_le_bytes(), PHASE_SEED);
        (self.node_phase + hash as f64 / u64::MAX as f64).fract()
    }

    /// Whether a server is warming up and may be sent nothing now, as its budget is exhausted or this node is
    /// still in its learning period.
    pub(super) fn is_exhausted(&self, settings: &Settings, server: &Server, now: Micros) -> bool {
        let exhausted = server.attempt_budget.is_exhausted() || !self.learning_period.is_over();
        exhausted && warm_up_fraction(settings, server, now) < 1.0
    }

    /// The warming servers with an overdue attempt, as of the latest tick.
    pub(super) fn overdue_servers(&self) -> &[ServerIndex] {
        &self.overdue
    }

    /// Forgets the overdue attempts until the next tick, as the indices of the servers have changed.
    pub(super) fn clear_overdue(&mut self) {
        self.overdue.clear();
    }

    /// Fills the budgets by one tick, removes expired attempts and finds the overdue ones.
    pub(super) fn refill(&mut self, servers: &mut ServerSet, refill: &Refill) {
        let now = refill.now;
        let learning_ended = self.learning_period.end_if_due(now);
        let window = if learning_ended {
            // The node has only counted traffic during the learning period.
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
            if learning_ended {
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

    /// The budget of a server at the end of this node's learning period. Of all that would have been added
    /// since the server's start, whole attempts count as sent (a previous process of this node may have sent
    /// them), and only the fraction is kept. `warm_refill` is the refill per tick at a warm-up fraction of 1.
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
