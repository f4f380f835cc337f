//! A host that tracks what a real host would (the attempts in flight, the requests that have ended and the
//! timers) and checks the rules on each action.

use std::collections::BTreeMap;

use super::common::*;
use super::Step;
use load_balancer::*;

/// An attempt that the balancer sent.
struct SentAttempt {
    endpoint: Endpoint,
    at: Micros,
    ends: Micros,
    /// `None` while in flight, then whether it may have run.
    ran: Option<bool>,
}

/// A request as the host knows it.
struct OpenRequest {
    class: usize,
    /// Its key, where its class is in order.
    queue_key: Option<u64>,
    deadline: Micros,
    sent: Vec<SentAttempt>,
    ended: bool,
}

/// A host of one node that checks each action.
pub struct Host {
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
    pub fn new(settings: Settings) -> Self {
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

    pub fn all_ended(&self) -> bool {
        self.requests.values().all(|request| request.ended)
    }

    /// Number of final answers so far.
    pub fn answers(&self) -> u64 {
        self.answers
    }

    /// Lets time pass: timers and timeouts expire on the way, in their order.
    pub fn wait(&mut self, span: Micros) {
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

    pub fn step(&mut self, step: Step) {
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
