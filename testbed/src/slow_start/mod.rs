//! Owns the check of cold servers under the sum of a fleet: many decision modules in virtual time, which
//! share nothing, send to the same servers, and what each cold one gets from all of them together is held
//! against what topples it (STANDING). Pure and seeded; the servers are the plainest that make the point.

mod fleet;

use std::ops::Range;

use load_balancer::{Idempotency, Micros, RequestClass, Settings};
use rayon::prelude::*;

pub use fleet::simulate;

/// A second, in [`Micros`].
pub const SECOND: Micros = 1_000_000;
/// A cold server that gets more than its multiple for so long falls over.
pub const WINDOW: Micros = 3 * SECOND;
/// Beyond N requests only this many roots of N, and this many requests, pass for chance.
pub const ROOTS: f64 = 2.0;
/// See [`ROOTS`].
pub const MORE: f64 = 2.0;
/// Of what topples a cold server nodes mean to send it this part (`COLD_CARE` of the module).
pub const CARE: f64 = 0.45;

/// What happens to a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartScenario {
    /// A tenth of the servers are started anew at once.
    Start,
    /// Half of the servers are started anew in steps while all nodes are, a tenth at a time; for a moment
    /// a node's old process and its new one take requests side by side.
    Rolling,
    /// A quarter of the servers are started anew in a lull, and a rush follows.
    Rush,
    /// A fifth of the servers are told of as started and make no connection for a while. Probes are not
    /// allowed, so each node finds out by a request that they are back.
    Refusing,
    /// Six in ten servers are started anew within 7 s, at a load that all of them could just bear.
    Most,
    /// A tenth of the servers are started anew, and three nodes in four a second later, all at once.
    Herd,
}

impl RestartScenario {
    /// All of them.
    pub const ALL: [RestartScenario; 6] = [
        RestartScenario::Start,
        RestartScenario::Rolling,
        RestartScenario::Rush,
        RestartScenario::Refusing,
        RestartScenario::Most,
        RestartScenario::Herd,
    ];

    /// A short name for tables.
    pub fn name(self) -> &'static str {
        match self {
            RestartScenario::Start => "start",
            RestartScenario::Rolling => "rolling",
            RestartScenario::Rush => "rush",
            RestartScenario::Refusing => "refusing",
            RestartScenario::Most => "most",
            RestartScenario::Herd => "herd",
        }
    }
}

/// One play.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// What happens.
    pub story: RestartScenario,
    /// Nodes.
    pub nodes: usize,
    /// Servers.
    pub servers: usize,
    /// Requests a second, by servers.
    pub rate: f64,
    /// The part of the servers' warm capacity that those take.
    pub load: f64,
    /// Where chance begins.
    pub seed: u64,
}

impl Plan {
    /// A fleet of so many nodes: thinner traffic between a node and a server the more there are, down to
    /// a request in 70 s at 1,900.
    pub fn of(story: RestartScenario, nodes: usize, servers: Option<usize>, seed: u64) -> Plan {
        let servers = servers.unwrap_or(if nodes < 100 { 20 } else { nodes / 10 });
        let load = if story == RestartScenario::Most {
            1.0
        } else {
            0.7
        };
        Plan {
            story,
            nodes,
            servers,
            rate: 27.0,
            load,
            seed,
        }
    }

    /// What its nodes are told; the number of each comes on top.
    pub fn settings(&self) -> Settings {
        let class = |semantics, aim, deadline| RequestClass {
            latency_objective: aim,
            deadline,
            priority_weight: 1.0,
            late_value: 0.25,
            idempotency: semantics,
            in_order: false,
        };
        Settings {
            node_count: self.nodes as u32,
            classes: vec![
                class(Idempotency::Idempotent, SECOND / 2, 2 * SECOND),
                class(Idempotency::NonIdempotent, SECOND * 2 / 5, SECOND * 4 / 5),
            ],
            key_affinity: true,
            may_cancel: true,
            may_health_check: self.story != RestartScenario::Refusing,
            max_attempts: 3,
            cold_capacity: 0.13,
            slow_start_time: 23 * SECOND,
            cold_overload_factor: 3.0,
            connect_timeout: SECOND / 5,
            ..Settings::default()
        }
    }
}

/// Plays a story at a size with each of some seeds.
pub fn simulate_seeds(
    story: RestartScenario,
    nodes: usize,
    servers: Option<usize>,
    seeds: Range<u64>,
) -> Figures {
    let plays: Vec<Figures> = seeds
        .into_par_iter()
        .map(|seed| simulate(&Plan::of(story, nodes, servers, seed)))
        .collect();
    let mut all = Figures::default();
    plays.into_iter().for_each(|figures| all.add(figures));
    all
}

/// What came of one play, or of several.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Starts of servers.
    pub starts: u64,
    /// Starts of which a window held more than N + 2 roots of N + 2 requests.
    pub overloaded: u64,
    /// For each play, the most by which a window was over N, in roots of N.
    pub worst: Vec<f64>,
    /// For each play, the most by which a window was over what the nodes mean to send in it (their
    /// budget B, [`CARE`] of what topples a server as loaded as the mean), in roots of B.
    pub scatter: Vec<f64>,
    /// Requests that cold servers got, and the most that it would have been by capacity and by demand.
    pub got: f64,
    /// See [`Figures::got`].
    pub could: f64,
    /// The same, of the first 6 s after a start.
    pub early: (f64, f64),
    /// Requests, and those of them that were served.
    pub asked: u64,
    /// See [`Figures::asked`].
    pub served: u64,
}

impl Figures {
    /// Adds those of another play.
    pub fn add(&mut self, other: Figures) {
        self.starts += other.starts;
        self.overloaded += other.overloaded;
        self.worst.extend(other.worst);
        self.scatter.extend(other.scatter);
        self.got += other.got;
        self.could += other.could;
        self.early = (self.early.0 + other.early.0, self.early.1 + other.early.1);
        self.asked += other.asked;
        self.served += other.served;
    }

    /// The part of what cold servers could have done that they were given.
    pub fn used(&self) -> f64 {
        self.got / self.could.max(f64::MIN_POSITIVE)
    }

    /// What this part of the plays stays under, of an excess by plays.
    pub fn under(excess: &[f64], part: f64) -> f64 {
        let mut sorted = excess.to_vec();
        sorted.sort_by(f64::total_cmp);
        let at = (sorted.len() as f64 * part).ceil() as usize;
        sorted
            .get(at.clamp(1, sorted.len().max(1)) - 1)
            .copied()
            .unwrap_or(f64::NEG_INFINITY)
    }

    /// The figures on one line.
    pub fn line(&self) -> String {
        let early = self.early.0 / self.early.1.max(f64::MIN_POSITIVE);
        format!(
            "over N in roots of N: p99 {:>5.2} most {:>5.2}; over B in roots of B: p50 {:>4.2} p99 {:>4.2} \
             most {:>4.2}; toppled {} of {} starts; \
             used {:.2} (first 6 s {early:.2}); served {:.3}; {} plays",
            Figures::under(&self.worst, 0.99),
            Figures::under(&self.worst, 1.0),
            Figures::under(&self.scatter, 0.5),
            Figures::under(&self.scatter, 0.99),
            Figures::under(&self.scatter, 1.0),
            self.overloaded,
            self.starts,
            self.used(),
            self.served as f64 / self.asked.max(1) as f64,
            self.worst.len()
        )
    }
}
