//! Admission: which new requests are rejected at once, so that those admitted are answered in time.
//!
//! - [`ConcurrencyLimit`] bounds the number of this node's attempts in flight. There is no limit at
//!   first. Late answers and overloaded servers lower it; it rises again while there is no sign of
//!   congestion. While the servers are congested, it is bounded by the number of attempts that the
//!   recent rate of answers keeps in flight (Little's law).
//! - [`ClassDemand`] sheds load by priority weight per unit of work: a request may not use the part of
//!   the limit that is reserved for requests of a higher value. That part grows with their share of the
//!   traffic.
//! - [`TenantQuotas`] marks requests over a tenant's soft quota, which is divided evenly among the nodes.
//!   The quota alone rejects nothing: `Settings::over_quota_value` lowers the weight of marked requests,
//!   so that they are shed first.
//!
//! Where servers cache keys (`Settings::key_affinity`), the limit is lower for some slots than for
//! others. All nodes lower it for the same slots, so they reject the same keys first and the servers
//! keep the other keys cached.

#[cfg(test)]
mod tests;

use fastrand::Rng;

use super::latency::ClassLatencies;
use super::moving_average::MovingAverage;
use super::slot_table::slot_level;
use super::tick::TickInterval;
use super::traffic;
use crate::api::*;

/// Each sign of overload cuts the limit by this fraction divided by the attempts per second, but by
/// `MAX_CUT` at most. If every attempt of a second is a sign of overload, the cuts thus add up to this
/// fraction, whatever the rate of attempts.
const CUT_PER_SECOND: f64 = 0.9;
const MAX_CUT: f64 = 0.2;
/// Relative increase of the limit in a tick without any sign of congestion.
const RECOVERY_PER_TICK: f64 = 0.06;
/// Lower bound of a cut limit, in attempts. Below 1, an idle node admits that fraction of the requests.
const MIN_LIMIT: f64 = 0.5;
/// Under congestion the limit is at most this multiple of `ConcurrencyLimit::flow`, but not below
/// `MIN_CONGESTED_LIMIT` attempts.
const CONGESTED_FLOW_FACTOR: f64 = 2.0;
const MIN_CONGESTED_LIMIT: f64 = 1.0;
/// Weights of one tick in the moving averages of the flow and of the number of attempts in flight.
const FLOW_WEIGHT: f64 = 0.07;
const IN_FLIGHT_WEIGHT: f64 = 0.1;
/// The largest fraction of the limit that is reserved for requests of a higher value.
const MAX_RESERVE: f64 = 0.3;
/// Difference between the limits of the slots with the highest and the lowest limit, as a fraction of the
/// limit. Applies where servers cache keys.
const SLOT_SPREAD: f64 = 0.5;
/// Delay after which a rejected client should retry, at a tick interval of 100 ms, the longest; a shorter
/// interval shortens it in proportion.
const RETRY_AFTER: Micros = 20_000;

/// The number of this node's attempts in flight, and its limit.
pub(super) struct ConcurrencyLimit {
    in_flight: u32,
    /// Moving average of the number in flight.
    usual_in_flight: MovingAverage,
    /// The limit, in attempts; infinite until the first cut.
    limit: f64,
    /// Sum of the expected answer times of the attempts answered since the latest tick, in microseconds.
    answered_time: f64,
    /// Moving average of the number of attempts that would be in flight at the present rate of answers if
    /// each answer took its expected time.
    flow: MovingAverage,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        ConcurrencyLimit {
            in_flight: 0,
            usual_in_flight: MovingAverage::default(),
            limit: f64::INFINITY,
            answered_time: 0.0,
            flow: MovingAverage::default(),
        }
    }
}

impl ConcurrencyLimit {
    pub(super) fn begin_attempt(&mut self) {
        self.in_flight += 1;
    }

    pub(super) fn end_attempt(&mut self) {
        self.in_flight -= 1;
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(super) fn usual_in_flight(&self) -> f64 {
        self.usual_in_flight.value()
    }

    pub(super) fn limit(&self) -> f64 {
        self.limit
    }

    pub(super) fn flow(&self) -> f64 {
        self.flow.value()
    }

    /// Records an answered attempt whose expected answer time was `expected` microseconds.
    pub(super) fn record_answer(&mut self, expected: f64) {
        self.answered_time += expected;
    }

    /// Cuts the limit on a sign of overload. `attempts` is the node's count over the latest `window` seconds.
    /// A limit above the number of attempts in flight is first lowered to just above that number.
    pub(super) fn cut(&mut self, attempts: f64, window: f64) {
        let cut = (CUT_PER_SECOND * window / attempts.max(1.0)).min(MAX_CUT);
        let present = self.usual_in_flight().max(f64::from(self.in_flight)) + 1.0;
        self.limit = (self.limit.min(present) * (1.0 - cut)).max(MIN_LIMIT);
    }

    /// Raises the limit once per tick. `headroom` is 1 without any sign of congestion and 0 when the servers
    /// are congested (see `LoadState::headroom`).
    pub(super) fn recover(&mut self, headroom: f64) {
        self.limit *= 1.0 + RECOVERY_PER_TICK * headroom;
    }

    /// Lowers the limit to a multiple of the flow; called in each tick while the servers are congested.
    pub(super) fn follow_flow(&mut self) {
        let limit = (CONGESTED_FLOW_FACTOR * self.flow()).max(MIN_CONGESTED_LIMIT);
        self.limit = self.limit.min(limit);
    }

    /// Updates the moving averages at the end of a tick.
    pub(super) fn end_tick(&mut self, tick: TickInterval) {
        let flow = std::mem::take(&mut self.answered_time) / tick.micros() as f64;
        self.flow.add(flow, FLOW_WEIGHT);
        self.usual_in_flight
            .add(f64::from(self.in_flight), IN_FLIGHT_WEIGHT);
    }

    /// Whether a request whose key is in `slot` is rejected. The fraction `reserve` of the limit is not
    /// available to it.
    pub(super) fn rejects(
        &self,
        settings: &Settings,
        slot: usize,
        reserve: f64,
        rng: &mut Rng,
    ) -> bool {
        let spread = if settings.key_affinity {
            SLOT_SPREAD
        } else {
            0.0
        };
        let slot_factor = 1.0 + spread * (0.5 - slot_level(slot));
        let limit = self.limit * (1.0 - reserve) * slot_factor;
        // The random term makes an idle node with a limit below 1 admit that fraction of the requests.
        f64::from(self.in_flight) + rng.f64() >= limit
    }
}

/// Whether a request is within its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum QuotaStatus {
    Within,
    Over,
}

/// Decaying counts of the requests of one class.
#[derive(Clone, Copy, Default)]
struct QuotaCounts {
    within_quota: f64,
    over_quota: f64,
}

impl QuotaCounts {
    fn record(&mut self, quota: QuotaStatus) {
        match quota {
            QuotaStatus::Within => self.within_quota += 1.0,
            QuotaStatus::Over => self.over_quota += 1.0,
        }
    }

    fn requests(&self, quota: QuotaStatus) -> f64 {
        match quota {
            QuotaStatus::Within => self.within_quota,
            QuotaStatus::Over => self.over_quota,
        }
    }
}

/// Decaying counts of requests by class and by whether they are within their tenant's quota.
#[derive(Default)]
pub(super) struct ClassDemand {
    classes: Vec<QuotaCounts>,
}

impl ClassDemand {
    pub(super) fn resize(&mut self, classes: usize) {
        self.classes.resize(classes, QuotaCounts::default());
    }

    pub(super) fn record(&mut self, class: ClassId, quota: QuotaStatus) {
        self.classes[class.0].record(quota);
    }

    /// The fraction of the limit that this request may not use, as it is reserved for requests with a
    /// higher value of work (see `value_of_work`). Requests of the same value do not count.
    pub(super) fn reserve(
        &self,
        settings: &Settings,
        latencies: &ClassLatencies,
        class: ClassId,
        quota: QuotaStatus,
    ) -> f64 {
        let value = value_of_work(settings, latencies, class, quota);
        let mut lower = 0.0;
        let mut higher = 0.0;
        for (index, counts) in self.classes.iter().enumerate() {
            let class = ClassId(index);
            for quota in [QuotaStatus::Within, QuotaStatus::Over] {
                let requests = counts.requests(quota);
                let other = value_of_work(settings, latencies, class, quota);
                if other < value {
                    lower += requests;
                } else if other > value {
                    higher += requests;
                }
            }
        }
        if higher > 0.0 {
            MAX_RESERVE * higher / (lower + higher)
        } else {
            0.0
        }
    }

    /// Decays the counts by one tick.
    pub(super) fn decay(&mut self) {
        for counts in &mut self.classes {
            counts.within_quota *= traffic::DECAY_PER_TICK;
            counts.over_quota *= traffic::DECAY_PER_TICK;
        }
    }
}

/// The priority weight per unit of work of a request. Where the settings state the weight per request, the
/// class's mean answer time in microseconds stands for its work. Requests over quota have a lower value.
fn value_of_work(
    settings: &Settings,
    latencies: &ClassLatencies,
    class: ClassId,
    quota: QuotaStatus,
) -> f64 {
    let work = match settings.weight_basis {
        WeightBasis::Work => 1.0,
        WeightBasis::Request => latencies.mean(class).max(1.0),
    };
    let value = settings.classes[class.0].priority_weight / work;
    match quota {
        QuotaStatus::Within => value,
        QuotaStatus::Over => value * settings.over_quota_value,
    }
}

/// Decaying counts of the requests of each tenant at this node.
#[derive(Default)]
pub(super) struct TenantQuotas {
    requests: Vec<f64>,
}

impl TenantQuotas {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn resize(&mut self, tenants: usize) {
        self.requests.resize(tenants, 0.0);
    }

    /// Counts a request and returns its quota status. If the tenant's rate exceeds this node's part of the
    /// quota, a random selection of its requests, in proportion to the excess, is marked as over quota.
    /// `window` is the time in seconds that the counts cover. Requests without a known tenant are within
    /// quota.
    pub(super) fn record(
        &mut self,
        settings: &Settings,
        tenant: Option<TenantId>,
        window: f64,
        rng: &mut Rng,
    ) -> QuotaStatus {
        let Some(TenantId(tenant)) = tenant else {
            return QuotaStatus::Within;
        };
        let Some(requests) = self.requests.get_mut(tenant) else {
            return QuotaStatus::Within;
        };
        *requests += 1.0;
        let rate = *requests / window;
        let quota = settings.tenants[tenant].quota_per_second / f64::from(settings.node_count);
        // A random number is drawn only over quota, so that recorded event streams replay unchanged.
        if quota > 0.0 && rate > quota && rng.f64() > quota / rate {
            QuotaStatus::Over
        } else {
            QuotaStatus::Within
        }
    }

    /// Decays the counts by one tick.
    pub(super) fn decay(&mut self) {
        for requests in &mut self.requests {
            *requests *= traffic::DECAY_PER_TICK;
        }
    }
}

/// The delay in microseconds after which a rejected client should retry; 0 means that no delay is advised.
pub(super) fn retry_after(settings: &Settings, class: ClassId, tick: TickInterval) -> Micros {
    if !settings.retry_after {
        return 0;
    }
    let class = &settings.classes[class.0];
    // If a late answer has no value, a retry has none either. The advised delay then equals the client's
    // deadline, so that a client that honors it does not retry.
    if class.late_value == 0.0 && settings.max_retry_after >= class.deadline {
        class.deadline
    } else {
        tick.scale(RETRY_AFTER).min(settings.max_retry_after)
    }
}
