//! Helpers of the tests: a `Balancer` in virtual time with shorthands for its events, and in the submodules a real node
//! on loopback with servers and discovery services that a test controls.
#![allow(dead_code)]

pub mod arrival;
pub mod discovery_server;
pub mod environment;
pub mod http;
pub mod node_fixture;
pub mod plays;
pub mod received;
pub mod stand_ins;
pub mod timed_requests;
pub mod timestamping_servers;

use load_balancer::*;

pub const SECOND: Micros = 1_000_000;

pub fn class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: 500_000,
        deadline: 2 * SECOND,
        priority_weight: 1.0,
        late_value: 0.2,
        idempotency,
        in_order: false,
    }
}

pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NonIdempotent),
            class(Idempotency::IdempotencyKey {
                scope: DedupScope::Cell,
                ttl: SECOND,
            }),
            class(Idempotency::IdempotencyKey {
                scope: DedupScope::All,
                ttl: SECOND,
            }),
        ],
        weight_source: WeightSource::Nominal,
        key_affinity: true,
        may_cancel: true,
        may_hedge: true,
        max_attempts: 3,
        cold_capacity: 0.2,
        slow_start_time: 10 * SECOND,
        cold_overload_factor: 3.0,
        ..Settings::default()
    }
}

pub fn endpoint(server: u32) -> Endpoint {
    Endpoint {
        server: ServerId(server),
        zone: ZoneId(server % 2),
        kind: KindId(0),
        cell: CellId(u64::from(server / 4)),
        state: ServerState::InService,
        weight: 1.0,
        started_at: 0,
    }
}

pub fn id(n: u64) -> RequestId {
    let mut bytes = [b'0'; 36];
    bytes[..20].copy_from_slice(format!("{n:020}").as_bytes());
    RequestId(bytes)
}

pub fn request(n: u64, class: usize, key: u64) -> Request {
    Request {
        id: id(n),
        remaining_timeout: SECOND,
        class: ClassId(class),
        cost: None,
        is_retry: false,
        tenant: None,
        key: Some(Key(key)),
        body_pending: false,
    }
}

/// A balancer in virtual time.
pub struct Node {
    pub balancer: Balancer,
    pub now: Micros,
}

impl Node {
    pub fn new(settings: Settings, endpoints: Vec<Endpoint>) -> Self {
        let mut node = Node {
            balancer: Balancer::new(settings, 1),
            now: 100 * SECOND,
        };
        node.event(Event::EndpointUpdate {
            kind: UpdateKind::Cached,
            endpoints,
        });
        node
    }

    pub fn with_servers(servers: u32) -> Self {
        Node::new(settings(), (0..servers).map(endpoint).collect())
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.balancer.on_event(self.now, event, &mut out);
        out
    }

    pub fn send_request(&mut self, n: u64, class: usize, key: u64) -> Vec<Action> {
        self.event(Event::Request(request(n, class, key)))
    }

    /// Sends a request; returns the server that its attempt went to.
    pub fn route(&mut self, n: u64, class: usize, key: u64) -> ServerId {
        let actions = self.send_request(n, class, key);
        sent_to(&actions).unwrap_or_else(|| panic!("not sent: {actions:?}"))
    }

    pub fn end_attempt(
        &mut self,
        n: u64,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.end_attempt_after(n, attempt, server, outcome, 20_000)
    }

    pub fn end_attempt_after(
        &mut self,
        n: u64,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        elapsed: Micros,
    ) -> Vec<Action> {
        let (id, done) = (id(n), outcome == Outcome::Ok);
        self.event(Event::AttemptEnded(AttemptResult {
            id,
            attempt,
            server,
            outcome,
            elapsed,
            request_ended: done,
            load_report: vec![],
        }))
    }

    pub fn update_endpoints(&mut self, kind: UpdateKind, endpoints: Vec<Endpoint>) -> Vec<Action> {
        self.event(Event::EndpointUpdate { kind, endpoints })
    }

    /// Advances the time in steps of 0.1 s, and lets the tick timer expire at each step, as a host does.
    pub fn advance(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now += 100_000;
            self.event(Event::Timer(TimerId(1)));
        }
    }
}

/// Returns the server of the first attempt that the actions send.
pub fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// Whether the actions reject a request.
pub fn rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

/// Whether the actions fail a request.
pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}
