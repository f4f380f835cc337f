//! The decisions of one node. The interface (settings, events, actions) is `src/api.rs`.
//!
//! [`Balancer`] decides which server gets which request, and which requests and servers are rejected,
//! retried or ejected. It takes events and returns actions; it performs no I/O and reads no clock. Each
//! rule is a module with a type that owns its state. This module dispatches the events and follows a
//! request from its arrival to its end:
//!
//! 1. `admission` rejects the request at once if the node has too many attempts in flight.
//! 2. `ordering` makes the request wait if its class is in order and an earlier request with the same key
//!    has not ended.
//! 3. `routing` picks a server: the owner of the key's slot in the `slot_table`, or the owner of one of
//!    the following slots.
//! 4. When the attempt ends, `outcome` records what that shows of the server (`outlier`, `latency`,
//!    `slow_start`) and of the load (`load_state`), and `retry` decides on another attempt.
//!
//! A request is rejected ([`Action::Reject`]) if the concurrency limit is reached, if its wait in a queue
//! would be too long, if no server may get it, or if no retry is allowed or left in the retry budget. If
//! it may have run and a client's retry would not be deduplicated, it fails instead ([`Action::Fail`]).
//! The host answers requests that are malformed and those for which it has no connection or memory; they
//! never reach the balancer.
//!
//! The periodic `tick` ages the counts and updates the rules, several times within the shortest latency
//! objective.

use std::collections::HashMap;

use fastrand::Rng;

use crate::api::*;

mod admission;
mod endpoints;
mod hot_keys;
mod idle_connections;
mod latency;
mod load_report;
mod load_state;
mod moving_average;
mod ordering;
mod outcome;
mod outlier;
mod request;
mod retry;
mod routing;
mod server;
mod slot_table;
mod slow_start;
mod subscription;
mod tick;
mod traffic;

pub use slot_table::{slot_of_key, table_slots, TableBuilder, LAYER_SLOTS};
pub use subscription::DISCOVERY_CALL_INTERVAL;

use admission::{ClassDemand, ConcurrencyLimit, QuotaStatus, TenantQuotas};
use hot_keys::HotKeys;
use idle_connections::IdleConnections;
use latency::{ClassLatencies, KindLatencies};
use load_state::LoadState;
use ordering::{QueueHead, RequestQueues};
use outlier::{ServerPoolHealth, ZoneHealth};
use request::{Attempt, AttemptState, Deadlines, EndedAttempt, PendingRequest};
use retry::RetryBudget;
use server::{ServerIndex, ServerSet};
use slot_table::SlotTable;
use slow_start::SlowStart;
use subscription::Subscription;
use tick::TickInterval;
use traffic::TrafficCounts;

const TICK_TIMER: TimerId = TimerId(1);
const SUBSCRIBE_TIMER: TimerId = TimerId(2);
/// The timer for the end of a key's quarantine has this number plus the key.
const FIRST_QUARANTINE_TIMER: u64 = 16;

/// The state of one node, and its decisions.
pub struct Balancer {
    settings: Settings,
    rng: Rng,
    now: Micros,
    tick: TickInterval,
    servers: ServerSet,
    slot_table: SlotTable,
    requests: HashMap<RequestId, PendingRequest>,
    queues: RequestQueues,
    traffic: TrafficCounts,
    hot_keys: HotKeys,
    limit: ConcurrencyLimit,
    demand: ClassDemand,
    quotas: TenantQuotas,
    load: LoadState,
    latencies: ClassLatencies,
    kind_latencies: KindLatencies,
    retry_budget: RetryBudget,
    pool: ServerPoolHealth,
    zones: ZoneHealth,
    slow_start: SlowStart,
    idle_connections: IdleConnections,
    subscription: Subscription,
}

impl Balancer {
    /// Creates a node without servers. `seed` determines the node's random choices, but nothing that all
    /// nodes must agree on, such as the slot table.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let slow_start = SlowStart::new(&settings, &mut rng);
        let mut balancer = Balancer {
            tick: TickInterval::for_classes(&settings.classes),
            settings: Settings::default(),
            rng,
            now: 0,
            servers: ServerSet::default(),
            slot_table: SlotTable::default(),
            requests: HashMap::new(),
            queues: RequestQueues::default(),
            traffic: TrafficCounts::default(),
            hot_keys: HotKeys::default(),
            limit: ConcurrencyLimit::default(),
            demand: ClassDemand::default(),
            quotas: TenantQuotas::default(),
            load: LoadState::default(),
            latencies: ClassLatencies::default(),
            kind_latencies: KindLatencies::default(),
            retry_budget: RetryBudget::default(),
            pool: ServerPoolHealth::default(),
            zones: ZoneHealth::default(),
            slow_start,
            idle_connections: IdleConnections::default(),
            subscription: Subscription::default(),
        };
        balancer.on_settings(settings);
        balancer
    }

    /// Handles one event at time `now` and appends the resulting actions to `out`.
    pub fn on_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::EndpointUpdate { kind, endpoints } => {
                self.on_endpoint_update(kind, endpoints, out);
            }
            Event::Request(request) => self.on_request(request, out),
            Event::RequestComplete {
                id,
                remaining_timeout,
            } => self.on_request_complete(id, remaining_timeout),
            Event::AttemptEnded(result) => self.on_attempt_ended(&result, out),
            Event::RequestAbandoned(id) => self.end_request(id, out),
            Event::HealthCheckEnded {
                server, outcome, ..
            } => self.on_health_check_ended(server, outcome),
            Event::Cordon { server, cordoned } => self.on_cordon(server, cordoned),
            Event::Settings(settings) => self.on_settings(*settings),
            Event::Timer(timer) => self.on_timer(timer, out),
            Event::ResponseStarted { .. } | Event::PeerMessage { .. } => {}
        }
    }

    fn on_timer(&mut self, timer: TimerId, out: &mut Vec<Action>) {
        match timer {
            TICK_TIMER => self.on_tick(out),
            SUBSCRIBE_TIMER if !self.subscription.is_subscribed() => out.push(Action::Subscribe),
            TimerId(number) if number >= FIRST_QUARANTINE_TIMER => {
                self.send_next_of_key(Key(number - FIRST_QUARANTINE_TIMER), out);
            }
            TimerId(_) => {}
        }
    }

    /// Applies new settings. Known classes and tenants must keep their indices; settings with fewer of them
    /// are ignored, as requests in flight refer to the indices.
    fn on_settings(&mut self, settings: Settings) {
        let classes = settings.classes.len();
        let tenants = settings.tenants.len();
        if classes < self.latencies.len() || tenants < self.quotas.len() {
            return;
        }
        self.latencies.add_classes(&settings.classes);
        self.demand.resize(classes);
        self.servers.resize_classes(classes);
        self.quotas.resize(tenants);
        self.tick = TickInterval::for_classes(&settings.classes);
        self.settings = settings;
    }

    fn on_request(&mut self, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        let class = request.class;
        if self.requests.contains_key(&id) {
            return;
        }
        if class.0 >= self.settings.classes.len() {
            return out.push(Action::Reject { id, retry_after: 0 });
        }
        let quota = self.count_request(&request);
        let slot = self.slot_of(request.key);
        let class_settings = &self.settings.classes[class.0];
        let deadlines = Deadlines::new(class_settings, self.now, request.remaining_timeout);
        let pending = PendingRequest::new(&request, class_settings, slot, deadlines);
        if let Some(key) = pending.queue_key {
            self.queues.push(key, id);
        }
        self.requests.insert(id, pending);
        let reserve = self
            .demand
            .reserve(&self.settings, &self.latencies, class, quota);
        if self
            .limit
            .rejects(&self.settings, slot, reserve, &mut self.rng)
        {
            self.reject_or_fail(id, out);
        } else {
            self.send_or_answer(id, out);
        }
    }

    /// Counts a new request and returns whether it is within its tenant's quota.
    fn count_request(&mut self, request: &Request) -> QuotaStatus {
        self.traffic.record_request();
        self.slow_start.record_request(self.now);
        if let Some(key) = request.key {
            self.hot_keys.record(key);
        }
        self.retry_budget.record_request();
        let window = self.traffic.window();
        let quota = self
            .quotas
            .record(&self.settings, request.tenant, window, &mut self.rng);
        self.demand.record(request.class, quota);
        quota
    }

    /// Handles the end of a request's body. Only now can the server process the request, so its deadlines
    /// and its attempt begin here.
    fn on_request_complete(&mut self, id: RequestId, remaining_timeout: Micros) {
        let Some(pending) = self.requests.get_mut(&id).filter(|p| p.body_pending) else {
            return;
        };
        let class = &self.settings.classes[pending.class.0];
        pending.complete(Deadlines::new(class, self.now, remaining_timeout));
        self.begin_attempt(id);
    }

    /// Counts the latest attempt of a complete request as in flight from now on.
    fn begin_attempt(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = request.attempts.last_mut() else {
            return;
        };
        if attempt.state != AttemptState::InFlight {
            return;
        }
        let Some(index) = self.servers.index_of(attempt.endpoint.server) else {
            return;
        };
        attempt.sent_at = self.now;
        attempt.counted = true;
        self.servers[index].begin_attempt(self.now);
        self.limit.begin_attempt();
    }

    /// Sends the next attempt of a request, leaves the request in its key's queue, or gives its final answer
    /// (rejected or failed).
    fn send_or_answer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(wait) = self.queue_wait(id) {
            if !self.may_wait(&self.requests[&id], wait) {
                self.reject_or_fail(id, out);
            }
            return;
        }
        let may_send = retry::may_send(&self.settings, &self.requests[&id], self.now);
        let server = if may_send { self.route(id) } else { None };
        match server {
            Some(index) => self.send(id, index, out),
            None => self.reject_or_fail(id, out),
        }
    }

    /// Sends an attempt to a server. If the server, or the class at this server, is ejected, the attempt is
    /// the trial.
    fn send(&mut self, id: RequestId, index: ServerIndex, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let class = request.class;
        let mean = self.latencies.mean(class);
        let timeout = retry::attempt_timeout(&self.settings, request, mean, self.now);
        let deduplication_end = retry::deduplication_end(&self.settings, request);
        let server = &mut self.servers[index];
        server.ejection.begin_trial();
        server.class_ejections[class.0].begin_trial();
        server.attempt_budget.take();
        self.traffic.record_attempt();
        out.push(Action::Send {
            id,
            server: server.id(),
            timeout,
            write_within: deduplication_end.map(|end| end.saturating_sub(self.now)),
        });
        let expected = self.latencies.expected(class, request.cost);
        let attempt = Attempt::new(server.endpoint.clone(), self.now, expected);
        request.attempts.push(attempt);
        if !request.body_pending {
            self.begin_attempt(id);
        }
    }

    /// Gives the final answer to a request that gets no further attempt: rejected if the client may safely
    /// retry it, and failed otherwise.
    fn reject_or_fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let request = &self.requests[&id];
        let idempotency = self.settings.classes[request.class.0].idempotency;
        if retry::may_reject(idempotency, request) {
            let retry_after = admission::retry_after(&self.settings, request.class, self.tick);
            out.push(Action::Reject { id, retry_after });
        } else {
            out.push(Action::Fail { id });
        }
        self.end_request(id, out);
    }

    /// Ends a request: no attempt is sent for it from now on, and those in flight are cancelled where the
    /// settings allow that. When the last of them has ended, the request is removed and the next one in its
    /// key's queue is sent.
    fn end_request(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let in_flight = request.attempts_in_flight();
        if self.settings.may_cancel && !request.ended {
            let cancel = |&attempt: &u32| Action::Cancel { id, attempt };
            out.extend(in_flight.iter().map(cancel));
        }
        request.ended = true;
        if !in_flight.is_empty() {
            return;
        }
        let queue_key = request.queue_key;
        self.requests.remove(&id);
        if let Some(key) = queue_key {
            self.queues.remove(key, id);
            self.send_next_of_key(key, out);
        }
    }

    fn on_attempt_ended(&mut self, result: &AttemptResult, out: &mut Vec<Action>) {
        let Some(ended) = self.close_attempt(result) else {
            return;
        };
        let id = result.id;
        let outcome = result.outcome;
        if let Some(key) = ended.queue_key {
            self.quarantine_if_running(key, outcome, out);
        }
        self.record_outcome(ended.class, ended.cost, result, out);
        if ended.request_ended || result.request_ended || outcome == Outcome::Ok {
            self.end_request(id, out);
        } else if !ended.has_attempt_in_flight {
            self.retry_or_answer(id, outcome, out);
        }
    }

    /// Marks an attempt as no longer in flight. Returns `None`, and the event is ignored, if no such attempt
    /// is in flight.
    fn close_attempt(&mut self, result: &AttemptResult) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&result.id)?;
        let attempt = request.attempts.get_mut(result.attempt as usize)?;
        let server = attempt.endpoint.server;
        if attempt.state != AttemptState::InFlight || server != result.server {
            return None;
        }
        attempt.state = retry::attempt_state(result.outcome, &self.settings);
        if attempt.counted {
            self.limit.end_attempt();
            if let Some(index) = self.servers.index_of(server) {
                self.servers[index].in_flight -= 1;
            }
        }
        Some(EndedAttempt {
            class: request.class,
            cost: request.cost,
            queue_key: request.queue_key,
            request_ended: request.ended,
            has_attempt_in_flight: request.has_attempt_in_flight(),
        })
    }

    /// Retries a request whose last attempt ended in `outcome`, or gives its final answer if the retry budget
    /// is empty. An attempt that cost the servers no work takes nothing from the budget.
    fn retry_or_answer(&mut self, id: RequestId, outcome: Outcome, out: &mut Vec<Action>) {
        let may_retry = match outcome {
            Outcome::NotSent => false,
            Outcome::ConnectFailed | Outcome::Withheld => true,
            _ => self.retry_budget.try_take(),
        };
        if may_retry {
            self.send_or_answer(id, out);
        } else {
            self.reject_or_fail(id, out);
        }
    }

    /// Quarantines an in-order key after an outcome that leaves open whether the attempt is still running.
    fn quarantine_if_running(&mut self, key: Key, outcome: Outcome, out: &mut Vec<Action>) {
        if !matches!(
            outcome,
            Outcome::Timeout | Outcome::Reset | Outcome::Cancelled
        ) {
            return;
        }
        let delay = self.settings.quarantine_time;
        self.queues.quarantine(key, self.now + delay);
        out.push(Action::SetTimer {
            delay,
            timer: TimerId(FIRST_QUARANTINE_TIMER.wrapping_add(key.0)),
        });
    }

    /// Estimate of how long a request must wait in its key's queue, in microseconds; `None` if it may be sent
    /// now.
    fn queue_wait(&self, id: RequestId) -> Option<Micros> {
        let request = &self.requests[&id];
        let position = self.queues.position(request.queue_key?, id, self.now)?;
        // The request at the front may be retried during the quarantine that it caused itself.
        let is_free = position.quarantine_left == 0 || !request.attempts.is_empty();
        if position.ahead == 0 && is_free {
            return None;
        }
        let mean = self.latencies.mean(request.class) as Micros;
        Some(position.quarantine_left + position.ahead as u64 * mean)
    }

    /// Whether a request that must wait for `wait` can still be answered within its latency objective, and a
    /// tick that could reject it comes before its deadline.
    fn may_wait(&self, request: &PendingRequest, wait: Micros) -> bool {
        let answered_at = self.now + wait + self.latencies.mean(request.class) as Micros;
        let next_ticks = self.now + 2 * self.tick.micros();
        answered_at < request.objective && next_ticks < request.deadline
    }

    /// Sends the first request of a key's queue, unless it has been sent or the key is quarantined.
    fn send_next_of_key(&mut self, key: Key, out: &mut Vec<Action>) {
        if let QueueHead::Request(id) = self.queues.head(key, self.now) {
            if self.requests[&id].attempts.is_empty() {
                self.send_or_answer(id, out);
            }
        }
    }

    /// Goes through the requests that wait in queues: sends those whose turn it is, and rejects those that
    /// can no longer be answered in time.
    fn send_or_answer_queued(&mut self, out: &mut Vec<Action>) {
        for id in self.queues.requests() {
            let is_unsent = |request: &PendingRequest| request.attempts.is_empty();
            if self.requests.get(&id).is_some_and(is_unsent) {
                self.send_or_answer(id, out);
            }
        }
    }
}
