//! Calls between agents: which are in flight, and how calls and answers are handled.
//!
//! Membership makes these calls, each with a [`Purpose`]:
//!
//! - to a seed, at the start and once per `seed_interval` while the seed is missing from the view;
//! - to a random member about once per `sync_interval`, and to a member whose view has differed for
//!   `convergence_timeout`, to exchange views;
//! - to another process with this agent's name, during a join or when a message from it arrives.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::view_exchange::Propagation;
use super::{CallId, ConnId, Membership, MembershipAction, Phase};
use crate::membership::message::{CallMessage, FullView};
use crate::membership::{Change, Identity, Name};
use crate::Micros;

/// Most calls in flight, apart from those to seeds.
const MAX_CALLS: usize = 16;

/// What a call is for.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// Join through a seed, or find a part of the fleet that is missing from the view.
    Seed(SocketAddr),
    /// Exchange views with a member.
    Sync(Name),
    /// Claim this agent's name from another process with that name.
    Claim {
        /// The other process.
        rival: Box<Identity>,
        /// The view received from a seed, if this agent is joining. Once the call has ended, the agent joins with this
        /// view, unless the call showed that the other process keeps the name.
        joining: Option<Box<FullView>>,
    },
}

/// Calls made by this agent that have not been answered.
#[derive(Debug, Default)]
pub(super) struct OutgoingCalls {
    in_flight: BTreeMap<CallId, Purpose>,
    last_id: CallId,
}

impl OutgoingCalls {
    fn begin(&mut self, purpose: Purpose) -> CallId {
        self.last_id += 1;
        self.in_flight.insert(self.last_id, purpose);
        self.last_id
    }

    fn end(&mut self, call: CallId) -> Option<Purpose> {
        self.in_flight.remove(&call)
    }

    /// Whether a call with a matching purpose is in flight.
    pub fn any(&self, matches: impl Fn(&Purpose) -> bool) -> bool {
        self.in_flight.values().any(matches)
    }

    fn is_empty(&self) -> bool {
        self.in_flight.is_empty()
    }

    fn is_full(&self) -> bool {
        self.in_flight.len() >= MAX_CALLS
    }
}

impl Membership {
    /// Calls an agent. The purpose determines what follows when the call is answered or has failed.
    pub(super) fn call(
        &mut self,
        to: SocketAddr,
        purpose: Purpose,
        message: &CallMessage,
        actions: &mut Vec<MembershipAction>,
    ) {
        let call = self.calls.begin(purpose);
        self.counts.calls_out += 1;
        let bytes = message.encode(self.fleet);
        self.limits.views.consume(bytes.len());
        actions.push(MembershipAction::Call { call, to, bytes });
    }

    /// Sends this agent's view to a seed, unless a call to it is in flight. The limit on calls does not apply: without its
    /// seeds an agent cannot join.
    pub(super) fn call_seed(&mut self, seed: SocketAddr, actions: &mut Vec<MembershipAction>) {
        let is_same = |purpose: &Purpose| matches!(purpose, Purpose::Seed(to) if *to == seed);
        if !self.calls.any(is_same) {
            let message = CallMessage::SyncViews(self.full_view());
            self.call(seed, Purpose::Seed(seed), &message, actions);
        }
    }

    /// Exchanges views with a member, unless such a call to it or `MAX_CALLS` calls are in flight.
    pub(super) fn call_sync(&mut self, name: &Name, actions: &mut Vec<MembershipAction>) {
        let is_same = |purpose: &Purpose| matches!(purpose, Purpose::Sync(to) if to == name);
        if self.calls.is_full() || self.calls.any(is_same) {
            return;
        }
        if let Some(to) = self.view.get(name).map(|entry| entry.identity.addr) {
            let message = CallMessage::SyncViews(self.full_view());
            self.call(to, Purpose::Sync(name.clone()), &message, actions);
        }
    }

    /// Handles a call from another agent. A message that is not for membership is passed to the host.
    pub(super) fn on_called(
        &mut self,
        now: Micros,
        conn: ConnId,
        bytes: &[u8],
        actions: &mut Vec<MembershipAction>,
    ) {
        self.counts.calls_in += 1;
        let message = match CallMessage::decode(bytes, self.fleet) {
            Ok(message) => message,
            Err(error) => return self.counts.record_drop(error),
        };
        match message {
            CallMessage::SyncViews(view) => {
                // The answer is the view from before the merge, as the caller compares it with its own.
                let answer = CallMessage::SyncViews(self.full_view());
                if self.phase != Phase::Joining {
                    self.merge_view(now, &view, Propagation::Broadcast);
                }
                self.answer(conn, &answer, actions);
            }
            CallMessage::ClaimName(record) => {
                let answer = CallMessage::NameHolder(self.record.clone());
                if record.name == self.me.name && record.process != self.me.process {
                    self.resolve_name_conflict(&record, actions);
                }
                self.answer(conn, &answer, actions);
            }
            CallMessage::Consensus(_)
            | CallMessage::ForwardCommand(_)
            | CallMessage::ApplyUpdate(_)
            | CallMessage::QueryMetrics(_)
            | CallMessage::QueryFleetMetrics(_) => actions.push(MembershipAction::Deliver {
                conn: Some(conn),
                message: Box::new(message),
            }),
            // Answers are not valid as calls.
            CallMessage::NameHolder(_)
            | CallMessage::CommandResult(_)
            | CallMessage::UpdateResult(_)
            | CallMessage::NodeMetrics(_)
            | CallMessage::FleetMetrics(_) => {}
        }
    }

    fn answer(&mut self, conn: ConnId, answer: &CallMessage, actions: &mut Vec<MembershipAction>) {
        let bytes = answer.encode(self.fleet);
        // Answers do not wait for the rate limit; this agent's next call for a view does.
        self.limits.views.consume(bytes.len());
        actions.push(MembershipAction::Answer { conn, bytes });
    }

    /// Handles the answer to a call. An answer that does not match the purpose counts as a failure of the call.
    pub(super) fn on_answered(
        &mut self,
        now: Micros,
        call: CallId,
        bytes: &[u8],
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(purpose) = self.calls.end(call) else {
            return;
        };
        let message = match CallMessage::decode(bytes, self.fleet) {
            Ok(message) => message,
            Err(error) => {
                self.counts.record_drop(error);
                return self.on_unanswered(now, purpose, actions);
            }
        };
        match (purpose, message) {
            (Purpose::Seed(_), CallMessage::SyncViews(view)) => {
                self.on_seed_view(now, view, actions)
            }
            (Purpose::Sync(name), CallMessage::SyncViews(view)) => {
                self.compare_and_merge(now, &name, &view, actions);
            }
            (Purpose::Claim { rival, joining }, CallMessage::NameHolder(record)) => {
                if record.name == self.me.name && record.process == rival.process {
                    self.resolve_name_conflict(&record, actions);
                }
                if let Some(view) = joining.filter(|_| self.phase == Phase::Joining) {
                    self.complete_join(now, *view, rival.generation, actions);
                }
            }
            (purpose, _) => self.on_unanswered(now, purpose, actions),
        }
    }

    fn on_seed_view(&mut self, now: Micros, view: FullView, actions: &mut Vec<MembershipAction>) {
        if self.phase == Phase::Joining {
            return self.join(now, view, actions);
        }
        self.merge_view(now, &view, Propagation::Broadcast);
        // The seed may not know this agent or consider it failed: the announcement corrects that.
        let _ = self.foca.announce(view.from.identity(), &mut self.effects);
    }

    pub(super) fn on_call_failed(
        &mut self,
        now: Micros,
        call: CallId,
        actions: &mut Vec<MembershipAction>,
    ) {
        if let Some(purpose) = self.calls.end(call) {
            self.on_unanswered(now, purpose, actions);
        }
    }

    /// Handles a call that failed. Only a join depends on its calls: the others are repeated on their own schedule.
    fn on_unanswered(
        &mut self,
        now: Micros,
        purpose: Purpose,
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.phase != Phase::Joining {
            return;
        }
        match purpose {
            // The previous process with this name does not answer, so it is assumed to have ended.
            Purpose::Claim {
                rival,
                joining: Some(view),
            } => self.complete_join(now, *view, rival.generation, actions),
            Purpose::Seed(_) if self.calls.is_empty() => {
                actions.push(MembershipAction::Report(Change::NoSeedAnswered));
                self.activate(now, None, actions);
            }
            _ => {}
        }
    }
}
