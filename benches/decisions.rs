//! Benchmarks of the balancer for several numbers of servers: building the slot table, handling a request and
//! its answer, and a tick. They check no limits.

use criterion::{criterion_group, criterion_main, BatchSize, BenchmarkId, Criterion};
use load_balancer::balancer::TableBuilder;
use load_balancer::*;

/// The number of the balancer's tick timer.
const TICK_TIMER: TimerId = TimerId(1);

fn endpoint(server: u32) -> Endpoint {
    Endpoint {
        server: ServerId(server),
        zone: ZoneId(server % 2),
        kind: KindId(server % 3),
        cell: CellId(u64::from(server / 8)),
        state: ServerState::InService,
        weight: 1.0,
        started_at: 0,
    }
}

fn balancer(servers: u32) -> Balancer {
    let class = RequestClass {
        latency_objective: 500_000,
        deadline: 2_000_000,
        priority_weight: 1.0,
        late_value: 0.2,
        idempotency: Idempotency::Idempotent,
        in_order: false,
    };
    let settings = Settings {
        classes: vec![class],
        key_affinity: true,
        max_attempts: 3,
        slow_start_time: 10_000_000,
        ..Settings::default()
    };
    let mut balancer = Balancer::new(settings, 1);
    let endpoints = (0..servers).map(endpoint).collect();
    balancer.on_event(
        1_000_000,
        Event::EndpointUpdate {
            kind: UpdateKind::Cached,
            endpoints,
        },
        &mut Vec::new(),
    );
    balancer
}

fn request(n: u64) -> Request {
    let mut id = [b'0'; 36];
    id[..20].copy_from_slice(format!("{n:020}").as_bytes());
    Request {
        id: RequestId(id),
        remaining_timeout: 1_000_000,
        class: ClassId(0),
        cost: Some(40_000),
        is_retry: false,
        tenant: None,
        key: Some(Key(n.wrapping_mul(0x9e37_79b9) >> 11)),
        body_pending: false,
    }
}

fn slot_table(c: &mut Criterion) {
    let mut group = c.benchmark_group("slot table");
    for servers in [10_u32, 60, 200, 1_000, 4_000, 18_000] {
        let list: Vec<(ServerId, f64)> =
            (0..servers).map(|server| (ServerId(server), 1.0)).collect();
        group.bench_with_input(BenchmarkId::from_parameter(servers), &list, |b, list| {
            b.iter(|| {
                let mut builder = TableBuilder::new(list.clone());
                builder.claim(usize::MAX);
                builder.owners(|id| id)
            });
        });
    }
}

fn events(c: &mut Criterion) {
    for servers in [10, 60, 200] {
        let mut now = 2_000_000;
        let mut n = 0;
        let mut node = balancer(servers);
        let mut out = Vec::new();
        c.bench_function(&format!("request and answer/{servers}"), |b| {
            b.iter(|| {
                now += 1_000;
                n += 1;
                out.clear();
                let request = request(n);
                let id = request.id;
                node.on_event(now, Event::Request(request), &mut out);
                let server = out.iter().find_map(|action| match action {
                    Action::Send { server, .. } => Some(*server),
                    _ => None,
                });
                let Some(server) = server else { return };
                let result = AttemptResult {
                    id,
                    attempt: 0,
                    server,
                    outcome: Outcome::Ok,
                    elapsed: 50_000,
                    request_ended: true,
                    load_report: Vec::new(),
                };
                node.on_event(now, Event::AttemptEnded(result), &mut out);
            });
        });
        c.bench_function(&format!("tick/{servers}"), |b| {
            b.iter_batched_ref(
                || balancer(servers),
                |node| node.on_event(3_000_000, Event::Timer(TICK_TIMER), &mut Vec::new()),
                BatchSize::SmallInput,
            );
        });
    }
}

criterion_group!(benches, slot_table, events);
criterion_main!(benches);
