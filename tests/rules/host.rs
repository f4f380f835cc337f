//! A host of one node that tracks what a real host would (attempts in flight, requests that have ended,
//! timers) and checks each action of the balancer against the properties listed in `main.rs`.

use std::collections::BTreeMap;

use super::common::*;
use super::Step;
use load_balancer::*;

/// An attempt that the balancer sent.
struct SentAttempt {
    endpoint: Endpoint,
    sent_at: Micros,
    times_out_at: Micros,
    /// `None` while in flight, then whether it may have run.
    may_have_run: Option<bool>,
}

/// A request as the host knows it.
struct TrackedRequest {
    class: usize,
    /// Its key, if its class is in order.
    queue_key: Option<u64>,
    deadline: Micros,
    attempts: Vec<SentAttempt>,
    ended: bool,
}

/// A host that drives one node and checks each of its actions.
pub struct Host {
    node: Node,
    settings: Settings,
    requests: BTreeMap<u64, TrackedRequest>,
    endpoints: BTreeMap<u32, Endpoint>,
    timers: BTreeMap<(Micros, u64), TimerId>,
    /// By key, the end of its quarantine.
    quarantined_until: BTreeMap<u64, Micros>,
    /// The latest number given to a request or a timer.
    last_number: u64,
    /// Number of final answers so far.
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
            last_number: 0,
            answers: 0,
        };
        host.update_list(UpdateKind::Cached, (0..6).map(endpoint).collect());
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
                write_within,
            } => self.check_send(id, server, timeout, write_within),
            Action::Reject { id, .. } => self.check_rejection(id),
            Action::Fail { id } => {
                let request = self
                    .requests
                    .get_mut(&Self::number(id))
                    .expect("a request that the host has sent");
                assert!(!request.ended, "a second final answer");
                request.ended = true;
                self.answers += 1;
            }
            Action::Cancel { id, attempt } => {
                assert!(self.settings.may_cancel);
                let request = &self.requests[&Self::number(id)];
                assert!(
                    (attempt as usize) < request.attempts.len(),
                    "the cancelled attempt was never made"
                );
            }
            Action::SetTimer { delay, timer } => {
                self.last_number += 1;
                self.timers.insert((now + delay, self.last_number), timer);
            }
            Action::HealthCheck(server) => {
                assert!(self.settings.may_health_check);
                assert!(self.endpoints.contains_key(&server.0));
            }
            Action::SendToPeer { data, .. } => {
                assert!(
                    data.len() <= 256,
                    "a message to a peer is longer than 256 bytes"
                );
            }
            Action::CloseIdleConnections(_) | Action::Subscribe | Action::Log(_) => {}
        }
    }

    fn check_send(
        &mut self,
        id: RequestId,
        server: ServerId,
        timeout: Micros,
        write_within: Option<Micros>,
    ) {
        let now = self.node.now;
        let endpoint = self
            .endpoints
            .get(&server.0)
            .expect("a server on the list")
            .clone();
        assert_eq!(
            endpoint.state,
            ServerState::InService,
            "an attempt was sent to a server that is not in service"
        );
        let n = Self::number(id);
        self.check_order(n);
        let request = self
            .requests
            .get_mut(&n)
            .expect("a request that the host has sent");
        assert!(
            !request.ended,
            "an attempt was sent for a request that has ended"
        );
        assert!(
            timeout > 0 && now + timeout <= request.deadline,
            "the timeout is past the deadline"
        );
        assert!(request.attempts.len() < self.settings.max_attempts as usize);
        let in_flight = request
            .attempts
            .iter()
            .any(|attempt| attempt.may_have_run.is_none());
        assert!(
            !in_flight || self.settings.may_hedge,
            "hedged although the settings forbid it"
        );
        let first = request
            .attempts
            .iter()
            .find(|attempt| attempt.may_have_run != Some(false));
        if let Some(first) = first {
            match self.settings.classes[request.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("a non-idempotent request may run twice"),
                Idempotency::IdempotencyKey { scope, ttl } => {
                    let written_within = write_within.expect("a retry without a limit on writing");
                    assert!(
                        now + written_within <= first.sent_at + ttl,
                        "a retry that may be written after the deduplication time"
                    );
                    match scope {
                        DedupScope::All => {}
                        DedupScope::Zone => assert_eq!(first.endpoint.zone, endpoint.zone),
                        DedupScope::Cell => assert_eq!(first.endpoint.cell, endpoint.cell),
                    }
                }
            }
        }
        request.attempts.push(SentAttempt {
            endpoint,
            sent_at: now,
            times_out_at: now + timeout,
            may_have_run: None,
        });
    }

    /// Checks that the earlier requests of an in-order key and their attempts have ended, and that a first
    /// attempt is not sent during the key's quarantine.
    fn check_order(&self, n: u64) {
        let now = self.node.now;
        if let Some(key) = self.requests[&n].queue_key {
            let mut earlier = self
                .requests
                .range(..n)
                .filter(|(_, request)| request.queue_key == Some(key));
            assert!(
                earlier.all(|(_, request)| request.ended
                    && request
                        .attempts
                        .iter()
                        .all(|attempt| attempt.may_have_run.is_some())),
                "an earlier request of the key has not ended"
            );
            let quarantined = self
                .quarantined_until
                .get(&key)
                .is_some_and(|until| now < *until);
            assert!(
                !quarantined || !self.requests[&n].attempts.is_empty(),
                "a first attempt during the quarantine of its key"
            );
        }
    }

    fn check_rejection(&mut self, id: RequestId) {
        let request = self
            .requests
            .get_mut(&Self::number(id))
            .expect("a request that the host has sent");
        assert!(!request.ended, "a second final answer");
        let may_reject = match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent
            | Idempotency::IdempotencyKey {
                scope: DedupScope::All,
                ..
            } => true,
            _ => request
                .attempts
                .iter()
                .all(|attempt| attempt.may_have_run == Some(false)),
        };
        assert!(
            may_reject,
            "a rejected request may have run, and a retry would not be deduplicated"
        );
        request.ended = true;
        self.answers += 1;
    }

    fn update_list(&mut self, kind: UpdateKind, endpoints: Vec<Endpoint>) {
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
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, attempt)| attempt.may_have_run.is_none())
                .map(move |(a, _)| (*n, a))
        });
        all.collect()
    }

    fn end_attempt(&mut self, n: u64, attempt: usize, outcome: Outcome) {
        let request = self.requests.get_mut(&n).unwrap();
        let done = request.ended || outcome == Outcome::Ok;
        request.ended = done;
        let sent = &mut request.attempts[attempt];
        sent.may_have_run = Some(match outcome {
            Outcome::Overloaded => self.settings.overloaded_may_have_run,
            Outcome::ConnectFailed | Outcome::NotSent | Outcome::Withheld => false,
            _ => true,
        });
        if let Some(key) = request
            .queue_key
            .filter(|_| matches!(outcome, Outcome::Timeout | Outcome::Reset))
        {
            self.quarantined_until
                .insert(key, self.node.now + self.settings.quarantine_time);
        }
        let (server, elapsed) = (sent.endpoint.server, self.node.now - sent.sent_at);
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

    pub fn answers(&self) -> u64 {
        self.answers
    }

    /// Lets time pass. Timers and timeouts expire on the way, in the order of their times.
    pub fn wait(&mut self, span: Micros) {
        let end = self.node.now + span;
        loop {
            let timer = self.timers.keys().next().copied();
            let attempt = self
                .in_flight()
                .into_iter()
                .min_by_key(|&(n, a)| self.requests[&n].attempts[a].times_out_at);
            let ends = attempt.map(|(n, a)| self.requests[&n].attempts[a].times_out_at);
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
            "a request has no final answer at its deadline"
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
        self.last_number += 1;
        let n = self.last_number;
        let deadline = self.node.now + remaining_timeout;
        let queue_key = self.settings.classes[class].in_order.then_some(key);
        self.requests.insert(
            n,
            TrackedRequest {
                class,
                queue_key,
                deadline,
                attempts: Vec::new(),
                ended: false,
            },
        );
        self.event(Event::Request(Request {
            remaining_timeout,
            ..request(n, class, key)
        }));
        let request = &self.requests[&n];
        assert!(
            request.ended || !request.attempts.is_empty() || queue_key.is_some(),
            "the request was neither sent, queued nor answered"
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
        self.update_list(kind, endpoints.into_values().collect());
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
