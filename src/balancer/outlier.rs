//! Outlier ejection: a server that fails its requests gets no further ones for a while.
//!
//! The inputs are the outcomes of attempts. A server is ejected
//! - if a connection to it fails while no attempt of this node is in flight at it;
//! - if it has attempts in flight and has sent no response for a multiple of the slowest class's mean
//!   answer time;
//! - if its failure rate (errors, resets, timeouts) is high and stands out from that of all servers;
//! - for one class only, if it answers that class with errors while it serves the others. Neither its
//!   failure rate over all classes nor a health check would show that.
//!
//! Each ejection in a row lasts twice as long, up to a maximum; each failure at an ejected server extends
//! it, also that of an attempt sent before. After the ejection, one trial (a health check or a request)
//! decides whether the server is reinstated or ejected again. An attempt sent before the ejection also
//! reinstates the server if the server answers it, be it with an overload. Once the server has its
//! whole share of slots again, its next ejection is as short as a first one.
//!
//! If more than half of the servers (by weight) are ejected, the cause is assumed to be common to all of
//! them, and ejections are ignored (panic mode).
//!
//! A zone is lost if connections to several of its servers fail and none of its servers responds. It gets
//! no requests then, unless all zones are in that state.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use fastrand::Rng;

use super::moving_average::MovingAverage;
use super::tick::{jitter, TickInterval};
use crate::api::*;

/// Weight of an attempt in the failure rate of its server (or of a class at it), and of all servers.
const SERVER_FAILURE_WEIGHT: f64 = 0.15;
const POOL_FAILURE_WEIGHT: f64 = 0.01;
/// The failure rate above which a server, or a class at a server, is ejected.
const MAX_FAILURE_RATE: f64 = 0.4;
/// To be ejected, a server's failure rate must also exceed this multiple of that of all servers.
const POOL_FAILURE_MULTIPLE: f64 = 2.5;
/// Below this fraction of `MAX_FAILURE_RATE`, a class at a server has recovered: its next ejection is as
/// short as a first one.
const RECOVERED_FRACTION: f64 = 0.25;
/// Durations of the first and of the longest ejection, before jitter and at a tick interval of 100 ms, the
/// longest; a shorter interval shortens them in proportion. Each further ejection in a row doubles the
/// duration.
const FIRST_EJECTION: Micros = 700_000;
const MAX_EJECTION: Micros = 8_000_000;
const MAX_DOUBLINGS: u32 = 6;
/// A server with attempts in flight is silent if it has sent no response for this multiple of the slowest
/// class's mean answer time, and at least for `MIN_SILENCE` (at a tick interval of 100 ms, as above).
const SILENCE_FACTOR: f64 = 4.0;
const MIN_SILENCE: Micros = 300_000;
/// With more than this fraction of the servers' weight ejected, ejections are ignored (panic mode).
const PANIC_FRACTION: f64 = 0.5;
/// With at most this fraction of the servers' weight ejected, the others have the capacity for its requests.
const FEW_EJECTED_FRACTION: f64 = 0.2;
/// A zone is lost if connections to this many of its servers fail and none of its servers responds.
const LOST_ZONE_SERVERS: usize = 3;

/// The ejection state of a server, or of one class at a server.
#[derive(Clone, Default)]
pub(super) struct Ejection {
    failure_rate: MovingAverage,
    /// The time from which a trial may be made; `None` while there is no ejection.
    until: Option<Micros>,
    /// A trial is in flight.
    on_trial: bool,
    /// Number of ejections in a row.
    count: u32,
}

impl Ejection {
    pub(super) fn is_active(&self) -> bool {
        self.until.is_some()
    }

    /// Whether there is an ejection and its trial may be made now.
    pub(super) fn is_trial_due(&self, now: Micros) -> bool {
        self.until
            .is_some_and(|until| now >= until && !self.on_trial)
    }

    /// Whether there is an ejection and no trial may be made now: its time is not over, or a trial is in
    /// flight.
    pub(super) fn excludes(&self, now: Micros) -> bool {
        self.until.is_some_and(|until| now < until || self.on_trial)
    }

    /// Records that an attempt or a health check is sent. During an ejection, that is the trial.
    pub(super) fn begin_trial(&mut self) {
        if self.is_active() {
            self.on_trial = true;
        }
    }

    /// Records the end of an attempt, whatever its outcome.
    pub(super) fn end_trial(&mut self) {
        self.on_trial = false;
    }

    pub(super) fn record(&mut self, failed: bool) {
        self.failure_rate.add_event(failed, SERVER_FAILURE_WEIGHT);
    }

    /// Records an answer or an error of a class, and starts or ends the ejection of the class by these alone.
    /// An ejection that starts lasts until `until`.
    pub(super) fn record_and_update(&mut self, failed: bool, until: Micros) {
        self.record(failed);
        let failure_rate = self.failure_rate.value();
        let was_ejected = self.is_active();
        if failed && (was_ejected || failure_rate > MAX_FAILURE_RATE) {
            self.eject(until);
        } else if was_ejected {
            // One success ends the ejection but proves little: the next failure ejects the class again.
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

    /// Ends the ejection, if any; returns whether there was one.
    pub(super) fn reinstate(&mut self) -> bool {
        if self.until.take().is_none() {
            return false;
        }
        self.on_trial = false;
        self.failure_rate = MovingAverage::default();
        true
    }

    /// Records that the server has recovered, so that its next ejection is as short as a first one.
    pub(super) fn reset_count(&mut self) {
        self.count = 0;
    }

    /// The end of an ejection that begins now. Its duration doubles with each ejection in a row, and is
    /// jittered so that the nodes do not all try the server at the same time.
    pub(super) fn next_end(&self, now: Micros, tick: TickInterval, rng: &mut Rng) -> Micros {
        let duration = FIRST_EJECTION << self.count.min(MAX_DOUBLINGS);
        now + jitter(rng, tick.scale(duration.min(MAX_EJECTION)))
    }
}

/// The time in microseconds without a response after which a server with attempts in flight is silent.
/// `slowest_mean` is the slowest class's mean answer time in microseconds.
pub(super) fn silence_timeout(slowest_mean: f64, tick: TickInterval) -> Micros {
    let timeout = (SILENCE_FACTOR * slowest_mean) as Micros;
    timeout.max(tick.scale(MIN_SILENCE))
}

/// The failure rate and the ejected fraction of all servers, to which each server is compared.
#[derive(Default)]
pub(super) struct ServerPoolHealth {
    /// Fraction of the latest answered or failed attempts that failed.
    failure_rate: MovingAverage,
    /// Fraction of the servers' weight that is ejected, as of the latest tick.
    ejected_fraction: f64,
}

impl ServerPoolHealth {
    pub(super) fn record(&mut self, failed: bool) {
        self.failure_rate.add_event(failed, POOL_FAILURE_WEIGHT);
    }

    pub(super) fn set_ejected(&mut self, ejected_weight: f64, total_weight: f64) {
        self.ejected_fraction = ejected_weight / total_weight.max(f64::MIN_POSITIVE);
    }

    /// Whether a server's failure rate is high and stands out from that of all servers.
    pub(super) fn is_outlier(&self, ejection: &Ejection) -> bool {
        let usual = POOL_FAILURE_MULTIPLE * self.failure_rate.value();
        ejection.failure_rate.value() > MAX_FAILURE_RATE.max(usual)
    }

    /// Whether so many servers are ejected that ejections are ignored.
    pub(super) fn in_panic(&self) -> bool {
        self.ejected_fraction > PANIC_FRACTION
    }

    /// Whether so few servers are ejected that the others have the capacity for their requests.
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

/// What the outcome of an attempt shows of the connection to its server.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Reachability {
    /// The server responded.
    Responded,
    /// No connection could be made, and no other attempt of this node is in flight at the server.
    Unreachable,
    /// Neither of these: for example, the attempt timed out.
    Unknown,
}

/// Finds lost zones.
#[derive(Default)]
pub(super) struct ZoneHealth {
    /// By zone, the servers that have been unreachable since any server of the zone last responded.
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

    /// Removes unreachable servers that are no longer ejected. A server that has restarted or left gets no
    /// trial, so it would otherwise count as unreachable forever.
    pub(super) fn retain(&mut self, is_ejected: impl Fn(ServerId) -> bool) {
        for unreachable in self.unreachable.values_mut() {
            unreachable.retain(|&server| is_ejected(server));
        }
    }

    /// Whether a zone is lost: its servers are unreachable, and those of at least one other zone are not.
    pub(super) fn is_lost(&self, zone: ZoneId) -> bool {
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
