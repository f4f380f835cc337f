//! Leaving the fleet: the announcement is disseminated by gossip, and also sent directly to as many members as the rate
//! limit allows until the agent ends.

use std::net::SocketAddr;

use super::rate_limits::RateLimits;
use super::{Membership, MembershipAction, Phase};
use crate::membership::broadcast::Broadcast;
use crate::membership::message::{Datagram, PiggybackedMessage, SUPPORTED_FORMATS};
use crate::{micros, Micros};

/// Shortest time between the announcement and the agent's end.
const MIN_LINGER: Micros = 300_000;
/// Probe intervals between the announcement and the agent's end.
const LINGER_PROBE_INTERVALS: Micros = 2;

/// The announcement that this agent leaves, and the members to which it has not been sent yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Departure {
    recipients: Vec<SocketAddr>,
    datagram: Vec<u8>,
}

impl Departure {
    /// When the next announcement may be sent.
    pub fn next_send(&self, limits: &RateLimits) -> Micros {
        if self.recipients.is_empty() {
            return Micros::MAX;
        }
        limits.datagrams.available_at(self.datagram.len())
    }
}

impl Membership {
    pub(super) fn on_leave(&mut self, now: Micros, actions: &mut Vec<MembershipAction>) {
        self.record.left = true;
        self.publish_record();
        if self.phase == Phase::Joining || self.view.present().count() <= 1 {
            self.phase = Phase::Ended;
            actions.push(MembershipAction::Left);
            return;
        }
        let broadcast = Broadcast::Record(self.record.clone()).encode();
        let datagram = Datagram {
            digest: self.view.digest(),
            payload: &[],
            broadcast: &broadcast,
            message: PiggybackedMessage::None,
        };
        self.departure = Departure {
            // The announcement is encoded in the oldest format, which every member reads.
            datagram: datagram.encode(SUPPORTED_FORMATS.oldest, self.fleet),
            recipients: self
                .present_others()
                .map(|entry| entry.identity.addr)
                .collect(),
        };
        let linger = LINGER_PROBE_INTERVALS * micros(self.settings.probe_interval);
        self.phase = Phase::Leaving {
            until: now + linger.max(MIN_LINGER),
        };
    }

    /// Ends the agent at the end of the leaving phase.
    pub(super) fn finish_leaving(&mut self, now: Micros, actions: &mut Vec<MembershipAction>) {
        if !matches!(self.phase, Phase::Leaving { until } if now >= until) {
            return;
        }
        let _ = self.foca.leave_cluster(&mut self.effects);
        self.apply_effects(now, actions);
        self.phase = Phase::Ended;
        actions.push(MembershipAction::Left);
    }

    /// Sends announcements as far as the rate limit allows.
    pub(super) fn send_departures(&mut self, actions: &mut Vec<MembershipAction>) {
        let length = self.departure.datagram.len() as i64;
        while self.limits.datagrams.available() >= length {
            let Some(to) = self.departure.recipients.pop() else {
                break;
            };
            self.send_datagram(to, self.departure.datagram.clone(), actions);
        }
    }
}
