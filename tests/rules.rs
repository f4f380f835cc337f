//! The four rules over random legal sequences of events, as far as one node can see them.
//!
//! The host here tracks what a real host would: the attempts in flight, the requests that have ended and the
//! timers. It models no server: the outcome of an attempt is drawn at random.

mod common;

use std::collections::BTreeMap;

use common::*;
use load_balancer::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// One step of a random sequence.
#[derive(Clone, Debug)]
enum Step {
    Request {
        class: usize,
        key: u64,
        remaining_timeout: Micros,
    },
    EndAttempt {
        pick: usize,
        outcome: u8,
    },
    Abandon {
        pick: usize,
    },
    List {
        full: bool,
        servers: Vec<(u32, u8)>,
    },
    ListFailure,
    HealthCheck {
        server: u32,
        ok: bool,
    },
    Wait {
        span: Micros,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4usize, prop_oneof![0..4u64, 0..40u64], 1..3 * SECOND)
            .prop_map(|(class, key, remaining_timeout)| Step::Request { class, key, remaining_timeout }),
        6 => (any::<usize>(), 0..7u8).prop_map(|(pick, outcome)| Step::EndAttempt { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Step::Abandon { pick }),
        1 => (any::<bool>(), prop::collection::vec((0..12u32, 0..5u8), 0..12))
            .prop_map(|(full, servers)| Step::List { full, servers }),
        1 => Just(Step::ListFailure),
        1 => (0..12u32, any::<bool>()).prop_map(|(server, ok)| Step::HealthCheck { server, ok }),
        4 => (1..400_000u64).prop_map(|span| Step::Wait { span }),
    ]
}

struct SentAttempt {
    endpoint: Endpoint,
    at: Micros,
    ends: Micros,
    /// `None` while in flight, then whether it may have run.
    ran: Option<bool>,
}

struct OpenRequest {
    class: usize,
    /// Its key, where its class is in order.
    queue_key: Option<u64>,
    deadline: Micros,
    sent: Vec<SentAttempt>,
    ended: bool,
}

struct Host {
    node: Node,
    settings: Settings,
    requests: BTreeMap<u64, OpenRequest>,
    endpoints: BTreeMap<u32, Endpoint>,
    timers: BTreeMap<(Micros, u64), TimerId>,
    /// By key, the end of its quarantine.
    quarantined_until: BTreeMap<u64, Micros>,
    next: u64,
    answers: u64,
}

impl Host {
    fn new(settings: Settings) -> Self {
        let mut host = Host {
            node: Node {
                balancer: Balancer::new(settings.clone(), 3),
                now: 50 * SECOND,
            },
            settings,
            requests: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            timers: BTreeMap::new(),
            quarantined_until: BTreeMap::new(),
            next: 0,
            answers: 0,
        };
        host.list(UpdateKind::Cached, (0..6).map(endpoint).collect());
        host
    }

    fn number(id: RequestId) -> u64 {
        std::str::from_utf8(&id.0[..20]).unwrap().parse().unwrap()
    }

    fn event(&mut self, event: Event) {
        let actions = self.node.event(event);
        for action in actions {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        let now = self.node.now;
        match action {
            Action::Send {
                id,
                server,
                timeout,
            } => self.check_send(id, server, timeout),
            Action::Reject { id, .. } => self.check_rejection(id),
            Action::Fail { id } => {
                let request = self.requests.get_mut(&Self::number(id)).expect("known");
                assert!(!request.ended, "one final answer");
                request.ended = true;
                self.answers += 1;
            }
            Action::Cancel { id, attempt } => {
                assert!(self.settings.may_cancel);
                let request = &self.requests[&Self::number(id)];
                assert!(
                    (attempt as usize) < request.sent.len(),
                    "an attempt that was made"
                );
            }
            Action::SetTimer { delay, timer } => {
                self.next += 1;
                self.timers.insert((now + delay, self.next), timer);
            }
            Action::HealthCheck(server) => {
                assert!(self.settings.may_health_check);
                assert!(self.endpoints.contains_key(&server.0));
            }
            Action::SendToPeer { data, .. } => {
                assert!(data.len() <= 256, "longer than a message");
            }
            Action::CloseIdleConnections(_) | Action::Subscribe | Action::Log(_) => {}
        }
    }

    fn check_send(&mut self, id: RequestId, server: ServerId, timeout: Micros) {
        let now = self.node.now;
        let endpoint = self.endpoints.get(&server.0).expect("on the list").clone();
        assert_eq!(
            endpoint.state,
            ServerState::InService,
            "draining servers get nothing"
        );
        let n = Self::number(id);
        self.check_order(n);
        let request = self.requests.get_mut(&n).expect("known");
        assert!(
            !request.ended,
            "nothing is sent for a request that has ended"
        );
        assert!(timeout > 0 && now + timeout <= request.deadline, "in time");
        assert!(request.sent.len() < self.settings.max_attempts as usize);
        let in_flight = request.sent.iter().any(|s| s.ran.is_none());
        assert!(
            !in_flight || self.settings.may_hedge,
            "hedged where that is not allowed"
        );
        let first = request.sent.iter().find(|s| s.ran != Some(false));
        if let Some(first) = first {
            match self.settings.classes[request.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("an effect may happen twice"),
                Idempotency::IdempotencyKey { scope, ttl } => {
                    assert!(now <= first.at + ttl, "after the time of deduplication");
                    match scope {
                        DedupScope::All => {}
                        DedupScope::Zone => assert_eq!(first.endpoint.zone, endpoint.zone),
                        DedupScope::Cell => assert_eq!(first.endpoint.cell, endpoint.cell),
                    }
                }
            }
        }
        request.sent.push(SentAttempt {
            endpoint,
            at: now,
            ends: now + timeout,
            ran: None,
        });
    }

    /// The earlier requests of its key have ended, with all attempts, and a new one is not quarantined.
    fn check_order(&self, n: u64) {
        let now = self.node.now;
        if let Some(key) = self.requests[&n].queue_key {
            let mut earlier = self
                .requests
                .range(..n)
                .filter(|(_, request)| request.queue_key == Some(key));
            assert!(
                earlier
                    .all(|(_, request)| request.ended
                        && request.sent.iter().all(|s| s.ran.is_some())),
                "order"
            );
            let quarantined = self
                .quarantined_until
                .get(&key)
                .is_some_and(|until| now < *until);
            assert!(
                !quarantined || !self.requests[&n].sent.is_empty(),
                "the key is quarantined"
            );
        }
    }

    fn check_rejection(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&Self::number(id)).expect("known");
        assert!(!request.ended, "one final answer");
        let may_reject = match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent
            | Idempotency::IdempotencyKey {
                scope: DedupScope::All,
                ..
            } => true,
            _ => request.sent.iter().all(|s| s.ran == Some(false)),
        };
        assert!(may_reject, "a rejected request may be retried");
        request.ended = true;
        self.answers += 1;
    }

    fn list(&mut self, kind: UpdateKind, endpoints: Vec<Endpoint>) {
        if kind != UpdateKind::Delta {
            self.endpoints
                .values_mut()
                .for_each(|m| m.state = ServerState::Removed);
        }
        for endpoint in &endpoints {
            self.endpoints.insert(endpoint.server.0, endpoint.clone());
        }
        self.event(Event::EndpointUpdate { kind, endpoints });
    }

    fn in_flight(&self) -> Vec<(u64, usize)> {
        let all = self.requests.iter().flat_map(|(n, request)| {
            request
                .sent
                .iter()
                .enumerate()
                .filter(|(_, s)| s.ran.is_none())
                .map(move |(a, _)| (*n, a))
        });
        all.collect()
    }

    fn end_attempt(&mut self, n: u64, attempt: usize, outcome: Outcome) {
        let request = self.requests.get_mut(&n).unwrap();
        let done = request.ended || outcome == Outcome::Ok;
        request.ended = done;
        let sent = &mut request.sent[attempt];
        sent.ran = Some(match outcome {
            Outcome::Overloaded => self.settings.overloaded_may_have_run,
            Outcome::ConnectFailed | Outcome::NotSent => false,
            _ => true,
        });
        if let Some(key) = request
            .queue_key
            .filter(|_| matches!(outcome, Outcome::Timeout | Outcome::Reset))
        {
            self.quarantined_until
                .insert(key, self.node.now + self.settings.quarantine_time);
        }
        let (server, elapsed) = (sent.endpoint.server, self.node.now - sent.at);
        let (id, attempt, load) = (id(n), attempt as u32, vec![]);
        self.event(Event::AttemptEnded(AttemptResult {
            id,
            attempt,
            server,
            outcome,
            elapsed,
            request_ended: done,
            load_report: load,
        }));
    }

    /// Lets time pass: timers and timeouts expire on the way, in their order.
    fn wait(&mut self, span: Micros) {
        let end = self.node.now + span;
        loop {
            let timer = self.timers.keys().next().copied();
            let attempt = self
                .in_flight()
                .into_iter()
                .min_by_key(|&(n, a)| self.requests[&n].sent[a].ends);
            let ends = attempt.map(|(n, a)| self.requests[&n].sent[a].ends);
            let next = timer
                .map_or(u64::MAX, |t| t.0)
                .min(ends.unwrap_or(u64::MAX));
            if next > end {
                break;
            }
            self.node.now = self.node.now.max(next);
            if ends == Some(next) {
                let (n, a) = attempt.unwrap();
                self.end_attempt(n, a, Outcome::Timeout);
            } else if let Some(timer) = timer.and_then(|t| self.timers.remove(&t)) {
                self.event(Event::Timer(timer));
            }
        }
        self.node.now = end;
        let now = self.node.now;
        assert!(
            self.requests
                .values()
                .all(|request| request.ended || request.deadline > now),
            "an answer is overdue"
        );
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Request {
                class,
                key,
                remaining_timeout,
            } => self.send_request(class, key, remaining_timeout),
            Step::EndAttempt { pick, outcome } => self.end_any_attempt(pick, outcome),
            Step::Abandon { pick } => self.abandon_any(pick),
            Step::List { full, servers } => self.list_servers(full, servers),
            Step::ListFailure => self.event(Event::EndpointUpdate {
                kind: UpdateKind::Failed,
                endpoints: vec![],
            }),
            Step::HealthCheck { server, ok } => self.end_health_check(server, ok),
            Step::Wait { span } => self.wait(span),
        }
    }

    fn send_request(&mut self, class: usize, key: u64, remaining_timeout: Micros) {
        self.next += 1;
        let n = self.next;
        let deadline = self.node.now + remaining_timeout;
        let queue_key = self.settings.classes[class].in_order.then_some(key);
        self.requests.insert(
            n,
            OpenRequest {
                class,
                queue_key,
                deadline,
                sent: Vec::new(),
                ended: false,
            },
        );
        self.event(Event::Request(Request {
            remaining_timeout,
            ..request(n, class, key)
        }));
        let request = &self.requests[&n];
        assert!(
            request.ended || !request.sent.is_empty() || queue_key.is_some(),
            "neither sent nor answered"
        );
    }

    fn end_any_attempt(&mut self, pick: usize, outcome: u8) {
        let in_flight = self.in_flight();
        if in_flight.is_empty() {
            return;
        }
        let (n, attempt) = in_flight[pick % in_flight.len()];
        let outcome = [
            Outcome::Ok,
            Outcome::Error,
            Outcome::Overloaded,
            Outcome::Timeout,
            Outcome::ConnectFailed,
            Outcome::Reset,
            Outcome::Ok,
        ][usize::from(outcome)];
        self.end_attempt(n, attempt, outcome);
    }

    fn abandon_any(&mut self, pick: usize) {
        let open: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| !request.ended)
            .map(|(n, _)| *n)
            .collect();
        if !open.is_empty() {
            let n = open[pick % open.len()];
            self.requests.get_mut(&n).unwrap().ended = true;
            self.event(Event::RequestAbandoned(id(n)));
        }
    }

    fn list_servers(&mut self, full: bool, servers: Vec<(u32, u8)>) {
        let now = self.node.now;
        let mut endpoints = BTreeMap::new();
        for (server, state) in servers {
            let state = match state {
                0 => ServerState::Draining,
                1 if !full => ServerState::Removed,
                _ => ServerState::InService,
            };
            let since = if server % 3 == 0 { now } else { 0 };
            endpoints.insert(
                server,
                Endpoint {
                    state,
                    started_at: since,
                    ..endpoint(server)
                },
            );
        }
        let kind = if full {
            UpdateKind::Full
        } else {
            UpdateKind::Delta
        };
        self.list(kind, endpoints.into_values().collect());
    }

    fn end_health_check(&mut self, server: u32, ok: bool) {
        let outcome = if ok { Outcome::Ok } else { Outcome::Timeout };
        let (server, load) = (ServerId(server), vec![]);
        self.event(Event::HealthCheckEnded {
            server,
            outcome,
            elapsed: 1_000,
            load_report: load,
        });
    }
}

fn play_random_sequences(settings: Settings) {
    let config = Config {
        cases: 96,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let answers = std::cell::Cell::new(0);
    runner
        .run(&prop::collection::vec(step(), 1..300), |steps| {
            let mut host = Host::new(settings.clone());
            for step in steps {
                host.step(step);
            }
            host.wait(10 * SECOND);
            assert!(
                host.requests.values().all(|request| request.ended),
                "a request is still open"
            );
            answers.set(answers.get().max(host.answers));
            Ok(())
        })
        .unwrap();
    assert!(answers.get() > 0, "requests get final answers");
}

#[test]
fn hedging_and_pushed_lists() {
    play_random_sequences(settings());
}

#[test]
fn in_order_classes_and_overloaded_attempts_that_may_have_run() {
    let mut settings = Settings {
        quarantine_time: 200_000,
        overloaded_may_have_run: true,
        ..settings()
    };
    settings.classes[1].in_order = true;
    settings.classes[2].in_order = true;
    settings.classes[2].idempotency = Idempotency::IdempotencyKey {
        scope: DedupScope::Zone,
        ttl: SECOND,
    };
    play_random_sequences(settings.clone());
    play_random_sequences(Settings {
        overloaded_may_have_run: false,
        may_cancel: false,
        may_hedge: false,
        ..settings
    });
}

#[test]
fn health_checks_and_polled_lists_without_hedging() {
    play_random_sequences(Settings {
        may_hedge: false,
        may_cancel: false,
        may_health_check: true,
        discovery_mode: DiscoveryMode::Poll,
        node_count: 60,
        ..settings()
    });
}

#[test]
fn identical_events_give_identical_actions() {
    let run = || {
        let mut node = Node::with_servers(9);
        let mut all = Vec::new();
        for n in 0..500 {
            let actions = node.send_request(n, (n % 4) as usize, n % 17);
            if let Some(server) = sent_to(&actions) {
                all.extend(node.end_attempt(
                    n,
                    0,
                    server,
                    [Outcome::Ok, Outcome::Overloaded][n as usize % 2],
                ));
            }
            all.extend(actions);
            node.advance(50_000);
        }
        all
    };
    assert_eq!(run(), run());
}

/// Rule 4, as far as one node can follow it: in each window it sends a warming server less than overloads
/// the capacity that the server surely has, also when much of the fleet is warming up and one key brings
/// much of the traffic.
#[test]
fn warming_servers_are_sent_less_than_overloads_them() {
    for (warming, multiple) in [(1, 1.5), (4, 1.5), (8, 1.5), (8, 3.0), (11, 1.5)] {
        let mut endpoints: Vec<Endpoint> = (0..12).map(endpoint).collect();
        endpoints[..warming]
            .iter_mut()
            .for_each(|m| m.started_at = 100 * SECOND);
        let settings = Settings {
            cold_overload_factor: multiple,
            ..settings()
        };
        let mut node = Node::new(settings.clone(), endpoints);
        for window in 0..9 {
            let (per_window, mut counts) = (2_000u64, [0u32; 12]);
            for n in 0..per_window {
                node.advance(if n % 200 == 0 { 100_000 } else { 0 });
                let n = window * per_window + n;
                let Some(server) =
                    sent_to(&node.send_request(n, IDEMPOTENT, if n % 5 == 0 { 7 } else { n }))
                else {
                    continue;
                };
                counts[server.0 as usize] += 1;
                node.end_attempt(n, 0, server, Outcome::Ok);
            }
            // The requests are what the fleet does when it is warm.
            let warm_up =
                settings.cold_capacity + (1.0 - settings.cold_capacity) * window as f64 / 10.0;
            let most = multiple * warm_up * per_window as f64 / 12.0;
            for count in &counts[..warming] {
                assert!(
                    f64::from(*count) < most,
                    "{warming} warming, window {window}: {count} of at most {most}"
                );
            }
        }
    }
}

const IDEMPOTENT: usize = 0;

/// After a failed call or a broken subscription the next call follows after a pause, well inside the bound.
#[test]
fn a_polling_node_never_goes_long_without_a_call() {
    let settings = Settings {
        discovery_mode: DiscoveryMode::Poll,
        node_count: 60,
        ..settings()
    };
    let mut node = Node {
        balancer: Balancer::new(settings.clone(), 9),
        now: SECOND,
    };
    let mut first = node.update_endpoints(UpdateKind::Cached, vec![endpoint(1)]);
    for _ in 0..12 {
        let delay = first.iter().find_map(|a| match a {
            Action::SetTimer {
                delay,
                timer: TimerId(2),
            } => Some(*delay),
            _ => None,
        });
        let delay = delay.expect("a timer of the next call");
        assert!(delay < settings.max_poll_interval, "{delay}");
        node.now += delay;
        assert_eq!(
            node.event(Event::Timer(TimerId(2))),
            vec![Action::Subscribe]
        );
        first = node.update_endpoints(UpdateKind::Failed, vec![]);
    }
}
