//! The part that all baseline policies share, so that they differ only in the selection of a server: the list of
//! ready servers, the requests in flight and the rules on retries. They have no concurrency limit, no ejection and
//! no health checks.

use std::collections::BTreeMap;

use load_balancer::{
    Action, AttemptResult, Event, Idempotency, Outcome, Request, RequestId, ServerId, ServerState,
    Settings, UpdateKind,
};

use super::choose::{SelectServer, SelectionContext};
use super::{GroundTruth, Policy};
use crate::wire::WireError;
use crate::world::Micros;

struct PendingRequest {
    request: Request,
    deadline: Micros,
    tried: Vec<ServerId>,
    /// Whether a server may have executed the request.
    may_have_executed: bool,
}

/// A baseline policy: a server selector within the rules on retries.
pub struct Baseline {
    settings: Settings,
    selector: Box<dyn SelectServer>,
    /// Servers of the endpoint list, with whether they are in service.
    listed: BTreeMap<ServerId, bool>,
    cordoned: Vec<ServerId>,
    /// Servers in service and not cordoned, by id.
    ready: Vec<ServerId>,
    pending: BTreeMap<RequestId, PendingRequest>,
    outstanding: BTreeMap<ServerId, u32>,
}

impl Baseline {
    pub fn new(settings: Settings, selector: Box<dyn SelectServer>) -> Baseline {
        Baseline {
            settings,
            selector,
            listed: BTreeMap::new(),
            cordoned: Vec::new(),
            ready: Vec::new(),
            pending: BTreeMap::new(),
            outstanding: BTreeMap::new(),
        }
    }

    /// Recomputes the ready servers and passes them to the selector.
    fn update_ready(&mut self) {
        let not_cordoned = |id: &&ServerId| !self.cordoned.contains(id);
        let in_service = self
            .listed
            .iter()
            .filter(|(_, in_service)| **in_service)
            .map(|(id, _)| id);
        self.ready = in_service.filter(not_cordoned).copied().collect();
        self.selector.update_ready(&self.ready);
    }

    fn send(&mut self, now: Micros, id: RequestId, truth: GroundTruth<'_>, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let remaining = pending.deadline.saturating_sub(now);
        let may_send = (pending.tried.len() as u32) < self.settings.max_attempts && remaining > 0;
        let untried: Vec<ServerId> = self
            .ready
            .iter()
            .copied()
            .filter(|server| !pending.tried.contains(server))
            .collect();
        let context = SelectionContext {
            ready: &untried,
            outstanding: &self.outstanding,
            key: pending.request.key,
            cost: pending.request.cost.unwrap_or(0),
            truth,
        };
        match self.selector.select(context).filter(|_| may_send) {
            Some(server) => {
                pending.tried.push(server);
                *self.outstanding.entry(server).or_default() += 1;
                out.push(Action::Send {
                    id,
                    server,
                    timeout: remaining,
                    write_within: None,
                });
            }
            None => self.give_up(id, out),
        }
    }

    /// Answers a request that is not sent any more: fails it if it may have been executed and must not be repeated,
    /// otherwise rejects it.
    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let class = &self.settings.classes[pending.request.class.0];
        out.push(
            if pending.may_have_executed && class.idempotency != Idempotency::Idempotent {
                Action::Fail { id }
            } else {
                Action::Reject { id, retry_after: 0 }
            },
        );
    }

    fn attempt_ended(
        &mut self,
        now: Micros,
        result: AttemptResult,
        truth: GroundTruth<'_>,
        out: &mut Vec<Action>,
    ) {
        if let Some(count) = self.outstanding.get_mut(&result.server) {
            *count = count.saturating_sub(1);
        }
        let Some(pending) = self.pending.get_mut(&result.id) else {
            return;
        };
        if result.request_ended {
            self.pending.remove(&result.id);
            return;
        }
        let not_executed = matches!(
            result.outcome,
            Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Withheld
        );
        pending.may_have_executed |= !not_executed;
        let safe =
            self.settings.classes[pending.request.class.0].idempotency == Idempotency::Idempotent;
        if now >= pending.deadline || (pending.may_have_executed && !safe) {
            self.pending.remove(&result.id);
            out.push(Action::Fail { id: result.id });
        } else {
            self.send(now, result.id, truth, out);
        }
    }
}

impl Policy for Baseline {
    fn on_event(
        &mut self,
        now: Micros,
        event: Event,
        truth: GroundTruth<'_>,
        out: &mut Vec<Action>,
    ) -> Result<(), WireError> {
        match event {
            Event::EndpointUpdate { kind, endpoints } => {
                if matches!(kind, UpdateKind::Full | UpdateKind::Cached) {
                    self.listed.clear();
                }
                for endpoint in endpoints {
                    self.listed
                        .insert(endpoint.server, endpoint.state == ServerState::InService);
                }
                self.update_ready();
            }
            Event::Cordon { server, cordoned } => {
                self.cordoned.retain(|id| *id != server);
                if cordoned {
                    self.cordoned.push(server);
                }
                self.update_ready();
            }
            Event::Settings(settings) => self.settings = *settings,
            Event::Request(request) => {
                let (id, deadline) = (request.id, now + request.remaining_timeout);
                let pending = PendingRequest {
                    request,
                    deadline,
                    tried: Vec::new(),
                    may_have_executed: false,
                };
                self.pending.insert(id, pending);
                self.send(now, id, truth, out);
            }
            Event::AttemptEnded(result) => self.attempt_ended(now, result, truth, out),
            Event::RequestAbandoned(id) => drop(self.pending.remove(&id)),
            Event::RequestComplete { .. }
            | Event::ResponseStarted { .. }
            | Event::HealthCheckEnded { .. }
            | Event::Timer(_)
            | Event::PeerMessage { .. } => {}
        }
        Ok(())
    }
}
