//! Checks slow start under a whole fleet: many balancer modules in virtual time, which share nothing, send to
//! the same servers, and the load that each cold server gets from all of them together is compared with the
//! load that overloads it (STANDING). A run is determined by its seed and does no I/O. The model of a server
//! is the simplest that shows the effect.

mod fleet;

use std::ops::Range;

use load_balancer::{Idempotency, Micros, RequestClass, Settings};
use rayon::prelude::*;

pub use fleet::simulate;

/// One second, in [`Micros`].
pub const SECOND: Micros = 1_000_000;
/// A cold server is overloaded if it gets more requests in this window than the overload factor times what
/// its current capacity serves in it.
pub const OVERLOAD_WINDOW: Micros = 3 * SECOND;
/// A window that allows N requests may hold this many square roots of N more, and [`TOLERANCE_REQUESTS`],
/// without counting as overloaded: arrivals are random.
pub const TOLERANCE_ROOTS: f64 = 2.0;
/// Requests that a window may hold in addition to the square roots of [`TOLERANCE_ROOTS`].
pub const TOLERANCE_REQUESTS: f64 = 2.0;
/// Share of the overloading rate at which the nodes aim: `SAFE_LOAD` of the balancer's slow start.
pub const TARGET_SHARE: f64 = 0.45;

/// Restarts that happen to a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartScenario {
    /// A tenth of the servers restart at once.
    Start,
    /// Half of the servers restart one after the other while all nodes restart, a tenth at a time. A node's
    /// old and new process take requests side by side for a moment.
    Rolling,
    /// A quarter of the servers restart during a lull in traffic, which a rush follows.
    Rush,
    /// A fifth of the servers are announced as restarted and refuse connections for a while. Health checks
    /// are off, so each node finds out by a request that they are back.
    Refusing,
    /// Six in ten servers restart within 7 s, at a load that all of them together can just bear.
    Most,
    /// A tenth of the servers restart, and three nodes in four a second later, all at once.
    Herd,
}

impl RestartScenario {
    /// All scenarios.
    pub const ALL: [RestartScenario; 6] = [
        RestartScenario::Start,
        RestartScenario::Rolling,
        RestartScenario::Rush,
        RestartScenario::Refusing,
        RestartScenario::Most,
        RestartScenario::Herd,
    ];

    /// Short name for tables.
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

/// Settings of one run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The restarts.
    pub scenario: RestartScenario,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of servers.
    pub servers: usize,
    /// Requests per second and server.
    pub rate: f64,
    /// Fraction of the servers' warm capacity that these requests take.
    pub load: f64,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl Plan {
    /// The plan for a fleet of `nodes` nodes. The more nodes, the thinner the traffic between a node and a
    /// server: down to one request in 70 s with 1,900 nodes.
    pub fn of(scenario: RestartScenario, nodes: usize, servers: Option<usize>, seed: u64) -> Plan {
        let servers = servers.unwrap_or(if nodes < 100 { 20 } else { nodes / 10 });
        let load = if scenario == RestartScenario::Most {
            1.0
        } else {
            0.7
        };
        Plan {
            scenario,
            nodes,
            servers,
            rate: 27.0,
            load,
            seed,
        }
    }

    /// Settings of the nodes; the index of each node is added to them.
    pub fn settings(&self) -> Settings {
        let class = |idempotency, latency_objective, deadline| RequestClass {
            latency_objective,
            deadline,
            priority_weight: 1.0,
            late_value: 0.25,
            idempotency,
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
            may_health_check: self.scenario != RestartScenario::Refusing,
            max_attempts: 3,
            cold_capacity: 0.13,
            slow_start_time: 23 * SECOND,
            cold_overload_factor: 3.0,
            connect_timeout: SECOND / 5,
            ..Settings::default()
        }
    }
}

/// Simulates a scenario at one fleet size, once per seed, and adds up the results.
pub fn simulate_seeds(
    scenario: RestartScenario,
    nodes: usize,
    servers: Option<usize>,
    seeds: Range<u64>,
) -> Figures {
    let runs: Vec<Figures> = seeds
        .into_par_iter()
        .map(|seed| simulate(&Plan::of(scenario, nodes, servers, seed)))
        .collect();
    let mut all = Figures::default();
    runs.into_iter().for_each(|figures| all.add(figures));
    all
}

/// Results of one run, or of several.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Restarts of servers.
    pub starts: u64,
    /// Restarts after which a window held more requests than the tolerance allows, see [`TOLERANCE_ROOTS`].
    pub overloaded: u64,
    /// For each run, the largest excess of a window over the N requests that it allows, in square roots of N.
    pub worst_excess: Vec<f64>,
    /// For each run, the largest excess of a window over the B requests at which the nodes aim
    /// ([`TARGET_SHARE`] of the rate that overloads a server with the mean load), in square roots of B.
    pub target_excess: Vec<f64>,
    /// Requests that cold servers got; compare [`Figures::possible`].
    pub received: f64,
    /// Requests that cold servers could have served, by their capacity and by the demand.
    pub possible: f64,
    /// Requests that cold servers got, and those that they could have served, in the first 6 s after a restart.
    pub early: (f64, f64),
    /// Clients' requests.
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
}

impl Figures {
    /// Adds the results of another run.
    pub fn add(&mut self, other: Figures) {
        self.starts += other.starts;
        self.overloaded += other.overloaded;
        self.worst_excess.extend(other.worst_excess);
        self.target_excess.extend(other.target_excess);
        self.received += other.received;
        self.possible += other.possible;
        self.early = (self.early.0 + other.early.0, self.early.1 + other.early.1);
        self.requests += other.requests;
        self.served += other.served;
    }

    /// Requests that cold servers got, as a fraction of those that they could have served.
    pub fn utilization(&self) -> f64 {
        self.received / self.possible.max(f64::MIN_POSITIVE)
    }

    /// The excess that a fraction `part` of the runs does not exceed; negative infinity without runs.
    pub fn quantile(excess: &[f64], part: f64) -> f64 {
        let mut sorted = excess.to_vec();
        sorted.sort_by(f64::total_cmp);
        let at = (sorted.len() as f64 * part).ceil() as usize;
        sorted
            .get(at.clamp(1, sorted.len().max(1)) - 1)
            .copied()
            .unwrap_or(f64::NEG_INFINITY)
    }

    /// The results on one line.
    pub fn line(&self) -> String {
        let early = self.early.0 / self.early.1.max(f64::MIN_POSITIVE);
        format!(
            "over N in roots of N: p99 {:>5.2} most {:>5.2}; over B in roots of B: p50 {:>4.2} p99 {:>4.2} \
             most {:>4.2}; toppled {} of {} starts; \
             used {:.2} (first 6 s {early:.2}); served {:.3}; {} plays",
            Figures::quantile(&self.worst_excess, 0.99),
            Figures::quantile(&self.worst_excess, 1.0),
            Figures::quantile(&self.target_excess, 0.5),
            Figures::quantile(&self.target_excess, 0.99),
            Figures::quantile(&self.target_excess, 1.0),
            self.overloaded,
            self.starts,
            self.utilization(),
            self.served as f64 / self.requests.max(1) as f64,
            self.worst_excess.len()
        )
    }
}
