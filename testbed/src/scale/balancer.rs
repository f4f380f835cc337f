//! Drives the node's decision code (`Balancer`) directly, without sockets: times its operations and simulates a node in
//! virtual time, as the fleet grows.

use std::collections::{BTreeMap, HashMap};
use std::hint::black_box;
use std::time::Instant;

use load_balancer::balancer::TableBuilder;
use load_balancer::{
    Action, AttemptResult, Balancer, CellId, ClassId, Endpoint, Event, Idempotency, Key, KindId,
    Micros, Outcome, Request, RequestClass, RequestId, ServerId, ServerState, Settings, TimerId,
    UpdateKind, ZoneId,
};

use super::target;

/// Timer of the balancer's periodic sweep over all servers.
const SWEEP: TimerId = TimerId(1);
const SECOND: Micros = 1_000_000;
/// Start of simulated time.
const START: Micros = 100 * SECOND;
/// Simulated response time of a server.
const RESPONSE_TIME: Micros = 20_000;
/// Time over which the servers of a zone are removed one by one.
const ZONE_REMOVAL_TIME: Micros = 6 * SECOND;
/// Weights of servers of different sizes, each for a third of them.
const UNEVEN_WEIGHTS: [f64; 3] = [0.5, 1.0, 1.5];

/// Endpoint list entry of a server. Servers are spread evenly over the zones.
pub fn endpoint(server: u32) -> Endpoint {
    Endpoint {
        server: ServerId(server.wrapping_mul(0x9e37_79b1)),
        zone: ZoneId(server % target::ZONES as u32),
        kind: KindId(server % 3),
        cell: CellId(u64::from(server / 8)),
        state: ServerState::InService,
        weight: 1.0,
        started_at: 0,
    }
}

fn settings(nodes: u32) -> Settings {
    let class = RequestClass {
        latency_objective: 500_000,
        deadline: 2_000_000,
        priority_weight: 1.0,
        late_value: 0.25,
        idempotency: Idempotency::Idempotent,
        in_order: false,
    };
    Settings {
        node_count: nodes,
        classes: vec![class],
        key_affinity: true,
        may_cancel: true,
        may_health_check: true,
        max_attempts: 6,
        cold_capacity: 0.13,
        slow_start_time: 23 * SECOND,
        cold_overload_factor: 3.0,
        connect_timeout: 200_000,
        ..Settings::default()
    }
}

/// Creates a balancer with a list of `servers` servers, and sends a first request.
fn balancer_with_list(servers: usize, seed: u64) -> Balancer {
    let mut balancer = Balancer::new(settings(target::NODES as u32), seed);
    let endpoints = (0..servers as u32).map(endpoint).collect();
    balancer.on_event(
        START,
        Event::EndpointUpdate {
            kind: UpdateKind::Cached,
            endpoints,
        },
        &mut Vec::new(),
    );
    serve(&mut balancer, START, 0);
    balancer
}

fn request(number: u64) -> Request {
    let mut id = [b'0'; 36];
    id[..20].copy_from_slice(format!("{number:020}").as_bytes());
    let key = number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11;
    Request {
        id: RequestId(id),
        remaining_timeout: 2 * SECOND,
        class: ClassId(0),
        cost: Some(RESPONSE_TIME),
        is_retry: false,
        tenant: None,
        key: Some(Key(key)),
        body_pending: false,
    }
}

/// Sends one request and ends its first attempt successfully.
fn serve(balancer: &mut Balancer, now: Micros, number: u64) {
    let (request, mut out) = (request(number), Vec::new());
    let id = request.id;
    balancer.on_event(now, Event::Request(request), &mut out);
    let sent = out.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    });
    let Some(server) = sent else { return };
    let attempt_result = attempt_result(id, 0, server, Outcome::Ok, RESPONSE_TIME);
    balancer.on_event(
        now + RESPONSE_TIME,
        Event::AttemptEnded(attempt_result),
        &mut out,
    );
}

fn attempt_result(
    id: RequestId,
    attempt: u32,
    server: ServerId,
    outcome: Outcome,
    elapsed: Micros,
) -> AttemptResult {
    let request_ended = outcome == Outcome::Ok;
    AttemptResult {
        id,
        attempt,
        server,
        outcome,
        elapsed,
        request_ended,
        load_report: Vec::new(),
    }
}

/// Median duration of several runs, in microseconds.
fn median_us(runs: usize, mut run: impl FnMut()) -> f64 {
    let mut durations: Vec<f64> = (0..runs)
        .map(|_| {
            let started = Instant::now();
            run();
            started.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    durations.sort_by(f64::total_cmp);
    durations[durations.len() / 2]
}

fn list(servers: usize, weight: fn(u32) -> f64) -> Vec<(ServerId, f64)> {
    (0..servers as u32)
        .map(|server| (endpoint(server).server, weight(server)))
        .collect()
}

/// Builds the whole slot table of a list and returns the owner of each slot.
fn slot_owners(list: &[(ServerId, f64)]) -> Vec<ServerId> {
    let mut builder = TableBuilder::new(list.to_vec());
    builder.claim(usize::MAX);
    builder.owners(|id| id)
}

/// Milliseconds to build the slot table.
pub fn table_build(servers: usize, runs: usize) -> f64 {
    let list = list(servers, |_| 1.0);
    median_us(runs, || drop(black_box(slot_owners(black_box(&list))))) / 1e3
}

/// Distribution of the table's slots over the servers.
pub struct SlotShares {
    /// Servers that own no slot: with equal weights, and with three weights for a third of the servers each.
    pub without_slot: [f64; 2],
    /// Largest number of slots of one server, as a multiple of the mean, with equal weights.
    pub max_share: f64,
}

/// Counts the slots of each server in the slot table of a list of `servers` servers.
pub fn slot_shares(servers: usize) -> SlotShares {
    let owned = |weight: fn(u32) -> f64| {
        let list = list(servers, weight);
        let mut owned: HashMap<ServerId, u32> = list.iter().map(|(id, _)| (*id, 0)).collect();
        slot_owners(&list)
            .iter()
            .for_each(|owner| *owned.entry(*owner).or_default() += 1);
        owned
    };
    let count_without_slot =
        |owned: &HashMap<ServerId, u32>| owned.values().filter(|slots| **slots == 0).count() as f64;
    let (even, uneven) = (
        owned(|_| 1.0),
        owned(|server| UNEVEN_WEIGHTS[server as usize % UNEVEN_WEIGHTS.len()]),
    );
    let (most_slots, slots) = (
        even.values().max().copied().unwrap_or(0),
        even.values().sum::<u32>(),
    );
    SlotShares {
        without_slot: [count_without_slot(&even), count_without_slot(&uneven)],
        max_share: f64::from(most_slots) * servers as f64 / f64::from(slots.max(1)),
    }
}

/// Processor time of endpoint list updates until the slot table is rebuilt, including the requests handled meanwhile.
pub struct UpdateCost {
    /// Microseconds for the removal of one server.
    pub one_server_us: f64,
    /// Milliseconds for the removal of a zone in a single update.
    pub zone_ms: f64,
    /// Milliseconds for the removal of a zone in one update per server, spread over `ZONE_REMOVAL_TIME`, with a request
    /// after each.
    pub one_by_one_ms: f64,
}

/// Measures updates of a list of `servers` servers. Requests come at the node's rate until all slots are assigned
/// again.
pub fn update_cost(servers: usize, runs: usize) -> UpdateCost {
    let removed = |server: u32| Endpoint {
        state: ServerState::Removed,
        ..endpoint(server)
    };
    let zone: Vec<u32> = (0..servers as u32)
        .filter(|server| server % target::ZONES as u32 == 0)
        .collect();
    let update = |balancer: &mut Balancer, endpoints: Vec<Endpoint>, now: Micros, number: u64| {
        balancer.on_event(
            now,
            Event::EndpointUpdate {
                kind: UpdateKind::Delta,
                endpoints,
            },
            &mut Vec::new(),
        );
        serve(balancer, now, number);
    };
    let rebuild = |balancer: &mut Balancer, now: &mut Micros, number: &mut u64| {
        while balancer.unassigned_slots() > 0 {
            (*now, *number) = (
                *now + SECOND / target::NODE_REQUESTS_PER_S as Micros,
                *number + 1,
            );
            serve(balancer, *now, *number);
        }
    };
    let (mut balancer, mut now, mut number, mut server) =
        (balancer_with_list(servers, 1), START, 1, 0);
    let one_server_us = median_us(runs, || {
        (now, number, server) = (now + SECOND, number + 1, server + 1);
        update(
            &mut balancer,
            vec![removed(server % servers as u32)],
            now,
            number,
        );
        rebuild(&mut balancer, &mut now, &mut number);
    });
    let mut durations = Vec::new();
    for _ in 0..runs {
        let (mut balancer, mut now, mut number) =
            (balancer_with_list(servers, 1), START + SECOND, 1);
        let endpoints = zone.iter().map(|server| removed(*server)).collect();
        let started = Instant::now();
        update(&mut balancer, endpoints, now, number);
        rebuild(&mut balancer, &mut now, &mut number);
        durations.push(started.elapsed().as_secs_f64() * 1e3);
    }
    durations.sort_by(f64::total_cmp);
    let mut balancer = balancer_with_list(servers, 1);
    let started = Instant::now();
    for (number, server) in (0_u64..).zip(&zone) {
        let now = START + SECOND + ZONE_REMOVAL_TIME * number / zone.len() as u64;
        update(&mut balancer, vec![removed(*server)], now, number + 1);
    }
    let (mut now, mut number) = (START + SECOND + ZONE_REMOVAL_TIME, zone.len() as u64);
    rebuild(&mut balancer, &mut now, &mut number);
    let one_by_one_ms = started.elapsed().as_secs_f64() * 1e3;
    UpdateCost {
        one_server_us,
        zone_ms: durations[durations.len() / 2],
        one_by_one_ms,
    }
}

/// Microseconds of one sweep over all servers, and sweeps per second.
pub fn sweep(servers: usize, runs: usize) -> (f64, f64) {
    let mut balancer = balancer_with_list(servers, 1);
    let mut now = START + SECOND;
    let mut delay = SECOND;
    let sweep_us = median_us(runs, || {
        let mut out = Vec::new();
        now += delay.min(SECOND / 10);
        balancer.on_event(now, Event::Timer(SWEEP), &mut out);
        for action in &out {
            if let Action::SetTimer {
                delay: next,
                timer: SWEEP,
            } = action
            {
                delay = *next;
            }
        }
    });
    (sweep_us, SECOND as f64 / delay as f64)
}

/// Microseconds of the decisions on a request and its response.
pub fn decision(servers: usize, requests: u64) -> f64 {
    let mut balancer = balancer_with_list(servers, 1);
    let mut now = START + SECOND;
    let started = Instant::now();
    for number in 1..=requests {
        now += SECOND / target::NODE_REQUESTS_PER_S as Micros;
        serve(&mut balancer, now, number);
    }
    started.elapsed().as_secs_f64() * 1e6 / requests as f64
}

/// Outcome and duration of an attempt or health check at a server, given which servers are dead.
pub type AttemptModel = fn(server: ServerId, dead: &HashMap<ServerId, bool>) -> (Outcome, Micros);

/// Counts of the simulation of one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct SimulationCounts {
    /// Attempts after a request's first.
    pub retries: u64,
    /// Health checks sent.
    pub health_checks: u64,
    /// Most attempts in flight at a time.
    pub in_flight: u64,
}

enum DueEvent {
    Timer(TimerId),
    AttemptResult(AttemptResult),
    HealthChecked(ServerId, Outcome, Micros),
}

/// Simulates one node from its start, for `seconds` seconds at its even share of the peak load. Retries and health
/// checks are counted from second `count_from` on. `dead` selects the dead servers.
pub fn simulate(
    servers: usize,
    seed: u64,
    seconds: u64,
    count_from: u64,
    dead: fn(u32) -> bool,
    attempt_model: AttemptModel,
) -> SimulationCounts {
    let mut balancer = Balancer::new(settings(target::NODES as u32), seed);
    let dead_servers: HashMap<ServerId, bool> = (0..servers as u32)
        .map(|server| (endpoint(server).server, dead(server)))
        .collect();
    let endpoints = (0..servers as u32).map(endpoint).collect();
    let mut out = Vec::new();
    balancer.on_event(
        START,
        Event::EndpointUpdate {
            kind: UpdateKind::Cached,
            endpoints,
        },
        &mut out,
    );
    let mut due: BTreeMap<(Micros, u64), DueEvent> = BTreeMap::new();
    let mut attempts: HashMap<RequestId, u32> = HashMap::new();
    let (mut order, mut in_flight_now, mut counts) = (0, 0_u64, SimulationCounts::default());
    let (mut now, end) = (START, START + seconds * SECOND);
    let step = SECOND / target::NODE_REQUESTS_PER_S as Micros;
    let (mut next_request, mut number) = (START + seed % step, seed << 32);
    loop {
        let counting = now >= START + count_from * SECOND;
        for action in std::mem::take(&mut out) {
            order += 1;
            match action {
                Action::Send {
                    id,
                    server,
                    timeout,
                    ..
                } => {
                    let attempt = attempts.entry(id).or_insert(0);
                    let (outcome, duration) = attempt_model(server, &dead_servers);
                    let (outcome, duration) = if duration > timeout {
                        (Outcome::Timeout, timeout)
                    } else {
                        (outcome, duration)
                    };
                    let attempt_result = attempt_result(id, *attempt, server, outcome, duration);
                    counts.retries += u64::from(counting && *attempt > 0);
                    *attempt += 1;
                    in_flight_now += 1;
                    counts.in_flight = counts.in_flight.max(in_flight_now);
                    due.insert(
                        (now + duration, order),
                        DueEvent::AttemptResult(attempt_result),
                    );
                }
                Action::HealthCheck(server) => {
                    counts.health_checks += u64::from(counting);
                    let (outcome, duration) = attempt_model(server, &dead_servers);
                    due.insert(
                        (now + duration, order),
                        DueEvent::HealthChecked(server, outcome, duration),
                    );
                }
                Action::SetTimer { delay, timer } => {
                    due.insert((now + delay, order), DueEvent::Timer(timer));
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    attempts.remove(&id);
                }
                _ => {}
            }
        }
        let first = due
            .first_key_value()
            .map_or(Micros::MAX, |((at, _), _)| *at);
        now = first.min(next_request);
        if now >= end {
            return counts;
        }
        if next_request <= first {
            balancer.on_event(now, Event::Request(request(number)), &mut out);
            (next_request, number) = (next_request + step, number + 1);
            continue;
        }
        let Some((_, due_event)) = due.pop_first() else {
            return counts;
        };
        let event = match due_event {
            DueEvent::Timer(timer) => Event::Timer(timer),
            DueEvent::AttemptResult(attempt_result) => {
                in_flight_now -= 1;
                if attempt_result.request_ended {
                    attempts.remove(&attempt_result.id);
                }
                Event::AttemptEnded(attempt_result)
            }
            DueEvent::HealthChecked(server, outcome, elapsed) => Event::HealthCheckEnded {
                server,
                outcome,
                elapsed,
                load_report: Vec::new(),
            },
        };
        balancer.on_event(now, event, &mut out);
    }
}

/// Attempt model in which dead servers refuse connections and the others respond.
pub fn refuse_connections(server: ServerId, dead: &HashMap<ServerId, bool>) -> (Outcome, Micros) {
    if dead.get(&server) == Some(&true) {
        (Outcome::ConnectFailed, 200)
    } else {
        (Outcome::Ok, RESPONSE_TIME)
    }
}

/// Attempt model in which every server responds with an error.
pub fn respond_with_errors(_: ServerId, _: &HashMap<ServerId, bool>) -> (Outcome, Micros) {
    (Outcome::Error, RESPONSE_TIME)
}

/// Attempt model in which no server responds within a client's timeout.
pub fn never_respond(_: ServerId, _: &HashMap<ServerId, bool>) -> (Outcome, Micros) {
    (Outcome::Ok, 60 * SECOND)
}

/// Cost of a node with one balancer for each service.
pub struct PerServiceCost {
    /// Fraction of a core that the sweeps of all balancers take.
    pub sweep_core: f64,
    /// Memory of all slot tables, in MB.
    pub tables_mb: f64,
    /// Milliseconds to build all slot tables.
    pub build_ms: f64,
}

/// Measures the sweeps and slot tables of a node that has a balancer for each of `services` services, with
/// `servers_each` servers each. Durations are medians of `runs` runs.
pub fn services(services: usize, servers_each: usize, runs: usize) -> PerServiceCost {
    let mut balancers: Vec<Balancer> = (0..services as u64)
        .map(|seed| balancer_with_list(servers_each, seed))
        .collect();
    let list = list(servers_each, |_| 1.0);
    let (mut now, mut delay) = (START + SECOND, SECOND / 10);
    let sweep_us = median_us(runs, || {
        now += delay;
        for balancer in &mut balancers {
            let mut out = Vec::new();
            balancer.on_event(now, Event::Timer(SWEEP), &mut out);
            for action in &out {
                if let Action::SetTimer {
                    delay: next,
                    timer: SWEEP,
                } = action
                {
                    delay = *next;
                }
            }
        }
    });
    let build_ms = median_us(runs, || {
        (0..services).for_each(|_| drop(black_box(slot_owners(black_box(&list)))))
    }) / 1e3;
    let bytes = services * slot_owners(&list).len() * std::mem::size_of::<u32>();
    PerServiceCost {
        sweep_core: sweep_us / delay as f64,
        tables_mb: bytes as f64 / f64::from(1 << 20),
        build_ms,
    }
}
