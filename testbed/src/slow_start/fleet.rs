//! Owns one play: arrivals, processes, servers, and the order of what happens.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use load_balancer::{
    Action, AttemptResult, Balancer, CellId, ClassId, Endpoint, Event, Key, KindId, Micros,
    Outcome, Request, RequestId, ServerId, ServerState, Settings, TimerId, UpdateKind, ZoneId,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::{Figures, Plan, RestartScenario, CARE, MORE, ROOTS, SECOND, WINDOW};

/// The clock at the start.
const BEGIN: Micros = 1_000 * SECOND;
/// When the story begins, once nodes know their traffic, and when the play ends.
const STORY: Micros = BEGIN + 12 * SECOND;
const END: Micros = STORY + 36 * SECOND;
/// Time over which the servers and the nodes of [`RestartScenario::Rolling`] are started anew.
const STEPS: Micros = 20 * SECOND;
/// How long a node's old process still takes half of its requests.
const BESIDE: Micros = SECOND;
/// A list's way to a node, at most.
const LATE: Micros = 300_000;
/// How long servers make no connection in [`RestartScenario::Refusing`].
const REFUSES: Micros = 2 * SECOND;
/// Parts of the nodes, and their traffic as multiples of the mean.
const UNEVEN: [(f64, f64); 3] = [(0.7, 0.5), (0.2, 1.0), (0.1, 4.5)];
/// Part of the requests for the few keys that many ask for.
const HOT: f64 = 0.1;
const HOT_KEYS: u64 = 50;
const CORES: f64 = 2.0;
const IO: f64 = 10_000.0;
/// A refused connection comes back after this.
const REFUSED: Micros = 2_000;
/// How often it is looked at what cold servers could do.
const TICK: Micros = 50_000;
/// The first time after a start of which the work is counted by itself.
const EARLY: Micros = 6 * SECOND;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Timer(usize, TimerId),
    AttemptResult {
        process: usize,
        request: u64,
        attempt: u32,
        server: usize,
        code: u8,
        spent: Micros,
    },
    Lapsed(usize, u64),
    Server(usize),
    Told(usize, usize),
    Node(usize),
    Tick,
}

struct Server {
    capacity: f64,
    since: Micros,
    refuses_until: Micros,
    /// When it will have done what it holds.
    free_at: f64,
    /// What came in the latest window since its start.
    window: VecDeque<Micros>,
    toppled: bool,
}

struct Process {
    balancer: Balancer,
    /// The number of the next attempt of each request that is not over.
    attempts: BTreeMap<u64, u32>,
    /// When it is gone, once another has come in its place.
    gone: Micros,
}

struct Fleet {
    plan: Plan,
    settings: Settings,
    rng: Pcg64,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64, What)>>,
    order: u64,
    servers: Vec<Server>,
    processes: Vec<Process>,
    /// For each node its process, and the one before with the time of its end.
    nodes: Vec<(usize, Option<(usize, Micros)>)>,
    /// Nodes by their traffic: the sum up to each.
    weights: Vec<f64>,
    figures: Figures,
    worst: f64,
    scatter: f64,
}

/// Plays a plan.
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
            toppled: false,
        });
        let mut sum = 0.0;
        let weights = (0..plan.nodes).map(|_| {
            let mut at = rng.random::<f64>();
            let kind = UNEVEN.iter().find(|(part, _)| {
                at -= part;
                at <= 0.0
            });
            sum += kind.unwrap_or(&UNEVEN[0]).1;
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
            worst: f64::NEG_INFINITY,
            scatter: f64::NEG_INFINITY,
            rng,
        }
    }

    fn at(&mut self, at: Micros, what: What) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, what)));
    }

    fn set_up(&mut self) {
        for node in 0..self.plan.nodes {
            let process = self.start(node);
            self.nodes.push((process, None));
        }
        let some = |part: usize| (0..self.plan.servers).filter(move |i| i % part == part / 2);
        let starts: Vec<(usize, Micros)> = match self.plan.story {
            RestartScenario::Start => some(10).map(|i| (i, STORY)).collect(),
            RestartScenario::Rolling => {
                let half: Vec<usize> = some(2).collect();
                let step = STEPS / half.len() as u64;
                half.iter()
                    .enumerate()
                    .map(|(n, &i)| (i, STORY + step * n as u64))
                    .collect()
            }
            RestartScenario::Rush => some(4).map(|i| (i, STORY)).collect(),
            RestartScenario::Refusing => some(5).map(|i| (i, STORY)).collect(),
            RestartScenario::Most => {
                let most: Vec<usize> = (0..self.plan.servers).filter(|i| i % 5 < 3).collect();
                let step = 7 * SECOND / most.len() as u64;
                most.iter()
                    .enumerate()
                    .map(|(n, &i)| (i, STORY + step * n as u64))
                    .collect()
            }
            RestartScenario::Herd => some(10).map(|i| (i, STORY)).collect(),
        };
        self.at(STORY, What::Tick);
        for (server, at) in starts {
            self.at(at, What::Server(server));
        }
        if self.plan.story == RestartScenario::Herd {
            for node in (0..self.plan.nodes).filter(|node| node % 4 > 0) {
                self.at(STORY + SECOND, What::Node(node));
            }
        }
        if self.plan.story == RestartScenario::Rolling {
            let nodes = self.plan.nodes;
            let steps = nodes.min(10);
            for node in 0..nodes {
                let step = (node * steps / nodes) as u64;
                let jitter = self.rng.random_range(0..SECOND);
                self.at(
                    STORY + SECOND + STEPS / steps as u64 * step + jitter,
                    What::Node(node),
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
        self.tell(
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

    /// Traffic against the mean.
    fn traffic(&self) -> f64 {
        match self.plan.story {
            RestartScenario::Rush if self.now < STORY => 1.0,
            RestartScenario::Rush if self.now < STORY + 5 * SECOND => 0.05,
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
            let Some(Reverse((at, _, what))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            self.take(what);
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
        let hot = self.rng.random::<f64>() < HOT;
        let key = if hot {
            self.rng.random_range(0..HOT_KEYS)
        } else {
            self.rng.random_range(0..1 << 30)
        };
        let class = usize::from(self.rng.random::<f64>() < 0.4);
        let patience = self.settings.classes[class].deadline;
        let asked = Request {
            id: id(request),
            remaining_timeout: patience,
            class: ClassId(class),
            cost: None,
            is_retry: false,
            tenant: None,
            key: Some(Key(key)),
            body_pending: false,
        };
        self.figures.asked += 1;
        self.processes[process].attempts.insert(request, 0);
        self.tell(process, Event::Request(asked));
        self.at(self.now + patience, What::Lapsed(process, request));
    }

    fn take(&mut self, what: What) {
        match what {
            What::Timer(process, timer) => self.tell(process, Event::Timer(timer)),
            What::AttemptResult {
                process,
                request,
                attempt,
                server,
                code,
                spent,
            } => {
                let outcome =
                    [Outcome::Ok, Outcome::Timeout, Outcome::ConnectFailed][usize::from(code)];
                let done = outcome == Outcome::Ok;
                let server = ServerId(server as u32 * 7919 + 13);
                let id = id(request);
                let load = Vec::new();
                if done && self.processes[process].attempts.remove(&request).is_some() {
                    self.figures.served += 1;
                }
                let closed = AttemptResult {
                    id,
                    attempt,
                    server,
                    outcome,
                    elapsed: spent,
                    request_ended: done,
                    load_report: load,
                };
                self.tell(process, Event::AttemptEnded(closed));
            }
            What::Lapsed(process, request) => {
                if self.processes[process].attempts.remove(&request).is_some() {
                    self.tell(process, Event::RequestAbandoned(id(request)));
                }
            }
            What::Server(i) => {
                let server = &mut self.servers[i];
                server.since = self.now;
                server.free_at = self.now as f64;
                server.window.clear();
                server.toppled = false;
                if self.plan.story == RestartScenario::Refusing {
                    server.refuses_until = self.now + REFUSES;
                }
                self.figures.starts += 1;
                for node in 0..self.plan.nodes {
                    let after = self.rng.random_range(1..LATE);
                    self.at(self.now + after, What::Told(node, i));
                }
            }
            What::Told(node, server) => {
                let members = vec![self.member(server)];
                let (process, old) = self.nodes[node];
                for process in [Some(process), old.map(|(old, _)| old)]
                    .into_iter()
                    .flatten()
                {
                    let members = members.clone();
                    self.tell(
                        process,
                        Event::EndpointUpdate {
                            kind: UpdateKind::Delta,
                            endpoints: members,
                        },
                    );
                }
            }
            What::Tick => {
                self.count_demand();
                self.at(self.now + TICK, What::Tick);
            }
            What::Node(node) => {
                let process = self.start(node);
                let old = self.nodes[node].0;
                self.processes[old].gone = self.now + BESIDE + 2 * SECOND;
                self.nodes[node] = (process, Some((old, self.now + BESIDE)));
            }
        }
    }

    fn tell(&mut self, process: usize, event: Event) {
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
                } => {
                    let request = number(id);
                    self.send(process, request, (server.0 as usize - 13) / 7919, limit);
                }
                Action::SetTimer { delay, timer } if self.now < self.processes[process].gone => {
                    self.at(self.now + delay, What::Timer(process, timer));
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
                    self.tell(
                        process,
                        Event::HealthCheckEnded {
                            server,
                            outcome,
                            elapsed: REFUSED,
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
        let (code, spent) = if self.now < self.servers[server].refuses_until {
            (2, REFUSED)
        } else {
            self.weigh(server);
            let work = 0.5 + self.rng.random::<f64>();
            let warmth = self.warmth(server);
            let held = &mut self.servers[server];
            let pace = held.capacity * warmth / SECOND as f64;
            held.free_at = held.free_at.max(self.now as f64) + work / pace;
            let alone = CORES * work / pace;
            let end = (held.free_at - self.now as f64).max(alone) + IO;
            if end > limit as f64 {
                (1, limit)
            } else {
                (0, end as Micros)
            }
        };
        self.at(
            self.now + spent,
            What::AttemptResult {
                process,
                request,
                attempt: number,
                server,
                code,
                spent,
            },
        );
    }

    fn warmth(&self, server: usize) -> f64 {
        let since = self.servers[server].since;
        let (start, ramp) = (self.settings.cold_capacity, self.settings.slow_start_time);
        let age = self.now - since.min(self.now);
        if since == 0 || age >= ramp {
            return 1.0;
        }
        start + (1.0 - start) * age as f64 / ramp as f64
    }

    /// A request has come to a server: what a cold one got in its latest window.
    fn weigh(&mut self, i: usize) {
        let warmth = self.warmth(i);
        let (now, multiple) = (self.now, self.settings.cold_overload_factor);
        let server = &mut self.servers[i];
        if warmth >= 1.0 {
            return;
        }
        server.window.push_back(now);
        while server.window.front().is_some_and(|at| at + WINDOW < now) {
            server.window.pop_front();
        }
        let count = server.window.len() as f64;
        let n = multiple * server.capacity * warmth * WINDOW as f64 / SECOND as f64;
        self.worst = self.worst.max((count - n) / n.sqrt());
        let over = count - (n + ROOTS * n.sqrt() + MORE);
        let budget = CARE * n / server.capacity * self.plan.rate;
        self.scatter = self.scatter.max((count - budget) / budget.sqrt());
        if over > 0.0 && !server.toppled {
            server.toppled = true;
            self.figures.overloaded += 1;
        }
        self.figures.got += 1.0;
        if now < server.since + EARLY {
            self.figures.early.0 += 1.0;
        }
    }

    /// Counts for a tick what cold servers could do: by their capacity and by the demand for one.
    fn count_demand(&mut self) {
        let span = TICK as f64 / SECOND as f64;
        let demand = self.plan.rate * self.traffic();
        for i in 0..self.servers.len() {
            let (warmth, server) = (self.warmth(i), &self.servers[i]);
            if warmth < 1.0 && self.now >= server.refuses_until {
                let could = demand.min(server.capacity * warmth) * span;
                self.figures.could += could;
                if self.now < server.since + EARLY {
                    self.figures.early.1 += could;
                }
            }
        }
    }

    fn finish(mut self) -> Figures {
        self.figures.worst.push(self.worst);
        self.figures.scatter.push(self.scatter);
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
