//! One simulated run: arrivals, node processes, servers, and the queue of events.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use load_balancer::{
    Action, AttemptResult, Balancer, CellId, ClassId, Endpoint, Event, Key, KindId, Micros,
    Outcome, Request, RequestId, ServerId, ServerState, Settings, TimerId, UpdateKind, ZoneId,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::{
    Figures, Plan, RestartScenario, OVERLOAD_WINDOW, SECOND, TARGET_SHARE, TOLERANCE_REQUESTS,
    TOLERANCE_ROOTS,
};

/// Virtual time at the start of a run.
const BEGIN: Micros = 1_000 * SECOND;
/// Virtual time at which the restarts begin, once the nodes know their traffic.
const RESTARTS_AT: Micros = BEGIN + 12 * SECOND;
/// Virtual time at the end of the run.
const END: Micros = RESTARTS_AT + 36 * SECOND;
/// Time over which servers and nodes restart in [`RestartScenario::Rolling`].
const ROLLING_TIME: Micros = 20 * SECOND;
/// Time for which a node's old process still takes half of its requests.
const PROCESS_OVERLAP: Micros = SECOND;
/// Longest delay until a node learns of a restart.
const MAX_UPDATE_DELAY: Micros = 300_000;
/// Time for which servers refuse connections in [`RestartScenario::Refusing`].
const REFUSAL_TIME: Micros = 2 * SECOND;
/// Fractions of the nodes, with their traffic as a multiple of the mean.
const NODE_TRAFFIC: [(f64, f64); 3] = [(0.7, 0.5), (0.2, 1.0), (0.1, 4.5)];
/// Fraction of the requests that use one of a few hot keys.
const HOT_KEY_SHARE: f64 = 0.1;
const HOT_KEYS: u64 = 50;
const CORES: f64 = 2.0;
const IO_WAIT_US: f64 = 10_000.0;
/// Time until a refused connection is reported.
const REFUSED_AFTER: Micros = 2_000;
/// Interval at which the possible work of cold servers is counted.
const COUNT_INTERVAL: Micros = 50_000;
/// Time after a restart whose work is also counted separately.
const EARLY_TIME: Micros = 6 * SECOND;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Timer(usize, TimerId),
    AttemptResult {
        process: usize,
        request: u64,
        attempt: u32,
        server: usize,
        code: u8,
        elapsed: Micros,
    },
    Abandon(usize, u64),
    ServerRestart(usize),
    EndpointUpdate(usize, usize),
    NodeRestart(usize),
    CountDemand,
}

struct Server {
    capacity: f64,
    since: Micros,
    refuses_until: Micros,
    /// Virtual time at which the server has finished all accepted work.
    free_at: f64,
    /// Arrival times in the latest window, since the restart.
    window: VecDeque<Micros>,
    overloaded: bool,
}

struct Process {
    balancer: Balancer,
    /// For each open request, the number of its next attempt.
    attempts: BTreeMap<u64, u32>,
    /// Virtual time at which the process ends, once another one has replaced it.
    gone: Micros,
}

struct Fleet {
    plan: Plan,
    settings: Settings,
    rng: Pcg64,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64, ScheduledEvent)>>,
    order: u64,
    servers: Vec<Server>,
    processes: Vec<Process>,
    /// For each node its process, and the previous one with the time until which it takes requests.
    nodes: Vec<(usize, Option<(usize, Micros)>)>,
    /// Cumulative traffic of the nodes, for picking one at random.
    weights: Vec<f64>,
    figures: Figures,
    worst_excess: f64,
    target_excess: f64,
}

/// Runs a plan.
pub fn simulate(plan: &Plan) -> Figures {
    let mut fleet = Fleet::new(plan);
    fleet.set_up();
    fleet.run();
    fleet.finish()
}

impl Fleet {
    fn new(plan: &Plan) -> Fleet {
        let mut rng = Pcg64::seed_from_u64(plan.seed);
        let servers = (0..plan.servers).map(|i| Server {
            capacity: plan.rate / plan.load * [0.9, 1.0, 1.1][i % 3],
            since: 0,
            refuses_until: 0,
            free_at: 0.0,
            window: VecDeque::new(),
            overloaded: false,
        });
        let mut sum = 0.0;
        let weights = (0..plan.nodes).map(|_| {
            let mut at = rng.random::<f64>();
            let kind = NODE_TRAFFIC.iter().find(|(part, _)| {
                at -= part;
                at <= 0.0
            });
            sum += kind.unwrap_or(&NODE_TRAFFIC[0]).1;
            sum
        });
        let weights = weights.collect();
        Fleet {
            plan: *plan,
            settings: plan.settings(),
            now: BEGIN,
            queue: BinaryHeap::new(),
            order: 0,
            servers: servers.collect(),
            processes: Vec::new(),
            nodes: Vec::new(),
            weights,
            figures: Figures::default(),
            worst_excess: f64::NEG_INFINITY,
            target_excess: f64::NEG_INFINITY,
            rng,
        }
    }

    fn schedule(&mut self, at: Micros, event: ScheduledEvent) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, event)));
    }

    fn set_up(&mut self) {
        for node in 0..self.plan.nodes {
            let process = self.start(node);
            self.nodes.push((process, None));
        }
        let some = |part: usize| (0..self.plan.servers).filter(move |i| i % part == part / 2);
        let starts: Vec<(usize, Micros)> = match self.plan.scenario {
            RestartScenario::Start => some(10).map(|i| (i, RESTARTS_AT)).collect(),
            RestartScenario::Rolling => {
                let half: Vec<usize> = some(2).collect();
                let step = ROLLING_TIME / half.len() as u64;
                half.iter()
                    .enumerate()
                    .map(|(n, &i)| (i, RESTARTS_AT + step * n as u64))
                    .collect()
            }
            RestartScenario::Rush => some(4).map(|i| (i, RESTARTS_AT)).collect(),
            RestartScenario::Refusing => some(5).map(|i| (i, RESTARTS_AT)).collect(),
            RestartScenario::Most => {
                let most: Vec<usize> = (0..self.plan.servers).filter(|i| i % 5 < 3).collect();
                let step = 7 * SECOND / most.len() as u64;
                most.iter()
                    .enumerate()
                    .map(|(n, &i)| (i, RESTARTS_AT + step * n as u64))
                    .collect()
            }
            RestartScenario::Herd => some(10).map(|i| (i, RESTARTS_AT)).collect(),
        };
        self.schedule(RESTARTS_AT, ScheduledEvent::CountDemand);
        for (server, at) in starts {
            self.schedule(at, ScheduledEvent::ServerRestart(server));
        }
        if self.plan.scenario == RestartScenario::Herd {
            for node in (0..self.plan.nodes).filter(|node| node % 4 > 0) {
                self.schedule(RESTARTS_AT + SECOND, ScheduledEvent::NodeRestart(node));
            }
        }
        if self.plan.scenario == RestartScenario::Rolling {
            let nodes = self.plan.nodes;
            let steps = nodes.min(10);
            for node in 0..nodes {
                let step = (node * steps / nodes) as u64;
                let jitter = self.rng.random_range(0..SECOND);
                self.schedule(
                    RESTARTS_AT + SECOND + ROLLING_TIME / steps as u64 * step + jitter,
                    ScheduledEvent::NodeRestart(node),
                );
            }
        }
    }

    fn start(&mut self, node: usize) -> usize {
        let settings = Settings {
            node_index: Some(node as u32),
            ..self.settings.clone()
        };
        let balancer = Balancer::new(settings, self.rng.random());
        self.processes.push(Process {
            balancer,
            attempts: BTreeMap::new(),
            gone: Micros::MAX,
        });
        let process = self.processes.len() - 1;
        let members = (0..self.servers.len()).map(|i| self.member(i)).collect();
        self.deliver(
            process,
            Event::EndpointUpdate {
                kind: UpdateKind::Cached,
                endpoints: members,
            },
        );
        process
    }

    fn member(&self, i: usize) -> Endpoint {
        Endpoint {
            server: ServerId(i as u32 * 7919 + 13),
            zone: ZoneId(i as u32 % 3),
            kind: KindId(i as u32 % 3),
            cell: CellId(0),
            state: ServerState::InService,
            weight: 1.0,
            started_at: self.servers[i].since,
        }
    }

    /// Traffic as a multiple of the mean.
    fn traffic(&self) -> f64 {
        match self.plan.scenario {
            RestartScenario::Rush if self.now < RESTARTS_AT => 1.0,
            RestartScenario::Rush if self.now < RESTARTS_AT + 5 * SECOND => 0.05,
            RestartScenario::Rush => 1.3,
            _ => 1.0,
        }
    }

    fn run(&mut self) {
        let (mut next, mut request) = (self.now, 0);
        while self.now < END {
            let due = self
                .queue
                .peek()
                .map_or(Micros::MAX, |Reverse((at, ..))| *at);
            if next <= due {
                self.now = next;
                request += 1;
                self.arrive(request);
                let rate =
                    self.plan.rate * self.plan.servers as f64 * self.traffic() / SECOND as f64;
                next += (-(1.0 - self.rng.random::<f64>()).ln() / rate) as Micros + 1;
                continue;
            }
            let Some(Reverse((at, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            self.handle(event);
        }
    }

    fn arrive(&mut self, request: u64) {
        let total = *self.weights.last().expect("a node");
        let at = self.rng.random::<f64>() * total;
        let node = self
            .weights
            .partition_point(|sum| *sum <= at)
            .min(self.plan.nodes - 1);
        let process = match self.nodes[node] {
            (_, Some((old, until))) if self.now < until && self.rng.random::<bool>() => old,
            (process, _) => process,
        };
        let hot = self.rng.random::<f64>() < HOT_KEY_SHARE;
        let key = if hot {
            self.rng.random_range(0..HOT_KEYS)
        } else {
            self.rng.random_range(0..1 << 30)
        };
        let class = usize::from(self.rng.random::<f64>() < 0.4);
        let deadline = self.settings.classes[class].deadline;
        let new_request = Request {
            id: id(request),
            remaining_timeout: deadline,
            class: ClassId(class),
            cost: None,
            is_retry: false,
            tenant: None,
            key: Some(Key(key)),
            body_pending: false,
        };
        self.figures.requests += 1;
        self.processes[process].attempts.insert(request, 0);
        self.deliver(process, Event::Request(new_request));
        self.schedule(
            self.now + deadline,
            ScheduledEvent::Abandon(process, request),
        );
    }

    fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Timer(process, timer) => self.deliver(process, Event::Timer(timer)),
            ScheduledEvent::AttemptResult {
                process,
                request,
                attempt,
                server,
                code,
                elapsed,
            } => {
                let outcome =
                    [Outcome::Ok, Outcome::Timeout, Outcome::ConnectFailed][usize::from(code)];
                let served = outcome == Outcome::Ok;
                let server = ServerId(server as u32 * 7919 + 13);
                let id = id(request);
                let load = Vec::new();
                if served && self.processes[process].attempts.remove(&request).is_some() {
                    self.figures.served += 1;
                }
                let result = AttemptResult {
                    id,
                    attempt,
                    server,
                    outcome,
                    elapsed,
                    request_ended: served,
                    load_report: load,
                };
                self.deliver(process, Event::AttemptEnded(result));
            }
            ScheduledEvent::Abandon(process, request) => {
                if self.processes[process].attempts.remove(&request).is_some() {
                    self.deliver(process, Event::RequestAbandoned(id(request)));
                }
            }
            ScheduledEvent::ServerRestart(i) => {
                let server = &mut self.servers[i];
                server.since = self.now;
                server.free_at = self.now as f64;
                server.window.clear();
                server.overloaded = false;
                if self.plan.scenario == RestartScenario::Refusing {
                    server.refuses_until = self.now + REFUSAL_TIME;
                }
                self.figures.starts += 1;
                for node in 0..self.plan.nodes {
                    let after = self.rng.random_range(1..MAX_UPDATE_DELAY);
                    self.schedule(self.now + after, ScheduledEvent::EndpointUpdate(node, i));
                }
            }
            ScheduledEvent::EndpointUpdate(node, server) => {
                let members = vec![self.member(server)];
                let (process, old) = self.nodes[node];
                for process in [Some(process), old.map(|(old, _)| old)]
                    .into_iter()
                    .flatten()
                {
                    let members = members.clone();
                    self.deliver(
                        process,
                        Event::EndpointUpdate {
                            kind: UpdateKind::Delta,
                            endpoints: members,
                        },
                    );
                }
            }
            ScheduledEvent::CountDemand => {
                self.count_demand();
                self.schedule(self.now + COUNT_INTERVAL, ScheduledEvent::CountDemand);
            }
            ScheduledEvent::NodeRestart(node) => {
                let process = self.start(node);
                let old = self.nodes[node].0;
                self.processes[old].gone = self.now + PROCESS_OVERLAP + 2 * SECOND;
                self.nodes[node] = (process, Some((old, self.now + PROCESS_OVERLAP)));
            }
        }
    }

    fn deliver(&mut self, process: usize, event: Event) {
        let mut out = Vec::new();
        self.processes[process]
            .balancer
            .on_event(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send {
                    id,
                    server,
                    timeout: limit,
                    ..
                } => {
                    let request = number(id);
                    self.send(process, request, (server.0 as usize - 13) / 7919, limit);
                }
                Action::SetTimer { delay, timer } if self.now < self.processes[process].gone => {
                    self.schedule(self.now + delay, ScheduledEvent::Timer(process, timer));
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    self.processes[process].attempts.remove(&number(id));
                }
                Action::HealthCheck(server) => {
                    let i = (server.0 as usize - 13) / 7919;
                    let refused = self.now < self.servers[i].refuses_until;
                    let outcome = if refused {
                        Outcome::ConnectFailed
                    } else {
                        Outcome::Ok
                    };
                    self.deliver(
                        process,
                        Event::HealthCheckEnded {
                            server,
                            outcome,
                            elapsed: REFUSED_AFTER,
                            load_report: Vec::new(),
                        },
                    );
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, process: usize, request: u64, server: usize, limit: Micros) {
        let attempt = self.processes[process].attempts.entry(request).or_default();
        let number = *attempt;
        *attempt += 1;
        let (code, elapsed) = if self.now < self.servers[server].refuses_until {
            (2, REFUSED_AFTER)
        } else {
            self.record_arrival(server);
            let work = 0.5 + self.rng.random::<f64>();
            let capacity_fraction = self.capacity_fraction(server);
            let held = &mut self.servers[server];
            let rate = held.capacity * capacity_fraction / SECOND as f64;
            held.free_at = held.free_at.max(self.now as f64) + work / rate;
            let alone = CORES * work / rate;
            let end = (held.free_at - self.now as f64).max(alone) + IO_WAIT_US;
            if end > limit as f64 {
                (1, limit)
            } else {
                (0, end as Micros)
            }
        };
        self.schedule(
            self.now + elapsed,
            ScheduledEvent::AttemptResult {
                process,
                request,
                attempt: number,
                server,
                code,
                elapsed,
            },
        );
    }

    fn capacity_fraction(&self, server: usize) -> f64 {
        let since = self.servers[server].since;
        let (start, ramp) = (self.settings.cold_capacity, self.settings.slow_start_time);
        let age = self.now - since.min(self.now);
        if since == 0 || age >= ramp {
            return 1.0;
        }
        start + (1.0 - start) * age as f64 / ramp as f64
    }

    /// Counts a request that arrived at a cold server and checks its latest window for overload.
    fn record_arrival(&mut self, i: usize) {
        let capacity_fraction = self.capacity_fraction(i);
        let (now, overload_factor) = (self.now, self.settings.cold_overload_factor);
        let server = &mut self.servers[i];
        if capacity_fraction >= 1.0 {
            return;
        }
        server.window.push_back(now);
        while server
            .window
            .front()
            .is_some_and(|at| at + OVERLOAD_WINDOW < now)
        {
            server.window.pop_front();
        }
        let count = server.window.len() as f64;
        let allowed =
            overload_factor * server.capacity * capacity_fraction * OVERLOAD_WINDOW as f64
                / SECOND as f64;
        self.worst_excess = self.worst_excess.max((count - allowed) / allowed.sqrt());
        let over = count - (allowed + TOLERANCE_ROOTS * allowed.sqrt() + TOLERANCE_REQUESTS);
        let target = TARGET_SHARE * allowed / server.capacity * self.plan.rate;
        self.target_excess = self.target_excess.max((count - target) / target.sqrt());
        if over > 0.0 && !server.overloaded {
            server.overloaded = true;
            self.figures.overloaded += 1;
        }
        self.figures.received += 1.0;
        if now < server.since + EARLY_TIME {
            self.figures.early.0 += 1.0;
        }
    }

    /// Counts what cold servers could have served in one interval, by their capacity and by the demand for
    /// one server.
    fn count_demand(&mut self) {
        let span = COUNT_INTERVAL as f64 / SECOND as f64;
        let demand = self.plan.rate * self.traffic();
        for i in 0..self.servers.len() {
            let (capacity_fraction, server) = (self.capacity_fraction(i), &self.servers[i]);
            if capacity_fraction < 1.0 && self.now >= server.refuses_until {
                let possible = demand.min(server.capacity * capacity_fraction) * span;
                self.figures.possible += possible;
                if self.now < server.since + EARLY_TIME {
                    self.figures.early.1 += possible;
                }
            }
        }
    }

    fn finish(mut self) -> Figures {
        self.figures.worst_excess.push(self.worst_excess);
        self.figures.target_excess.push(self.target_excess);
        self.figures
    }
}

fn id(n: u64) -> RequestId {
    let mut bytes = [b'0'; 36];
    bytes[..20].copy_from_slice(format!("{n:020}").as_bytes());
    RequestId(bytes)
}

fn number(id: RequestId) -> u64 {
    std::str::from_utf8(&id.0[..20])
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}
