//! Outlier ejection: servers that fail what they are sent get no requests for a while.
//!
//! Reads the outcomes of attempts. A server is ejected
//! - when no connection to it can be made and it holds nothing of this node's;
//! - when it has attempts in flight and sent no response for a multiple of the slowest class's mean
//!   answer time;
//! - when its failures (errors, resets, timeouts) stand out of those of all servers;
//! - for one class only, when it fails that class: other classes and health checks do not show it.
//!
//! An ejection lasts twice as long each time: each failure at an ejected server counts, also that of an
//! attempt sent before. When it is over, one trial, a health check or a request, decides whether the server
//! is reinstated or ejected once more; an earlier attempt that is answered or overloaded reinstates it too.
//! A server that carries its whole share again starts with the shortest ejection.
//!
//! With more than half of the servers ejected the cause is shared, and ejections are ignored (panic mode).
//!
//! A zone from which several servers make no connection and none responds is taken for lost, unless
//! that holds of all zones.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use fastrand::Rng;

use super::moving_average::MovingAverage;
use super::tick::{jitter, TickInterval};
use crate::api::*;

/// Weight of an attempt in the failure rate of its server, and of all servers.
const SERVER_FAILURE_WEIGHT: f64 = 0.15;
const POOL_FAILURE_WEIGHT: f64 = 0.01;
/// The failure rate above which a server, or a class at a server, is ejected.
const MAX_FAILURE_RATE: f64 = 0.4;
/// A server's failure rate must also exceed this multiple of that of all servers.
const POOL_FAILURE_MULTIPLE: f64 = 2.5;
/// Below this fraction of the maximum failure rate, earlier ejections of a class no longer count.
const RECOVERED_FRACTION: f64 = 0.25;
/// Duration of a first ejection, in microseconds at the longest tick (see `TickInterval::scale`); each
/// further one doubles it up to the longest.
const FIRST_EJECTION: Micros = 700_000;
const MAX_EJECTION: Micros = 8_000_000;
const MAX_DOUBLINGS: u32 = 6;
/// A server is silent after this multiple of the slowest class's mean answer time, and at least after this
/// duration, in microseconds at the longest tick.
const SILENCE_FACTOR: f64 = 4.0;
const MIN_SILENCE: Micros = 300_000;
/// With more than this fraction of the servers' weight ejected, ejections are ignored.
const PANIC_FRACTION: f64 = 0.5;
/// With no more than this fraction of the servers ejected, the others have the capacity for its requests.
const FEW_EJECTED_FRACTION: f64 = 0.2;
/// A zone is lost when this many of its servers make no connection and none responds.
const LOST_ZONE_SERVERS: usize = 3;

/// Whether a server, or a class at a server, is ejected.
#[derive(Clone, Default)]
pub(super) struct Ejection {
    failure_rate: MovingAverage,
    /// While it is ejected: when a trial may be made.
    until: Option<Micros>,
    /// A trial is under way.
    on_trial: bool,
    /// Ejections in a row.
    count: u32,
}

impl Ejection {
    pub(super) fn is_active(&self) -> bool {
        self.until.is_some()
    }

    /// It is ejected, and a trial may be made now.
    pub(super) fn is_trial_due(&self, now: Micros) -> bool {
        self.until
            .is_some_and(|until| now >= until && !self.on_trial)
    }

    /// It is ejected, and no trial may be made now: its ejection is not over, or a trial is under way.
    pub(super) fn excludes(&self, now: Micros) -> bool {
        self.until.is_some_and(|until| now < until || self.on_trial)
    }

    /// An attempt or a health check was sent: of an ejected server it is the trial.
    pub(super) fn begin_trial(&mut self) {
        if self.is_active() {
            self.on_trial = true;
        }
    }

    /// An attempt ended, whatever its outcome.
    pub(super) fn end_trial(&mut self) {
        self.on_trial = false;
    }

    pub(super) fn record(&mut self, failed: bool) {
        self.failure_rate.add_event(failed, SERVER_FAILURE_WEIGHT);
    }

    /// Records an answer or an error of a class and decides alone on its ejection, until `until`.
    pub(super) fn record_and_judge(&mut self, failed: bool, until: Micros) {
        self.record(failed);
        let failure_rate = self.failure_rate.value();
        let was_ejected = self.is_active();
        if failed && (was_ejected || failure_rate > MAX_FAILURE_RATE) {
            self.eject(until);
        } else if was_ejected {
            // One success ends it but proves little: the next failure ejects it immediately.
            self.until = None;
            self.failure_rate = MovingAverage::new(MAX_FAILURE_RATE);
        } else if failure_rate < MAX_FAILURE_RATE * RECOVERED_FRACTION {
            self.count = 0;
        }
    }

    pub(super) fn eject(&mut self, until: Micros) {
        self.until = Some(until);
        self.on_trial = false;
        self.count += 1;
    }

    /// Ends the ejection; returns whether there was one.
    pub(super) fn reinstate(&mut self) -> bool {
        if self.until.take().is_none() {
            return false;
        }
        self.on_trial = false;
        self.failure_rate = MovingAverage::default();
        true
    }

    /// The server has recovered: its next ejection is a first one.
    pub(super) fn reset_count(&mut self) {
        self.count = 0;
    }

    /// The end of an ejection that begins now: twice as long each time, and jittered so that nodes do
    /// not all try a server together.
    pub(super) fn next_end(&self, now: Micros, tick: TickInterval, rng: &mut Rng) -> Micros {
        let duration = FIRST_EJECTION << self.count.min(MAX_DOUBLINGS);
        now + jitter(rng, tick.scale(duration.min(MAX_EJECTION)))
    }
}

/// After how long without a response a server with attempts in flight is silent, in microseconds.
pub(super) fn silence_timeout(slowest_mean: f64, tick: TickInterval) -> Micros {
    let timeout = (SILENCE_FACTOR * slowest_mean) as Micros;
    timeout.max(tick.scale(MIN_SILENCE))
}

/// How many of all servers fail and are ejected, as the measure for each of them.
#[derive(Default)]
pub(super) struct ServerPoolHealth {
    /// Part of the latest answered or failed attempts that failed.
    failure_rate: MovingAverage,
    /// Part of the servers' weight that is ejected, as of the latest tick.
    ejected_fraction: f64,
}

impl ServerPoolHealth {
    pub(super) fn record(&mut self, failed: bool) {
        self.failure_rate.add_event(failed, POOL_FAILURE_WEIGHT);
    }

    pub(super) fn set_ejected(&mut self, ejected_weight: f64, total_weight: f64) {
        self.ejected_fraction = ejected_weight / total_weight.max(f64::MIN_POSITIVE);
    }

    /// Whether a server fails far more than is usual.
    pub(super) fn is_outlier(&self, ejection: &Ejection) -> bool {
        let usual = POOL_FAILURE_MULTIPLE * self.failure_rate.value();
        ejection.failure_rate.value() > MAX_FAILURE_RATE.max(usual)
    }

    /// So many servers are ejected that ejections are ignored.
    pub(super) fn in_panic(&self) -> bool {
        self.ejected_fraction > PANIC_FRACTION
    }

    /// So few servers are ejected that the others have the capacity for its requests.
    pub(super) fn few_ejected(&self) -> bool {
        self.ejected_fraction <= FEW_EJECTED_FRACTION
    }

    pub(super) fn failure_rate(&self) -> f64 {
        self.failure_rate.value()
    }

    pub(super) fn ejected_fraction(&self) -> f64 {
        self.ejected_fraction
    }
}

/// What an attempt tells of the connection to a server.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Reachability {
    Responded,
    Unreachable,
    Unknown,
}

/// The servers of each zone that made no connection since any server of the zone responded.
#[derive(Default)]
pub(super) struct ZoneHealth {
    unreachable: BTreeMap<ZoneId, Vec<ServerId>>,
}

impl ZoneHealth {
    pub(super) fn record(&mut self, zone: ZoneId, server: ServerId, reachability: Reachability) {
        let unreachable = self.unreachable.entry(zone).or_default();
        match reachability {
            Reachability::Responded => unreachable.clear(),
            Reachability::Unreachable if !unreachable.contains(&server) => unreachable.push(server),
            Reachability::Unreachable | Reachability::Unknown => {}
        }
    }

    /// Keeps of the unreachable servers those that are still ejected: one that restarted or left gets no
    /// trial and would stay unreachable for ever.
    pub(super) fn retain(&mut self, is_ejected: impl Fn(ServerId) -> bool) {
        for unreachable in self.unreachable.values_mut() {
            unreachable.retain(|&server| is_ejected(server));
        }
    }

    /// Whether a zone is lost while another one is not.
    pub(super) fn is_cut_off(&self, zone: ZoneId) -> bool {
        self.is_unreachable(zone)
            && self
                .unreachable
                .keys()
                .any(|&other| !self.is_unreachable(other))
    }

    fn is_unreachable(&self, zone: ZoneId) -> bool {
        self.unreachable
            .get(&zone)
            .is_some_and(|servers| servers.len() >= LOST_ZONE_SERVERS)
    }
}
