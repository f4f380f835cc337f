//! Owns what the decisions alone cost and do as the fleet grows: the module is asked directly, without sockets, and
//! timed or played in virtual time.

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

/// The module's own timer of its look-over.
const SWEEP: TimerId = TimerId(1);
const SECOND: Micros = 1_000_000;
/// When plays begin.
const START: Micros = 100 * SECOND;
/// What an answer takes in a play.
const ANSWER: Micros = 20_000;
/// The time in which a zone goes server by server.
const ZONE_GOES: Micros = 6 * SECOND;
/// Sizes of servers where they differ.
const UNEVEN: [f64; 3] = [0.5, 1.0, 1.5];

/// One entry of the list: servers are spread evenly over the zones.
pub fn member(server: u32) -> Endpoint {
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

/// A module that has a list of so many servers and has built its table.
fn settled(servers: usize, seed: u64) -> Balancer {
    let mut balancer = Balancer::new(settings(target::NODES as u32), seed);
    let members = (0..servers as u32).map(member).collect();
    balancer.on_event(
        START,
        Event::EndpointUpdate {
            kind: UpdateKind::Cached,
            endpoints: members,
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
        cost: Some(ANSWER),
        is_retry: false,
        tenant: None,
        key: Some(Key(key)),
        body_pending: false,
    }
}

/// One request with its answer.
fn serve(balancer: &mut Balancer, now: Micros, number: u64) {
    let (request, mut out) = (request(number), Vec::new());
    let id = request.id;
    balancer.on_event(now, Event::Request(request), &mut out);
    let sent = out.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    });
    let Some(server) = sent else { return };
    let closed = closed(id, 0, server, Outcome::Ok, ANSWER);
    balancer.on_event(now + ANSWER, Event::AttemptEnded(closed), &mut out);
}

fn closed(
    id: RequestId,
    attempt: u32,
    server: ServerId,
    outcome: Outcome,
    spent: Micros,
) -> AttemptResult {
    let done = outcome == Outcome::Ok;
    AttemptResult {
        id,
        attempt,
        server,
        outcome,
        elapsed: spent,
        request_ended: done,
        load_report: Vec::new(),
    }
}

/// The middle time of several runs, in microseconds each.
fn timed(runs: usize, mut run: impl FnMut()) -> f64 {
    let mut spans: Vec<f64> = (0..runs)
        .map(|_| {
            let began = Instant::now();
            run();
            began.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    spans.sort_by(f64::total_cmp);
    spans[spans.len() / 2]
}

fn list(servers: usize, size: fn(u32) -> f64) -> Vec<(ServerId, f64)> {
    (0..servers as u32)
        .map(|server| (member(server).server, size(server)))
        .collect()
}

/// The owners of the slots of a list's table.
fn table(list: &[(ServerId, f64)]) -> Vec<ServerId> {
    let mut builder = TableBuilder::new(list.to_vec());
    builder.claim(usize::MAX);
    builder.owners(|id| id)
}

/// Milliseconds to build the table.
pub fn table_build(servers: usize, runs: usize) -> f64 {
    let list = list(servers, |_| 1.0);
    timed(runs, || drop(black_box(table(black_box(&list))))) / 1e3
}

/// How the table deals its slots out.
pub struct Deal {
    /// Servers that own none, as they are alike and as a third each is small, middle and large.
    pub without: [f64; 2],
    /// The most slots that one of servers alike owns, against the mean.
    pub most: f64,
}

/// The deal of a table.
pub fn deal(servers: usize) -> Deal {
    let owned = |size: fn(u32) -> f64| {
        let list = list(servers, size);
        let mut owned: HashMap<ServerId, u32> = list.iter().map(|(id, _)| (*id, 0)).collect();
        table(&list)
            .iter()
            .for_each(|owner| *owned.entry(*owner).or_default() += 1);
        owned
    };
    let none =
        |owned: &HashMap<ServerId, u32>| owned.values().filter(|slots| **slots == 0).count() as f64;
    let (even, uneven) = (
        owned(|_| 1.0),
        owned(|server| UNEVEN[server as usize % UNEVEN.len()]),
    );
    let (most, slots) = (
        even.values().max().copied().unwrap_or(0),
        even.values().sum::<u32>(),
    );
    Deal {
        without: [none(&even), none(&uneven)],
        most: f64::from(most) * servers as f64 / f64::from(slots.max(1)),
    }
}

/// What news of the list cost the module until its table has them, with the requests that it takes meanwhile.
pub struct News {
    /// Microseconds of one server that goes.
    pub one_us: f64,
    /// Milliseconds of a zone that goes in one piece of news.
    pub zone_ms: f64,
    /// Milliseconds where each server of the zone goes by itself within `ZONE_GOES`, a request between.
    pub one_by_one_ms: f64,
}

/// The news of a list of so many servers. Requests come at the node's rate until the table has the news.
pub fn news(servers: usize, runs: usize) -> News {
    let gone = |server: u32| Endpoint {
        state: ServerState::Removed,
        ..member(server)
    };
    let zone: Vec<u32> = (0..servers as u32)
        .filter(|server| server % target::ZONES as u32 == 0)
        .collect();
    let tell = |balancer: &mut Balancer, members: Vec<Endpoint>, now: Micros, number: u64| {
        balancer.on_event(
            now,
            Event::EndpointUpdate {
                kind: UpdateKind::Delta,
                endpoints: members,
            },
            &mut Vec::new(),
        );
        serve(balancer, now, number);
    };
    let follow = |balancer: &mut Balancer, now: &mut Micros, number: &mut u64| {
        while balancer.unassigned_slots() > 0 {
            (*now, *number) = (*now + SECOND / target::NODE_RATE as Micros, *number + 1);
            serve(balancer, *now, *number);
        }
    };
    let (mut balancer, mut now, mut number, mut server) = (settled(servers, 1), START, 1, 0);
    let one_us = timed(runs, || {
        (now, number, server) = (now + SECOND, number + 1, server + 1);
        tell(
            &mut balancer,
            vec![gone(server % servers as u32)],
            now,
            number,
        );
        follow(&mut balancer, &mut now, &mut number);
    });
    let mut spans = Vec::new();
    for _ in 0..runs {
        let (mut balancer, mut now, mut number) = (settled(servers, 1), START + SECOND, 1);
        let members = zone.iter().map(|server| gone(*server)).collect();
        let began = Instant::now();
        tell(&mut balancer, members, now, number);
        follow(&mut balancer, &mut now, &mut number);
        spans.push(began.elapsed().as_secs_f64() * 1e3);
    }
    spans.sort_by(f64::total_cmp);
    let mut balancer = settled(servers, 1);
    let began = Instant::now();
    for (number, server) in (0_u64..).zip(&zone) {
        let now = START + SECOND + ZONE_GOES * number / zone.len() as u64;
        tell(&mut balancer, vec![gone(*server)], now, number + 1);
    }
    let (mut now, mut number) = (START + SECOND + ZONE_GOES, zone.len() as u64);
    follow(&mut balancer, &mut now, &mut number);
    let one_by_one_ms = began.elapsed().as_secs_f64() * 1e3;
    News {
        one_us,
        zone_ms: spans[spans.len() / 2],
        one_by_one_ms,
    }
}

/// Microseconds of one look-over, and how many there are a second.
pub fn sweep(servers: usize, runs: usize) -> (f64, f64) {
    let mut balancer = settled(servers, 1);
    let mut now = START + SECOND;
    let mut delay = SECOND;
    let us = timed(runs, || {
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
    (us, SECOND as f64 / delay as f64)
}

/// Microseconds of the decisions on a request and its answer.
pub fn decision(servers: usize, requests: u64) -> f64 {
    let mut balancer = settled(servers, 1);
    let mut now = START + SECOND;
    let began = Instant::now();
    for number in 1..=requests {
        now += SECOND / target::NODE_RATE as Micros;
        serve(&mut balancer, now, number);
    }
    began.elapsed().as_secs_f64() * 1e6 / requests as f64
}

/// What becomes of attempts in a play.
pub type Fate = fn(server: ServerId, dead: &HashMap<ServerId, bool>) -> (Outcome, Micros);

/// What a play of one node showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Played {
    /// Attempts beyond a request's first.
    pub resends: u64,
    /// Probes.
    pub probes: u64,
    /// The most attempts that were out at a time.
    pub in_flight: u64,
}

enum Due {
    Timer(TimerId),
    AttemptResult(AttemptResult),
    Probed(ServerId, Outcome, Micros),
}

/// Plays one node from its start for so many seconds at its even share of the peak; `count_from` on it counts.
/// A server is dead where `dead` says so.
pub fn play(
    servers: usize,
    seed: u64,
    seconds: u64,
    count_from: u64,
    dead: fn(u32) -> bool,
    fate: Fate,
) -> Played {
    let mut balancer = Balancer::new(settings(target::NODES as u32), seed);
    let lost: HashMap<ServerId, bool> = (0..servers as u32)
        .map(|server| (member(server).server, dead(server)))
        .collect();
    let members = (0..servers as u32).map(member).collect();
    let mut out = Vec::new();
    balancer.on_event(
        START,
        Event::EndpointUpdate {
            kind: UpdateKind::Cached,
            endpoints: members,
        },
        &mut out,
    );
    let mut due: BTreeMap<(Micros, u64), Due> = BTreeMap::new();
    let mut attempts: HashMap<RequestId, u32> = HashMap::new();
    let (mut order, mut held, mut played) = (0, 0_u64, Played::default());
    let (mut now, end) = (START, START + seconds * SECOND);
    let step = SECOND / target::NODE_RATE as Micros;
    let (mut next_request, mut number) = (START + seed % step, seed << 32);
    loop {
        let counts = now >= START + count_from * SECOND;
        for action in std::mem::take(&mut out) {
            order += 1;
            match action {
                Action::Send {
                    id,
                    server,
                    timeout: limit,
                } => {
                    let attempt = attempts.entry(id).or_insert(0);
                    let (outcome, takes) = fate(server, &lost);
                    let (outcome, takes) = if takes > limit {
                        (Outcome::Timeout, limit)
                    } else {
                        (outcome, takes)
                    };
                    let closed = closed(id, *attempt, server, outcome, takes);
                    played.resends += u64::from(counts && *attempt > 0);
                    *attempt += 1;
                    held += 1;
                    played.in_flight = played.in_flight.max(held);
                    due.insert((now + takes, order), Due::AttemptResult(closed));
                }
                Action::HealthCheck(server) => {
                    played.probes += u64::from(counts);
                    let (outcome, takes) = fate(server, &lost);
                    due.insert((now + takes, order), Due::Probed(server, outcome, takes));
                }
                Action::SetTimer { delay, timer } => {
                    due.insert((now + delay, order), Due::Timer(timer));
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
            return played;
        }
        if next_request <= first {
            balancer.on_event(now, Event::Request(request(number)), &mut out);
            (next_request, number) = (next_request + step, number + 1);
            continue;
        }
        let Some((_, what)) = due.pop_first() else {
            return played;
        };
        let event = match what {
            Due::Timer(timer) => Event::Timer(timer),
            Due::AttemptResult(closed) => {
                held -= 1;
                if closed.request_ended {
                    attempts.remove(&closed.id);
                }
                Event::AttemptEnded(closed)
            }
            Due::Probed(server, outcome, spent) => Event::HealthCheckEnded {
                server,
                outcome,
                elapsed: spent,
                load_report: Vec::new(),
            },
        };
        balancer.on_event(now, event, &mut out);
    }
}

/// All attempts at dead servers find no connection; the others are answered.
pub fn unconnected(server: ServerId, dead: &HashMap<ServerId, bool>) -> (Outcome, Micros) {
    if dead.get(&server) == Some(&true) {
        (Outcome::ConnectFailed, 200)
    } else {
        (Outcome::Ok, ANSWER)
    }
}

/// Every server answers with an error.
pub fn failing(_: ServerId, _: &HashMap<ServerId, bool>) -> (Outcome, Micros) {
    (Outcome::Error, ANSWER)
}

/// No server answers in any time that a client waits.
pub fn silent(_: ServerId, _: &HashMap<ServerId, bool>) -> (Outcome, Micros) {
    (Outcome::Ok, 60 * SECOND)
}

/// A node with a module for each of its services.
pub struct Services {
    /// The part of a core that all look-overs take.
    pub sweep_core: f64,
    /// Their tables.
    pub tables_mb: f64,
    /// Milliseconds to build all tables.
    pub build_ms: f64,
}

/// So many services with so many servers each.
pub fn services(services: usize, each: usize, runs: usize) -> Services {
    let mut modules: Vec<Balancer> = (0..services as u64)
        .map(|seed| settled(each, seed))
        .collect();
    let list = list(each, |_| 1.0);
    let (mut now, mut delay) = (START + SECOND, SECOND / 10);
    let sweep_us = timed(runs, || {
        now += delay;
        for module in &mut modules {
            let mut out = Vec::new();
            module.on_event(now, Event::Timer(SWEEP), &mut out);
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
    let build_ms = timed(runs, || {
        (0..services).for_each(|_| drop(black_box(table(black_box(&list)))))
    }) / 1e3;
    let bytes = services * table(&list).len() * std::mem::size_of::<u32>();
    Services {
        sweep_core: sweep_us / delay as f64,
        tables_mb: bytes as f64 / f64::from(1 << 20),
        build_ms,
    }
}
