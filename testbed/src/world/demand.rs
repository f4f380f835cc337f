//! The requests of the clients: an open-loop generator, drawn from the seed. Its rate does not depend on how fast
//! the nodes respond.

use std::f64::consts::TAU;

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use rand_pcg::Pcg64;

use super::{Micros, SECOND};
use crate::scenario::{FaultKind, RetrySafety, Scenario, ValueRange};

/// A client's request, with the client's retry and time-out behaviour.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Number of the request, from 1.
    pub serial: u64,
    /// When the first try is due.
    pub first_try_at: Micros,
    /// Index of the client's zone.
    pub zone: usize,
    /// Index of the class.
    pub class: usize,
    /// Key that the request is about.
    pub key: u64,
    /// Work in microseconds of a core of speed 1.
    pub work: Micros,
    /// Time that the request waits for I/O at the server.
    pub io_wait: Micros,
    /// The client's estimate of the work, in microseconds.
    pub cost_hint: Micros,
    /// Time from the first try after which the client gives up.
    pub deadline: Micros,
    /// Time-out of a try, as a share of `deadline`.
    pub try_share: f64,
    /// Number of tries after the first.
    pub retries: u32,
    /// Wait before the first retry.
    pub backoff: Micros,
    /// Whether the client honors `Retry-After`.
    pub honors_retry_after: bool,
    /// Longest `Retry-After` that the client honors.
    pub max_retry_after: Micros,
    /// Time after which the client abandons its try and does not retry, if it is one that does.
    pub abandons_after: Option<Micros>,
    /// Whether the request may be executed more than once.
    pub retry_safety: RetrySafety,
    /// Bytes of the request body.
    pub body_bytes: usize,
    /// Bytes of the response body.
    pub response_bytes: usize,
}

/// Iterator over all requests of a run, in the order of their first tries.
#[derive(Debug)]
pub struct Demand {
    rng: Pcg64,
    classes: Vec<ClassParameters>,
    zipf: Zipf<f64>,
    cost_hint_error: LogNormal<f64>,
    /// Mean rate, in requests per second.
    rate: f64,
    /// Upper bound of the rate, in requests per second. Arrivals are drawn at this rate and thinned out to `rate_at`.
    max_rate: f64,
    rate_amplitude: f64,
    /// The two sine waves of the rate: period in seconds, and phase as a share of the period.
    waves: [(f64, f64); 2],
    /// Start, end and factor of each burst.
    bursts: Vec<(Micros, Micros, f64)>,
    /// Weight of each zone's traffic.
    zone_weights: Vec<f64>,
    clients: ClientParameters,
    end: Micros,
    at: f64,
    serial: u64,
}

#[derive(Debug)]
struct ClassParameters {
    /// Sum of the shares up to and including this class.
    cumulative_share: f64,
    work: LogNormal<f64>,
    io_wait: f64,
    deadline: Micros,
    retry_safety: RetrySafety,
    body_bytes: ValueRange,
    response_bytes: ValueRange,
}

#[derive(Debug)]
struct ClientParameters {
    retries: ValueRange,
    try_share: f64,
    backoff: Micros,
    honor_retry_after_share: f64,
    max_retry_after: Micros,
    early_abandon_share: f64,
}

impl Demand {
    /// The requests of a scenario and a seed over `seconds`, for a fleet of this capacity (microseconds of work per
    /// microsecond).
    pub fn new(scenario: &Scenario, seed: u64, capacity: f64, seconds: f64) -> Demand {
        let mut rng = Pcg64::seed_from_u64(seed ^ 0xd3a4_91c1);
        let load = &scenario.load;
        let total: f64 = load.class.iter().map(|class| class.share.0).sum();
        let (mut cumulative_share, mut mean) = (0.0, 0.0);
        let classes = load.class.iter().map(|class| {
            let share = class.share.0 / total.max(1e-9);
            cumulative_share += share;
            let work = (class.work_ms.draw(&mut rng) * 1e3 * load.work_scale.0).max(1.0);
            mean += share * work;
            let variation = class.work_variation.draw(&mut rng).max(0.01);
            ClassParameters {
                cumulative_share,
                work: log_normal(work, variation),
                io_wait: class.io_wait_ms.draw(&mut rng) * 1e3 * load.work_scale.0,
                deadline: (class.deadline_ms.0 * 1e3) as Micros,
                retry_safety: class.retry_safety,
                body_bytes: class.body_bytes,
                response_bytes: class.response_bytes,
            }
        });
        let classes: Vec<ClassParameters> = classes.collect();
        let rate = load.offered_load.0 * capacity / mean.max(1.0) * 1e6;
        let rate_amplitude = load.rate_amplitude.draw(&mut rng).min(0.95);
        let bursts: Vec<(Micros, Micros, f64)> = scenario
            .faults
            .iter()
            .map(|fault| fault.get_ref())
            .filter(|fault| fault.kind == FaultKind::Burst)
            .filter_map(|fault| {
                Some((
                    fault.at_s.micros(),
                    fault.at_s.micros() + fault.for_s?.micros(),
                    fault.magnitude?.0,
                ))
            })
            .collect();
        let peak = bursts.iter().map(|burst| burst.2).fold(1.0, f64::max);
        let zones = scenario.fleet.zones.len();
        let skew = load.zone_skew.draw(&mut rng).min(1.0);
        // Every second zone gives a share of its traffic to the zone before it.
        let weight = |zone: usize| match zone % 2 {
            0 if zone + 1 < zones => 1.0 + skew,
            0 => 1.0,
            _ => 1.0 - skew,
        };
        let keys = load.keys.draw(&mut rng).max(1.0);
        let exponent = load.key_zipf_exponent.draw(&mut rng);
        let clients = &scenario.clients;
        Demand {
            zipf: Zipf::new(keys.floor(), exponent)
                .expect("one key or more, an exponent of 0 or more"),
            cost_hint_error: LogNormal::new(0.0, load.cost_hint_noise.0)
                .expect("a finite deviation"),
            rate,
            max_rate: rate * (1.0 + rate_amplitude) * peak,
            rate_amplitude,
            waves: [5.0, 13.0]
                .map(|period| (period * (0.8 + 0.4 * rng.random::<f64>()), rng.random())),
            bursts,
            zone_weights: (0..zones).map(weight).collect(),
            clients: ClientParameters {
                retries: clients.retries,
                try_share: clients.try_timeout_share.draw(&mut rng).clamp(0.01, 1.0),
                backoff: (clients.backoff_ms.draw(&mut rng) * 1e3) as Micros,
                honor_retry_after_share: clients.honor_retry_after_share.draw(&mut rng),
                max_retry_after: (clients.max_retry_after_ms.0 * 1e3) as Micros,
                early_abandon_share: clients.early_abandon_share.0,
            },
            end: (seconds * 1e6) as Micros,
            at: 0.0,
            serial: 0,
            classes,
            rng,
        }
    }

    /// Mean rate, in requests per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Rate at this time, in requests per second.
    fn rate_at(&self, at: f64) -> f64 {
        let waves: f64 = self
            .waves
            .iter()
            .map(|(period, phase)| ((at / 1e6 / period + phase) * TAU).sin())
            .sum();
        let burst = |b: &&(Micros, Micros, f64)| (b.0..b.1).contains(&(at as Micros));
        let factor: f64 = self
            .bursts
            .iter()
            .filter(burst)
            .map(|b| b.2)
            .fold(1.0, f64::max);
        self.rate * (1.0 + self.rate_amplitude * waves / 2.0) * factor
    }

    fn draw(&mut self) -> ClientRequest {
        self.serial += 1;
        let rng = &mut self.rng;
        let pick: f64 = rng.random();
        let class = self
            .classes
            .iter()
            .position(|class| pick < class.cumulative_share)
            .unwrap_or(self.classes.len() - 1);
        let parameters = &self.classes[class];
        let total: f64 = self.zone_weights.iter().sum();
        let mut rest = rng.random::<f64>() * total;
        let zone = self.zone_weights.iter().position(|weight| {
            rest -= weight;
            rest < 0.0
        });
        let work = parameters.work.sample(rng).max(1.0);
        let abandons_early = rng.random::<f64>() < self.clients.early_abandon_share;
        let abandons_after = abandons_early
            .then(|| (parameters.deadline as f64 * 0.2 * rng.random::<f64>()) as Micros + 5_000);
        ClientRequest {
            serial: self.serial,
            first_try_at: self.at as Micros,
            zone: zone.unwrap_or(0),
            class,
            key: self.zipf.sample(rng) as u64,
            work: work as Micros,
            io_wait: parameters.io_wait as Micros,
            cost_hint: (work * self.cost_hint_error.sample(rng)) as Micros,
            deadline: parameters.deadline,
            try_share: self.clients.try_share,
            retries: self.clients.retries.draw(rng).round() as u32,
            backoff: (self.clients.backoff as f64 * (0.5 + rng.random::<f64>())) as Micros,
            honors_retry_after: rng.random::<f64>() < self.clients.honor_retry_after_share,
            max_retry_after: self.clients.max_retry_after,
            abandons_after,
            retry_safety: parameters.retry_safety,
            body_bytes: if parameters.retry_safety == RetrySafety::Safe {
                0
            } else {
                parameters.body_bytes.draw(rng) as usize
            },
            response_bytes: parameters.response_bytes.draw(rng) as usize,
        }
    }
}

impl Iterator for Demand {
    type Item = ClientRequest;

    /// The next request. Requests form a Poisson process of varying rate, generated by thinning.
    fn next(&mut self) -> Option<ClientRequest> {
        let gap = Exp::new((self.max_rate / SECOND as f64).max(1e-12)).expect("a rate above 0");
        loop {
            self.at += gap.sample(&mut self.rng);
            if self.at >= self.end as f64 {
                return None;
            }
            if self.rng.random::<f64>() * self.max_rate < self.rate_at(self.at) {
                return Some(self.draw());
            }
        }
    }
}

/// The log-normal distribution of this mean and coefficient of variation.
fn log_normal(mean: f64, variation: f64) -> LogNormal<f64> {
    let variance = (1.0 + variation * variation).ln();
    LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt()).expect("a finite mean above 0")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn requests_have_the_configured_load_and_a_few_popular_keys() {
        let scenario = Scenario::read("t", "title = \"t\"\n[load]\nlevel = 0.5\n").unwrap();
        let capacity = 18.0;
        let requests: Vec<ClientRequest> = Demand::new(&scenario, 9, capacity, 400.0).collect();
        let work: f64 = requests
            .iter()
            .map(|request| request.work as f64)
            .sum::<f64>()
            / 400e6;
        assert!(
            (work / capacity - 0.5).abs() < 0.05,
            "level {}",
            work / capacity
        );
        let first = requests.iter().filter(|request| request.key == 1).count() as f64
            / requests.len() as f64;
        assert!(first > 0.005, "the first key has a share of {first}");
        assert!(requests
            .windows(2)
            .all(|pair| pair[0].first_try_at <= pair[1].first_try_at));
        let again: Vec<ClientRequest> = Demand::new(&scenario, 9, capacity, 400.0).collect();
        assert!(requests == again);
    }
}
