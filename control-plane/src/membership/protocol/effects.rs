//! Carries out the effects that foca requests, handles its notifications, and refreshes the view.

use foca::{Member, State, Timer};

use super::periodic::USUAL_UPDATE_DIVISOR;
use super::{Membership, MembershipAction, Phase};
use crate::membership::broadcast::{Broadcast, SuspicionNotice};
use crate::membership::foca_adapter::{EffectCollector, FocaEvent, MessageKind, RequestedTimer};
use crate::membership::suspicion::Suspicion;
use crate::membership::timers::{MemberIncarnation, SuspectKey};
use crate::membership::view::SwimMember;
use crate::membership::{Identity, MemberState, Name};
use crate::{micros, Micros};

/// Most rounds of effects for one event. Each round handles those that the previous one caused; a few rounds are usual.
const MAX_ROUNDS: usize = 16;
/// Members that cannot confirm a suspicion: the suspect, the first accuser and this agent.
const NON_CONFIRMING_MEMBERS: usize = 3;

impl Membership {
    /// Carries out the effects that foca has requested, sends what the rate limit allows, and refreshes the view if it is
    /// stale and the interval between refreshes has passed.
    pub(super) fn apply_effects(&mut self, now: Micros, actions: &mut Vec<MembershipAction>) {
        for _ in 0..MAX_ROUNDS {
            let EffectCollector {
                sends,
                timers,
                events,
                ..
            } = self.effects.take();
            let received = self.broadcasts.take_received();
            if sends.is_empty() && timers.is_empty() && events.is_empty() && received.is_empty() {
                break;
            }
            for event in events {
                self.on_foca_event(now, event, actions);
            }
            for requested in timers {
                self.schedule_timer(now, requested);
            }
            for broadcast in received {
                self.on_broadcast(broadcast, actions);
            }
            for send in sends {
                self.send_swim_payload(&send.to, &send.payload, actions);
            }
        }
        self.send_alive_replies(actions);
        self.send_departures(actions);
        if self.next_refresh().is_some_and(|at| now >= at) {
            self.view_is_stale = false;
            self.refreshed_at = Some(now);
            self.refresh_view(now, actions);
        }
    }

    fn schedule_timer(&mut self, now: Micros, requested: RequestedTimer) {
        let after = micros(requested.after);
        match &requested.timer {
            Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => {
                let extended = after * Micros::from(self.health.timeout_multiplier());
                self.timers.schedule(now + extended, requested.timer);
            }
            // This timer is not scheduled: the suspicions in `Timers` replace it. foca sets it only at the accuser, and
            // when it fires, foca tells the member that it is down even if the member has refuted since.
            Timer::ChangeSuspectToDown { .. } => self.view_is_stale = true,
            _ => self.timers.schedule(now + after, requested.timer),
        }
    }

    fn on_foca_event(
        &mut self,
        now: Micros,
        event: FocaEvent,
        actions: &mut Vec<MembershipAction>,
    ) {
        match event {
            FocaEvent::MembersChanged => self.view_is_stale = true,
            FocaEvent::Rejoined(identity) => self.on_identity_renewed(identity, actions),
            FocaEvent::Defunct => self.renew_generation(self.me.generation, actions),
            FocaEvent::Received { from, kind } => self.on_swim_received(&from, &kind, actions),
            FocaEvent::Sent { incarnation, kind } => self.on_swim_sent(now, incarnation, kind),
            FocaEvent::ProbeFailed(identity) => self.on_probe_failed(&identity),
        }
    }

    fn on_swim_received(
        &mut self,
        from: &Identity,
        kind: &MessageKind,
        actions: &mut Vec<MembershipAction>,
    ) {
        if from.name == self.me.name {
            return self.on_rival_seen(from, actions);
        }
        match kind {
            MessageKind::Ack => {
                self.health.improve();
                self.reachability.record_answer(&from.name);
            }
            MessageKind::ForwardedAck => self.health.improve(),
            _ => {}
        }
    }

    fn on_swim_sent(&mut self, now: Micros, incarnation: u16, kind: MessageKind) {
        if incarnation > self.incarnation && self.phase != Phase::Joining {
            self.incarnation = incarnation;
            self.view_is_stale = true;
        }
        match kind {
            // Several members are asked to probe the same target, which counts as one missed probe.
            MessageKind::PingReq(target)
                if self.indirectly_probed.as_ref() != Some(&target.name) =>
            {
                self.reachability.record_miss(now, &target.name);
                self.indirectly_probed = Some(target.name);
            }
            MessageKind::Ping => self.indirectly_probed = None,
            _ => {}
        }
    }

    /// This agent's probe of a member failed: broadcasts a suspicion notice. Lowers the local health unless another member
    /// has accused the suspect too.
    fn on_probe_failed(&mut self, identity: &Identity) {
        let incarnation = self
            .foca
            .iter_membership_state()
            .find(|member| member.id() == identity)
            .map(Member::incarnation);
        let Some(incarnation) = incarnation else {
            return;
        };
        let notice = SuspicionNotice {
            suspect: identity.name.clone(),
            generation: identity.generation,
            incarnation,
            accuser: self.me.name.clone(),
        };
        let is_shared = self
            .timers
            .suspicion(&notice.key())
            .is_some_and(|suspicion| suspicion.is_shared(&self.me.name));
        if !is_shared {
            self.health.degrade(1);
        }
        let broadcast = Broadcast::Suspicion(notice).encode();
        let _ = self.foca.add_broadcast(&broadcast);
    }

    fn on_broadcast(&mut self, broadcast: Broadcast, actions: &mut Vec<MembershipAction>) {
        match broadcast {
            Broadcast::Record(record) => {
                if record.name == self.me.name && record.process != self.me.process {
                    self.on_rival_seen(&record.identity(), actions);
                } else {
                    self.view_is_stale = true;
                }
            }
            Broadcast::Suspicion(notice) => self.on_suspicion_notice(notice),
        }
    }

    fn on_suspicion_notice(&mut self, notice: SuspicionNotice) {
        if notice.suspect == self.me.name {
            return;
        }
        if let Some(suspicion) = self.timers.suspicion(&notice.key()) {
            suspicion.add_accuser(notice.accuser);
            return;
        }
        // The notice arrived before SWIM's own update.
        if let Some(identity) = self.known_identity(&notice.suspect, notice.generation) {
            self.apply_update(Member::new(identity, notice.incarnation, State::Suspect));
        }
    }

    /// The identity with a name and generation, if SWIM knows it.
    fn known_identity(&self, name: &Name, generation: u64) -> Option<Identity> {
        self.foca
            .iter_membership_state()
            .map(Member::id)
            .find(|identity| identity.name == *name && identity.generation == generation)
            .cloned()
    }

    /// Derives the view from SWIM's state and the records, and updates what depends on it: suspicions, digests and the data
    /// stored about members.
    fn refresh_view(&mut self, now: Micros, actions: &mut Vec<MembershipAction>) {
        self.configure_foca(self.settings.gossip_fanout, USUAL_UPDATE_DIVISOR);
        let me = std::iter::once(SwimMember {
            identity: self.me.clone(),
            incarnation: self.incarnation,
            state: State::Alive,
        });
        let others = self
            .foca
            .iter_membership_state()
            .filter(|member| member.id().name != self.me.name)
            .map(|member| SwimMember {
                identity: member.id().clone(),
                incarnation: member.incarnation(),
                state: member.state(),
            });
        let mut changes = Vec::new();
        self.view
            .refresh(now, me.chain(others), &self.broadcasts, &mut changes);
        self.refresh_suspicions(now);
        if !changes.is_empty() {
            self.forget_absent_members(now);
        }
        self.peer_digests.set_own(now, self.view.digest());
        actions.extend(changes.into_iter().map(MembershipAction::Report));
    }

    /// Updates the suspicions to those of the suspects in the view.
    fn refresh_suspicions(&mut self, now: Micros) {
        let members = self.foca.num_members() + 1;
        let timeout = self.settings.suspicion_timeout(members);
        let confirmations = self
            .settings
            .suspicion_confirmations
            .min(members.saturating_sub(NON_CONFIRMING_MEMBERS));
        let suspects = self
            .view
            .entries()
            .filter(|entry| entry.state == MemberState::Suspect)
            .map(|entry| MemberIncarnation {
                identity: entry.identity.clone(),
                incarnation: entry.incarnation,
            });
        let broadcasts = &self.broadcasts;
        let begin = |key: &SuspectKey| {
            let accusers = broadcasts.accusers(key).into_iter();
            Suspicion::new(now, timeout, confirmations, accusers)
        };
        self.timers.set_suspects(suspects, begin);
    }

    /// Drops the data stored about members that are no longer present, or no longer in the view.
    fn forget_absent_members(&mut self, now: Micros) {
        let (view, me) = (&self.view, &self.me.name);
        self.peer_digests
            .retain(now, |name| name != me && view.is_present(name));
        self.broadcasts.retain(|name| view.get(name).is_some());
        self.reachability.retain(|name| view.is_present(name));
        self.quorum.remove_left(view);
    }
}
