//! Owns what all baselines share, so that only the choice of a server tells them apart: the ready list,
//! the requests in flight and the rules on resends. They have no limit, no ejection and no probes.

use std::collections::BTreeMap;

use load_balancer::{
    Action, AttemptResult, Event, Idempotency, Outcome, Request, RequestId, ServerId, ServerState,
    Settings, UpdateKind,
};

use super::choose::{Choose, View};
use super::{Policy, Truth};
use crate::wire::WireError;
use crate::world::Micros;

struct Held {
    request: Request,
    deadline: Micros,
    tried: Vec<ServerId>,
    /// An attempt may have run.
    may_have_run: bool,
}

/// A baseline: a choice within the rules.
pub struct Baseline {
    settings: Settings,
    choose: Box<dyn Choose>,
    /// Servers on the list that are in service.
    listed: BTreeMap<ServerId, bool>,
    withheld: Vec<ServerId>,
    ready: Vec<ServerId>,
    held: BTreeMap<RequestId, Held>,
    outstanding: BTreeMap<ServerId, u32>,
}

impl Baseline {
    pub fn new(settings: Settings, choose: Box<dyn Choose>) -> Baseline {
        Baseline {
            settings,
            choose,
            listed: BTreeMap::new(),
            withheld: Vec::new(),
            ready: Vec::new(),
            held: BTreeMap::new(),
            outstanding: BTreeMap::new(),
        }
    }

    fn relist(&mut self) {
        let kept = |id: &&ServerId| !self.withheld.contains(id);
        let in_service = self
            .listed
            .iter()
            .filter(|(_, in_service)| **in_service)
            .map(|(id, _)| id);
        self.ready = in_service.filter(kept).copied().collect();
        self.choose.relisted(&self.ready);
    }

    fn send(&mut self, now: Micros, id: RequestId, truth: Truth<'_>, out: &mut Vec<Action>) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        let left = held.deadline.saturating_sub(now);
        let again = (held.tried.len() as u32) < self.settings.max_attempts && left > 0;
        let fresh: Vec<ServerId> = self
            .ready
            .iter()
            .copied()
            .filter(|server| !held.tried.contains(server))
            .collect();
        let view = View {
            ready: &fresh,
            outstanding: &self.outstanding,
            key: held.request.key,
            work: held.request.cost.unwrap_or(0),
            truth,
        };
        match self.choose.choose(view).filter(|_| again) {
            Some(server) => {
                held.tried.push(server);
                *self.outstanding.entry(server).or_default() += 1;
                out.push(Action::Send {
                    id,
                    server,
                    timeout: left,
                });
            }
            None => self.give_up(id, out),
        }
    }

    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(held) = self.held.remove(&id) else {
            return;
        };
        let class = &self.settings.classes[held.request.class.0];
        out.push(
            if held.may_have_run && class.idempotency != Idempotency::Idempotent {
                Action::Fail { id }
            } else {
                Action::Reject { id, retry_after: 0 }
            },
        );
    }

    fn closed(
        &mut self,
        now: Micros,
        closed: AttemptResult,
        truth: Truth<'_>,
        out: &mut Vec<Action>,
    ) {
        if let Some(count) = self.outstanding.get_mut(&closed.server) {
            *count = count.saturating_sub(1);
        }
        let Some(held) = self.held.get_mut(&closed.id) else {
            return;
        };
        if closed.request_ended {
            self.held.remove(&closed.id);
            return;
        }
        let never_ran = matches!(
            closed.outcome,
            Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent
        );
        held.may_have_run |= !never_ran;
        let safe =
            self.settings.classes[held.request.class.0].idempotency == Idempotency::Idempotent;
        if now >= held.deadline || (held.may_have_run && !safe) {
            self.held.remove(&closed.id);
            out.push(Action::Fail { id: closed.id });
        } else {
            self.send(now, closed.id, truth, out);
        }
    }
}

impl Policy for Baseline {
    fn on_event(
        &mut self,
        now: Micros,
        event: Event,
        truth: Truth<'_>,
        out: &mut Vec<Action>,
    ) -> Result<(), WireError> {
        match event {
            Event::EndpointUpdate {
                kind,
                endpoints: members,
            } => {
                if matches!(kind, UpdateKind::Full | UpdateKind::Cached) {
                    self.listed.clear();
                }
                for member in members {
                    self.listed
                        .insert(member.server, member.state == ServerState::InService);
                }
                self.relist();
            }
            Event::Cordon {
                server,
                cordoned: out,
            } => {
                self.withheld.retain(|id| *id != server);
                if out {
                    self.withheld.push(server);
                }
                self.relist();
            }
            Event::Settings(settings) => self.settings = *settings,
            Event::Request(request) => {
                let (id, deadline) = (request.id, now + request.remaining_timeout);
                let held = Held {
                    request,
                    deadline,
                    tried: Vec::new(),
                    may_have_run: false,
                };
                self.held.insert(id, held);
                self.send(now, id, truth, out);
            }
            Event::AttemptEnded(closed) => self.closed(now, closed, truth, out),
            Event::RequestAbandoned(id) => drop(self.held.remove(&id)),
            Event::RequestComplete { .. }
            | Event::ResponseStarted { .. }
            | Event::HealthCheckEnded { .. }
            | Event::Timer(_)
            | Event::PeerMessage { .. } => {}
        }
        Ok(())
    }
}
