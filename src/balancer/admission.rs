//! Admission: which new requests are rejected at once, so that those admitted are answered in time.
//!
//! - [`ConcurrencyLimit`] bounds this node's attempts in flight. It is unlimited at first, is cut when
//!   answers come late or servers are overloaded, and recovers while there is no sign of congestion.
//!   While the servers are congested it follows the flow of answers (Little's law).
//! - [`ClassDemand`] sheds by priority weight per unit of work: a part of the limit is reserved for
//!   classes of a higher weight than the request's, in proportion to their part of the traffic.
//! - [`TenantQuotas`] marks requests over a tenant's soft quota, of which each node has an even part.
//!   They are not rejected for that; a setting reduces their weight, so that they are shed first.
//!
//! Where servers cache keys, the limit is lower for some slots than for others, the same at all nodes:
//! they reject the same keys first, and the other keys stay cached.

#[cfg(test)]
mod tests;

use fastrand::Rng;

use super::latency::ClassLatencies;
use super::moving_average::MovingAverage;
use super::slot_table::slot_level;
use super::tick::TickInterval;
use super::traffic;
use crate::api::*;

/// What a sign of overload takes off the limit, as a fraction of a second's attempts, and the most of it.
const CUT_PER_SECOND: f64 = 0.9;
const MAX_CUT: f64 = 0.2;
/// What the limit gains in a tick without any sign of congestion.
const RECOVERY_PER_TICK: f64 = 0.06;
const MIN_LIMIT: f64 = 0.5;
/// Under congestion the limit is this multiple of what the flow of answers keeps in flight, and 1 at least.
const CONGESTED_FLOW_FACTOR: f64 = 2.0;
const MIN_CONGESTED_LIMIT: f64 = 1.0;
/// Weight of a tick in the flow of answers, and in the usual number in flight.
const FLOW_WEIGHT: f64 = 0.07;
const IN_FLIGHT_WEIGHT: f64 = 0.1;
/// Part of the limit that requests of the lowest priority weight leave to others.
const MAX_RESERVE: f64 = 0.3;
/// Spread of the limit over the slots, where servers cache keys.
const SLOT_SPREAD: f64 = 0.5;
/// When a rejected client should retry, in microseconds at the longest tick (see `TickInterval::scale`).
const RETRY_AFTER: Micros = 20_000;

/// This node's attempts in flight, and the most that there may be.
pub(super) struct ConcurrencyLimit {
    in_flight: u32,
    /// The number in flight, smoothed.
    usual_in_flight: MovingAverage,
    limit: f64,
    /// Sum of the expected times of the answers since the latest tick, in microseconds.
    answered_time: f64,
    /// Smoothed, the number that would be in flight if all answers took the expected time.
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

    /// An attempt was answered that was expected to take this many microseconds.
    pub(super) fn record_answer(&mut self, expected: f64) {
        self.answered_time += expected;
    }

    /// Cuts the limit on a sign of overload. `attempts` were counted in a window of `window` seconds.
    pub(super) fn cut(&mut self, attempts: f64, window: f64) {
        let cut = (CUT_PER_SECOND * window / attempts.max(1.0)).min(MAX_CUT);
        let present = self.usual_in_flight().max(f64::from(self.in_flight)) + 1.0;
        self.limit = (self.limit.min(present) * (1.0 - cut)).max(MIN_LIMIT);
    }

    /// Raises the limit in a tick; `headroom` is 1 without any sign of congestion and 0 under it.
    pub(super) fn recover(&mut self, headroom: f64) {
        self.limit *= 1.0 + RECOVERY_PER_TICK * headroom;
    }

    /// Bounds the limit by the flow of answers.
    pub(super) fn follow_flow(&mut self) {
        let limit = (CONGESTED_FLOW_FACTOR * self.flow()).max(MIN_CONGESTED_LIMIT);
        self.limit = self.limit.min(limit);
    }

    /// A tick has passed.
    pub(super) fn end_tick(&mut self, tick: TickInterval) {
        let flow = std::mem::take(&mut self.answered_time) / tick.micros() as f64;
        self.flow.add(flow, FLOW_WEIGHT);
        self.usual_in_flight
            .add(f64::from(self.in_flight), IN_FLIGHT_WEIGHT);
    }

    /// Whether a request at `slot` is rejected, with the fraction `reserve` of the limit reserved for others.
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
        // The random part makes a limit below 1 admit that fraction of the requests.
        f64::from(self.in_flight) + rng.f64() >= limit
    }
}

/// Whether a request is within its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum QuotaStatus {
    Within,
    Over,
}

/// Requests of a class, as decaying counts.
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

/// The traffic of each class, within and over its tenants' quotas.
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

    /// The part of the limit that a request leaves to requests of a higher priority weight.
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

    /// A tick has passed.
    pub(super) fn decay(&mut self) {
        for counts in &mut self.classes {
            counts.within_quota *= traffic::DECAY_PER_TICK;
            counts.over_quota *= traffic::DECAY_PER_TICK;
        }
    }
}

/// Priority weight per unit of work, estimated from the class's mean answer time.
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

/// The requests of each tenant at this node, as decaying counts.
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

    /// Counts a request. Of a tenant that sends more than its quota, a random part of the requests is over
    /// it. `window` is how many seconds the counts hold.
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
        // Without a quota, or within it, no random number is drawn.
        if quota > 0.0 && rate > quota && rng.f64() > quota / rate {
            QuotaStatus::Over
        } else {
            QuotaStatus::Within
        }
    }

    /// A tick has passed.
    pub(super) fn decay(&mut self) {
        for requests in &mut self.requests {
            *requests *= traffic::DECAY_PER_TICK;
        }
    }
}

/// When a rejected client should retry, in microseconds from now; 0 is no advice.
pub(super) fn retry_after(settings: &Settings, class: ClassId, tick: TickInterval) -> Micros {
    if !settings.retry_after {
        return 0;
    }
    let class = &settings.classes[class.0];
    // Where a late answer has no value, neither has a retry: the advice is past the client's deadline.
    if class.late_value == 0.0 && settings.max_retry_after >= class.deadline {
        class.deadline
    } else {
        tick.scale(RETRY_AFTER).min(settings.max_retry_after)
    }
}
