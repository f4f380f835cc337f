//! Timed work: queries of suspects, expired suspicions, foca's timers, anti-entropy and calls to seeds.

use std::net::SocketAddr;

use foca::{Member, State, Timer};
use rand::Rng;

use super::foca_config;
use super::rate_limits::MAX_DIRECT_MESSAGE_BYTES;
use super::{Membership, MembershipAction, Phase};
use crate::membership::foca_adapter::RESERVED_BYTES;
use crate::membership::message::MAX_DATAGRAM_BYTES;
use crate::membership::{Change, Identity, Name};
use crate::{micros, Micros};

/// Without suspects, the view is refreshed once in this many probe intervals, in case SWIM's state has changed.
const TICKS_BETWEEN_REFRESHES: u64 = 10;
/// Divides the number of transmissions of an update that most members derive by themselves.
const SHARED_UPDATE_DIVISOR: u8 = 3;
/// Divides the number of transmissions of every other update.
pub(super) const USUAL_UPDATE_DIVISOR: u8 = 1;
/// Typical bytes of a member update in a gossip datagram.
const TYPICAL_UPDATE_BYTES: usize = 40;
/// Typical bytes of a broadcast in a gossip datagram.
const TYPICAL_BROADCAST_BYTES: usize = 100;
/// Typical bytes of a gossip datagram besides its updates and broadcasts.
const TYPICAL_GOSSIP_OVERHEAD: usize = 140;

impl Membership {
    pub(super) fn on_wake(&mut self, now: Micros, actions: &mut Vec<MembershipAction>) {
        self.detect_pause(now, actions);
        self.query_suspects(now, actions);
        self.declare_failed(now);
        for timer in self.timers.take_expired(now) {
            self.fire(now, timer);
        }
        if now >= self.schedule.tick {
            self.schedule.tick = now + micros(self.settings.probe_interval);
            self.ticks += 1;
            // foca does not notify of refutations, so the view is refreshed regularly.
            if self.timers.has_suspects() || self.ticks.is_multiple_of(TICKS_BETWEEN_REFRESHES) {
                self.view_is_stale = true;
            }
            self.on_tick(now, actions);
        }
        self.finish_leaving(now, actions);
    }

    /// Detects that this process was paused. As it could not receive anything meanwhile, its deadlines are postponed by the
    /// pause.
    fn detect_pause(&mut self, now: Micros, actions: &mut Vec<MembershipAction>) {
        let paused = now.saturating_sub(self.expected_wake);
        let interval = micros(self.settings.probe_interval);
        if paused > interval {
            self.timers.postpone(paused);
            self.health.degrade((paused / interval) as u32);
            self.schedule.tick = now;
            actions.push(MembershipAction::Report(Change::Paused(paused)));
        }
    }

    /// Asks suspects directly whether they are alive, as far as the rate limit allows.
    fn query_suspects(&mut self, now: Micros, actions: &mut Vec<MembershipAction>) {
        let bytes = usize::try_from(self.limits.direct_message_bytes()).unwrap_or(0);
        let limit = bytes / MAX_DIRECT_MESSAGE_BYTES;
        let queries = self.timers.take_scheduled_queries(now, limit);
        let is_limited = queries.len() >= limit;
        for suspect in queries {
            self.query_suspect(&suspect.identity, suspect.incarnation, actions);
        }
        if is_limited {
            let next = self.limits.next_direct_message().max(now + 1);
            self.timers.delay_queries(next);
        }
    }

    /// Declares the suspects failed that have not refuted by their deadline.
    fn declare_failed(&mut self, now: Micros) {
        let expired = self.timers.take_expired_suspects(now);
        if expired.is_empty() {
            return;
        }
        // Members that share the suspicion declare the suspect failed by themselves, so fewer transmissions suffice.
        self.configure_foca(self.settings.gossip_fanout, SHARED_UPDATE_DIVISOR);
        for suspect in expired {
            let member = Member::new(suspect.identity, suspect.incarnation, State::Down);
            self.apply_update(member);
        }
        self.configure_foca(self.settings.gossip_fanout, USUAL_UPDATE_DIVISOR);
    }

    /// Passes an expired timer to foca. A gossip waits until the rate limit allows it.
    fn fire(&mut self, now: Micros, timer: Timer<Identity>) {
        if let Timer::PeriodicGossip(_) = &timer {
            let fanout = self.affordable_gossip_fanout();
            if fanout == 0 {
                // There is nothing to send, or the rate limit does not allow it yet: retried at the next interval.
                let next = now + micros(self.settings.gossip_interval);
                return self.timers.schedule(next, timer);
            }
            self.configure_foca(fanout, USUAL_UPDATE_DIVISOR);
        }
        // foca rejects timers that are out of date, which is no error here.
        let _ = self.foca.handle_timer(timer, &mut self.effects);
    }

    /// The number of members that pending updates are gossiped to now. If the rate limit allows little, these are few long
    /// datagrams rather than many short ones.
    fn affordable_gossip_fanout(&self) -> usize {
        let updates = self.foca.updates_backlog();
        let broadcasts = self.foca.custom_broadcast_backlog();
        if updates == 0 && broadcasts == 0 {
            return 0;
        }
        let wanted = TYPICAL_GOSSIP_OVERHEAD
            + updates * TYPICAL_UPDATE_BYTES
            + broadcasts * TYPICAL_BROADCAST_BYTES;
        let datagram = wanted.min(MAX_DATAGRAM_BYTES);
        let allowed = self.limits.datagrams.available() - RESERVED_BYTES;
        let allowed = usize::try_from(allowed).unwrap_or(0);
        if allowed < datagram.min(self.settings.send_burst / 2) {
            return 0;
        }
        (allowed / datagram).clamp(1, self.settings.gossip_fanout)
    }

    /// Adapts foca's configuration to the size of the fleet. Updates are sent the usual number of times divided by
    /// `transmission_divisor`.
    pub(super) fn configure_foca(&mut self, gossip_fanout: usize, transmission_divisor: u8) {
        let members = self.foca.num_members() + 1;
        let mut config = foca_config::build(&self.settings, members, gossip_fanout);
        let transmissions = config
            .max_transmissions
            .get()
            .div_ceil(transmission_divisor);
        config.max_transmissions = foca_config::non_zero_u8(transmissions);
        let _ = self.foca.set_config(config);
    }

    /// Does the work of each probe interval.
    fn on_tick(&mut self, now: Micros, actions: &mut Vec<MembershipAction>) {
        if self.phase != Phase::Active {
            return;
        }
        let convergence_timeout = micros(self.settings.convergence_timeout);
        if self
            .agreed_for(now)
            .is_some_and(|span| span >= convergence_timeout)
        {
            self.quorum.adopt(&self.view);
        }
        if now >= self.schedule.seeds {
            self.schedule.seeds = now + micros(self.settings.seed_interval);
            self.call_missing_seeds(actions);
        }
        if now >= self.schedule.sync {
            self.schedule.sync = now + self.jittered(micros(self.settings.sync_interval));
            self.sync_with_random_member(actions);
        }
        if self.limits.views.available() > 0 {
            let peer = self
                .peer_digests
                .take_peer_to_sync(now, convergence_timeout, &self.me.name);
            if let Some(name) = peer {
                self.call_sync(&name, actions);
            }
        }
    }

    /// Calls the seeds that are not present in the view, in case they are in a part of the fleet that is unknown here.
    fn call_missing_seeds(&mut self, actions: &mut Vec<MembershipAction>) {
        let is_missing = |seed: &SocketAddr| {
            !self
                .view
                .present()
                .any(|entry| entry.identity.addr == *seed)
        };
        let missing: Vec<SocketAddr> = self.seeds.iter().copied().filter(is_missing).collect();
        for seed in missing {
            self.call_seed(seed, actions);
        }
    }

    /// Exchanges views with a random member (anti-entropy), so that views converge even if gossip was lost.
    fn sync_with_random_member(&mut self, actions: &mut Vec<MembershipAction>) {
        let others: Vec<Name> = self
            .present_others()
            .map(|entry| entry.identity.name.clone())
            .collect();
        if others.is_empty() || self.limits.views.available() <= 0 {
            return;
        }
        let index = self.rng.next_u64() % others.len() as u64;
        self.call_sync(&others[index as usize], actions);
    }
}
