//! The periodic tick: its interval, and what each rule updates in it.

use fastrand::Rng;

use super::{outlier, slow_start, Balancer, TICK_TIMER};
use crate::api::*;

/// The longest and the shortest interval. Durations that scale with the tick are stated for the longest (see
/// `TickInterval::scale`).
const MAX_INTERVAL: Micros = 100_000;
const MIN_INTERVAL: Micros = 10_000;
pub(super) const MICROS_PER_SECOND: f64 = 1e6;
/// Number of ticks within the shortest latency objective of all classes.
const TICKS_PER_OBJECTIVE: Micros = 4;

/// The time between two ticks.
#[derive(Clone, Copy)]
pub(super) struct TickInterval(Micros);

impl TickInterval {
    /// The interval for these classes, in proportion to the shortest latency objective.
    pub(super) fn for_classes(classes: &[RequestClass]) -> Self {
        let shortest = classes
            .iter()
            .map(|class| class.latency_objective)
            .min()
            .unwrap_or(Micros::MAX);
        TickInterval((shortest / TICKS_PER_OBJECTIVE).clamp(MIN_INTERVAL, MAX_INTERVAL))
    }

    pub(super) fn micros(self) -> Micros {
        self.0
    }

    pub(super) fn seconds(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }

    /// Converts a duration that is stated for the longest interval to this interval.
    pub(super) fn scale(self, duration: Micros) -> Micros {
        duration * self.0 / MAX_INTERVAL
    }
}

/// A random duration from half to one and a half times the given one, so that nodes do not act in step.
pub(super) fn jitter(rng: &mut Rng, duration: Micros) -> Micros {
    duration / 2 + rng.u64(0..=duration)
}

impl Balancer {
    pub(super) fn on_tick(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SetTimer {
            delay: self.tick.micros(),
            timer: TICK_TIMER,
        });
        self.refresh_table();
        self.send_or_answer_queued(out);
        let warm_up = slow_start::warm_up_fractions(&self.settings, &self.servers, self.now);
        self.traffic.set_usable_weight(self.usable_weight(&warm_up));
        self.refill_slow_start(&warm_up);
        self.eject_silent_servers();
        self.start_health_checks(out);
        self.recover_shares();
        self.limit.recover(self.load.headroom());
        self.record_slow_attempts();
        self.limit.end_tick(self.tick);
        self.load.end_tick();
        self.update_ejected_fraction();
        self.decay_counts();
    }

    /// Total weight of the servers that may be sent requests. A warming server counts by the fraction of its
    /// capacity that it may be sent.
    fn usable_weight(&self, warm_up: &[f64]) -> f64 {
        self.servers
            .iter()
            .zip(warm_up)
            .filter(|(server, _)| server.in_service && !server.ejection.is_active())
            .map(|(server, &warm_up)| {
                let fraction = slow_start::usable_fraction(&self.settings, warm_up);
                server.endpoint.weight * fraction
            })
            .sum()
    }

    fn refill_slow_start(&mut self, warm_up: &[f64]) {
        let refill = slow_start::Refill {
            settings: &self.settings,
            warm_up,
            now: self.now,
            tick: self.tick,
            requests_per_weight: self.traffic.requests() / self.servers.total_weight().max(1.0),
            answers_per_weight: self.traffic.answers_per_weight(),
            window: self.traffic.window(),
        };
        self.slow_start.refill(&mut self.servers, &refill);
    }

    /// Ejects servers that have attempts in flight and have sent no response for the silence timeout.
    fn eject_silent_servers(&mut self) {
        let timeout = outlier::silence_timeout(self.latencies.slowest_mean(), self.tick);
        for index in self.servers.indices() {
            let server = &self.servers[index];
            let silent = server.in_flight > 0 && self.now > server.silent_since + timeout;
            if server.in_service && silent && !server.ejection.is_active() {
                self.eject(index);
            }
        }
    }

    /// Starts a health check of each ejected server whose trial is due, where health checks are allowed.
    fn start_health_checks(&mut self, out: &mut Vec<Action>) {
        if !self.settings.may_health_check {
            return;
        }
        for server in self.servers.iter_mut().filter(|s| s.in_service) {
            if server.ejection.is_trial_due(self.now) {
                server.ejection.begin_trial();
                out.push(Action::HealthCheck(server.id()));
            }
        }
    }

    /// Raises the shares of servers that are not ejected. A server with its whole share has recovered: its
    /// next ejection is as short as a first one.
    fn recover_shares(&mut self) {
        for server in self.servers.iter_mut().filter(|s| s.in_service) {
            if server.ejection.is_active() {
                continue;
            }
            server.share.recover();
            if server.share.is_full() {
                server.ejection.reset_count();
            }
        }
    }

    fn update_ejected_fraction(&mut self) {
        let mut ejected_weight = 0.0;
        let mut total_weight = 0.0;
        for server in self.servers.in_service() {
            total_weight += server.endpoint.weight;
            if server.ejection.is_active() {
                ejected_weight += server.endpoint.weight;
            }
        }
        self.pool.set_ejected(ejected_weight, total_weight);
    }

    /// Decays the counts of traffic and of answer times.
    fn decay_counts(&mut self) {
        self.traffic.decay(self.tick);
        self.hot_keys.decay();
        for server in self.servers.iter_mut() {
            server.relative_latency.decay();
        }
        self.kind_latencies.decay();
        self.demand.decay();
        self.quotas.decay();
    }
}
