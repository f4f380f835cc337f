//! Owns what clients ask and when: an open loop, drawn ahead from the seed. A slow node does not slow it.

use std::f64::consts::TAU;

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use rand_pcg::Pcg64;

use super::{Micros, SECOND};
use crate::scenario::{FaultKind, RetrySafety, Scenario, Span};

/// A client's request, with all that the client will do about it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Its number, from 1.
    pub serial: u64,
    /// When its first try is due.
    pub first_try_at: Micros,
    /// Place of the client's zone.
    pub zone: usize,
    /// Place of its class.
    pub class: usize,
    /// What it is about.
    pub key: u64,
    /// Work in microseconds at speed 1.
    pub work: Micros,
    /// Time spent waiting for others at the server.
    pub io_wait: Micros,
    /// The client's guess at the work.
    pub cost_hint: Micros,
    /// The client's whole wait.
    pub deadline: Micros,
    /// A try takes this part of it at most.
    pub try_share: f64,
    /// Tries after the first.
    pub retries: u32,
    /// Wait before the first of them.
    pub backoff: Micros,
    /// It heeds `Retry-After`.
    pub honors_retry_after: bool,
    /// Up to this.
    pub max_retry_after: Micros,
    /// It leaves after this time and does not come back.
    pub abandons_after: Option<Micros>,
    /// Whether it may run more than once.
    pub retry_safety: RetrySafety,
    /// Bytes of its body.
    pub body_bytes: usize,
    /// Bytes of the answer's body.
    pub response_bytes: usize,
}

/// All requests of a day, in the order of their times.
#[derive(Debug)]
pub struct Demand {
    rng: Pcg64,
    classes: Vec<Draw>,
    zipf: Zipf<f64>,
    hint: LogNormal<f64>,
    /// Requests a second on average, and at most.
    rate: f64,
    most: f64,
    swing: f64,
    /// Seconds of the swing's two waves, and where they begin.
    waves: [(f64, f64); 2],
    bursts: Vec<(Micros, Micros, f64)>,
    zones: Vec<f64>,
    terms: Terms,
    end: Micros,
    at: f64,
    serial: u64,
}

#[derive(Debug)]
struct Draw {
    until: f64,
    work: LogNormal<f64>,
    io: f64,
    deadline: Micros,
    retry_safety: RetrySafety,
    body: Span,
    answer: Span,
}

#[derive(Debug)]
struct Terms {
    retries: Span,
    try_share: f64,
    backoff: Micros,
    honour: f64,
    max_retry_after: Micros,
    impatient: f64,
}

impl Demand {
    /// The requests of a scenario and a seed for a fleet of this capacity (microseconds of work a
    /// microsecond), over `seconds`.
    pub fn new(scenario: &Scenario, seed: u64, capacity: f64, seconds: f64) -> Demand {
        let mut rng = Pcg64::seed_from_u64(seed ^ 0xd3a4_91c1);
        let load = &scenario.load;
        let total: f64 = load.class.iter().map(|class| class.share.0).sum();
        let (mut until, mut mean) = (0.0, 0.0);
        let classes = load.class.iter().map(|class| {
            let share = class.share.0 / total.max(1e-9);
            until += share;
            let work = (class.work_ms.draw(&mut rng) * 1e3 * load.work_scale.0).max(1.0);
            mean += share * work;
            let spread = class.spread.draw(&mut rng).max(0.01);
            Draw {
                until,
                work: log_normal(work, spread),
                io: class.io_ms.draw(&mut rng) * 1e3 * load.work_scale.0,
                deadline: (class.deadline_ms.0 * 1e3) as Micros,
                retry_safety: class.retry_safety,
                body: class.body_bytes,
                answer: class.answer_bytes,
            }
        });
        let classes: Vec<Draw> = classes.collect();
        let rate = load.level.0 * capacity / mean.max(1.0) * 1e6;
        let swing = load.swing.draw(&mut rng).min(0.95);
        let bursts: Vec<(Micros, Micros, f64)> = scenario
            .faults
            .iter()
            .map(|trouble| trouble.get_ref())
            .filter(|trouble| trouble.kind == FaultKind::Burst)
            .filter_map(|t| {
                Some((
                    t.at_s.micros(),
                    t.at_s.micros() + t.for_s?.micros(),
                    t.size?.0,
                ))
            })
            .collect();
        let peak = bursts.iter().map(|burst| burst.2).fold(1.0, f64::max);
        let zones = scenario.fleet.zones.len();
        let skew = load.zone_skew.draw(&mut rng).min(1.0);
        // Every second zone gives a part of its traffic to the one before it.
        let weight = |zone: usize| match zone % 2 {
            0 if zone + 1 < zones => 1.0 + skew,
            0 => 1.0,
            _ => 1.0 - skew,
        };
        let keys = load.keys.draw(&mut rng).max(1.0);
        let exponent = load.key_zipf.draw(&mut rng);
        let clients = &scenario.clients;
        Demand {
            zipf: Zipf::new(keys.floor(), exponent)
                .expect("one key or more, an exponent of 0 or more"),
            hint: LogNormal::new(0.0, load.hint_noise.0).expect("a finite deviation"),
            rate,
            most: rate * (1.0 + swing) * peak,
            swing,
            waves: [5.0, 13.0].map(|span| (span * (0.8 + 0.4 * rng.random::<f64>()), rng.random())),
            bursts,
            zones: (0..zones).map(weight).collect(),
            terms: Terms {
                retries: clients.retries,
                try_share: clients.try_share.draw(&mut rng).clamp(0.01, 1.0),
                backoff: (clients.backoff_ms.draw(&mut rng) * 1e3) as Micros,
                honour: clients.honour.draw(&mut rng),
                max_retry_after: (clients.honour_most_ms.0 * 1e3) as Micros,
                impatient: clients.impatient.0,
            },
            end: (seconds * 1e6) as Micros,
            at: 0.0,
            serial: 0,
            classes,
            rng,
        }
    }

    /// Requests a second, on average.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Requests a second at this time.
    fn rate_at(&self, at: f64) -> f64 {
        let waves: f64 = self
            .waves
            .iter()
            .map(|(span, from)| ((at / 1e6 / span + from) * TAU).sin())
            .sum();
        let burst = |b: &&(Micros, Micros, f64)| (b.0..b.1).contains(&(at as Micros));
        let times: f64 = self
            .bursts
            .iter()
            .filter(burst)
            .map(|b| b.2)
            .fold(1.0, f64::max);
        self.rate * (1.0 + self.swing * waves / 2.0) * times
    }

    fn draw(&mut self) -> ClientRequest {
        self.serial += 1;
        let rng = &mut self.rng;
        let pick: f64 = rng.random();
        let class = self
            .classes
            .iter()
            .position(|class| pick < class.until)
            .unwrap_or(self.classes.len() - 1);
        let draw = &self.classes[class];
        let total: f64 = self.zones.iter().sum();
        let mut left = rng.random::<f64>() * total;
        let zone = self.zones.iter().position(|weight| {
            left -= weight;
            left < 0.0
        });
        let work = draw.work.sample(rng).max(1.0);
        let impatient = rng.random::<f64>() < self.terms.impatient;
        let abandons_after =
            impatient.then(|| (draw.deadline as f64 * 0.2 * rng.random::<f64>()) as Micros + 5_000);
        ClientRequest {
            serial: self.serial,
            first_try_at: self.at as Micros,
            zone: zone.unwrap_or(0),
            class,
            key: self.zipf.sample(rng) as u64,
            work: work as Micros,
            io_wait: draw.io as Micros,
            cost_hint: (work * self.hint.sample(rng)) as Micros,
            deadline: draw.deadline,
            try_share: self.terms.try_share,
            retries: self.terms.retries.draw(rng).round() as u32,
            backoff: (self.terms.backoff as f64 * (0.5 + rng.random::<f64>())) as Micros,
            honors_retry_after: rng.random::<f64>() < self.terms.honour,
            max_retry_after: self.terms.max_retry_after,
            abandons_after,
            retry_safety: draw.retry_safety,
            body_bytes: if draw.retry_safety == RetrySafety::Safe {
                0
            } else {
                draw.body.draw(rng) as usize
            },
            response_bytes: draw.answer.draw(rng) as usize,
        }
    }
}

impl Iterator for Demand {
    type Item = ClientRequest;

    /// The next request: a Poisson process of a varying rate, by thinning.
    fn next(&mut self) -> Option<ClientRequest> {
        let gap = Exp::new((self.most / SECOND as f64).max(1e-12)).expect("a rate above 0");
        loop {
            self.at += gap.sample(&mut self.rng);
            if self.at >= self.end as f64 {
                return None;
            }
            if self.rng.random::<f64>() * self.most < self.rate_at(self.at) {
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
    fn requests_come_at_the_stated_level_with_few_popular_keys() {
        let scenario = Scenario::read("t", "title = \"t\"\n[load]\nlevel = 0.5\n").unwrap();
        let capacity = 18.0;
        let asks: Vec<ClientRequest> = Demand::new(&scenario, 9, capacity, 400.0).collect();
        let work: f64 = asks.iter().map(|ask| ask.work as f64).sum::<f64>() / 400e6;
        assert!(
            (work / capacity - 0.5).abs() < 0.05,
            "level {}",
            work / capacity
        );
        let first = asks.iter().filter(|ask| ask.key == 1).count() as f64 / asks.len() as f64;
        assert!(first > 0.005, "the first key has a share of {first}");
        assert!(asks
            .windows(2)
            .all(|pair| pair[0].first_try_at <= pair[1].first_try_at));
        let again: Vec<ClientRequest> = Demand::new(&scenario, 9, capacity, 400.0).collect();
        assert!(asks == again);
    }
}
