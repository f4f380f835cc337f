//! Receiving and sending datagrams.

use std::net::SocketAddr;

use foca::{Member, State};

use super::rate_limits::MAX_DIRECT_MESSAGE_BYTES;
use super::{Membership, MembershipAction, Phase};
use crate::membership::foca_adapter::FocaEvent;
use crate::membership::message::{
    CallMessage, Datagram, MessageError, PiggybackedMessage, MAX_DATAGRAM_BYTES, SUPPORTED_FORMATS,
};
use crate::membership::{Identity, Name};
use crate::Micros;

impl Membership {
    pub(super) fn on_datagram(
        &mut self,
        now: Micros,
        bytes: &[u8],
        actions: &mut Vec<MembershipAction>,
    ) {
        self.counts.datagrams_in += 1;
        self.counts.bytes_in += bytes.len() as u64;
        let datagram = match Datagram::decode(bytes, self.fleet, self.settings.formats) {
            Ok(datagram) => datagram,
            Err(error) => return self.counts.record_drop(error),
        };
        if !datagram.broadcast.is_empty() {
            // Invalid broadcasts are dropped by the queue.
            let _ = self.foca.add_broadcast(datagram.broadcast);
        }
        if self.phase != Phase::Joining {
            self.on_piggybacked(datagram.message, actions);
        }
        if !datagram.payload.is_empty() {
            self.on_swim_payload(now, datagram.payload, datagram.digest);
        }
    }

    fn on_swim_payload(&mut self, now: Micros, payload: &[u8], digest: u64) {
        if self.phase == Phase::Joining || self.is_full_for(payload) {
            return self.counts.record_drop(MessageError::NotAccepted);
        }
        let events_before = self.effects.events.len();
        if self.foca.handle_data(payload, &mut self.effects).is_err() {
            self.counts.record_drop(MessageError::NotAccepted);
        }
        let sender = self.effects.events[events_before..]
            .iter()
            .find_map(|event| match event {
                FocaEvent::Received { from, .. } => Some(from.name.clone()),
                _ => None,
            });
        if let Some(name) = sender.filter(|name| self.view.is_present(name)) {
            self.quorum.record_contact(now);
            self.peer_digests.record(now, &name, digest);
        }
    }

    fn on_piggybacked(&mut self, message: PiggybackedMessage, actions: &mut Vec<MembershipAction>) {
        match message {
            PiggybackedMessage::None => {}
            PiggybackedMessage::Consensus(bytes) => actions.push(MembershipAction::Deliver {
                conn: None,
                message: Box::new(CallMessage::Consensus(bytes)),
            }),
            PiggybackedMessage::Suspected {
                generation,
                incarnation,
                reply_to,
            } => {
                // A suspicion of an earlier identity of this agent needs no refutation.
                if generation == self.me.generation {
                    self.on_suspected(incarnation, reply_to);
                }
            }
            PiggybackedMessage::Alive {
                identity,
                incarnation,
            } => {
                if identity.name != self.me.name {
                    self.apply_update(Member::new(identity, incarnation, State::Alive));
                }
            }
        }
    }

    fn on_suspected(&mut self, incarnation: u16, reply_to: Option<SocketAddr>) {
        // foca refutes with a higher incarnation. A suspicion of a lower one than the current is refuted already.
        if incarnation >= self.incarnation {
            self.health.degrade(1);
            self.apply_update(Member::new(self.me.clone(), incarnation, State::Suspect));
        }
        self.alive_replies.extend(reply_to);
    }

    /// Applies an update of a member's state to SWIM. foca ignores updates older than its own state.
    pub(super) fn apply_update(&mut self, member: Member<Identity>) {
        let _ = self
            .foca
            .apply_many(std::iter::once(member), true, &mut self.effects);
        self.view_is_stale = true;
    }

    /// Whether a payload is from a new member while the fleet has reached `max_members`.
    fn is_full_for(&self, payload: &[u8]) -> bool {
        if self.foca.iter_membership_state().len() < self.settings.max_members {
            return false;
        }
        postcard::take_from_bytes::<foca::Header<Identity>>(payload)
            .is_ok_and(|(header, _)| self.view.get(&header.src.name).is_none())
    }

    /// Sends a consensus message to a voter by datagram. Returns `None`, and sends nothing, if it is too long for one or
    /// the voter is not present.
    pub fn send_consensus(
        &mut self,
        to: &Name,
        bytes: &[u8],
        actions: &mut Vec<MembershipAction>,
    ) -> Option<()> {
        let to = self
            .view
            .get(to)
            .filter(|entry| entry.state.is_present())?
            .identity
            .addr;
        let message = PiggybackedMessage::Consensus(bytes.to_vec());
        let bytes = self.encode_direct(message, SUPPORTED_FORMATS.newest);
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return None;
        }
        self.send_datagram(to, bytes, actions);
        Some(())
    }

    /// Sends a SWIM message as a datagram. To a suspect it also carries the suspicion, so that the suspect can refute
    /// (Lifeguard's buddy system).
    pub(super) fn send_swim_payload(
        &mut self,
        to: &Identity,
        payload: &[u8],
        actions: &mut Vec<MembershipAction>,
    ) {
        let generation = to.generation;
        let suspected = self.timers.suspected_incarnation(&to.name, generation);
        let message = match suspected {
            Some(incarnation) => PiggybackedMessage::Suspected {
                generation,
                incarnation,
                reply_to: None,
            },
            None => PiggybackedMessage::None,
        };
        let datagram = Datagram {
            digest: self.view.digest(),
            payload,
            broadcast: &[],
            message,
        };
        let bytes = datagram.encode(self.format_for(to), self.fleet);
        self.send_datagram(to.addr, bytes, actions);
    }

    /// Asks a suspect directly whether it is alive, if it reads a message format that can carry the query.
    pub(super) fn query_suspect(
        &mut self,
        to: &Identity,
        incarnation: u16,
        actions: &mut Vec<MembershipAction>,
    ) {
        let format = self.format_for(to);
        if format <= SUPPORTED_FORMATS.oldest {
            return;
        }
        let message = PiggybackedMessage::Suspected {
            generation: to.generation,
            incarnation,
            reply_to: Some(self.me.addr),
        };
        let bytes = self.encode_direct(message, format);
        self.limits.direct_messages.consume(bytes.len());
        self.send_datagram(to.addr, bytes, actions);
    }

    /// Answers members that asked whether this agent is alive, as far as the rate limit allows.
    pub(super) fn send_alive_replies(&mut self, actions: &mut Vec<MembershipAction>) {
        while self.limits.direct_message_bytes() >= MAX_DIRECT_MESSAGE_BYTES as i64 {
            let Some(to) = self.alive_replies.pop_first() else {
                break;
            };
            let message = PiggybackedMessage::Alive {
                identity: self.me.clone(),
                incarnation: self.incarnation,
            };
            let bytes = self.encode_direct(message, SUPPORTED_FORMATS.newest);
            self.limits.direct_messages.consume(bytes.len());
            self.send_datagram(to, bytes, actions);
        }
    }

    /// Encodes a datagram that carries nothing but a piggybacked message.
    fn encode_direct(&self, message: PiggybackedMessage, format: u8) -> Vec<u8> {
        let datagram = Datagram {
            digest: self.view.digest(),
            payload: &[],
            broadcast: &[],
            message,
        };
        datagram.encode(format, self.fleet)
    }

    /// The newest message format that both sides read, or the oldest while the receiver's record is not known.
    fn format_for(&self, to: &Identity) -> u8 {
        self.broadcasts
            .newest_format(to)
            .unwrap_or(SUPPORTED_FORMATS.oldest)
            .min(self.settings.formats.newest)
    }

    pub(super) fn send_datagram(
        &mut self,
        to: SocketAddr,
        bytes: Vec<u8>,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.counts.datagrams_out += 1;
        self.counts.bytes_out += bytes.len() as u64;
        self.limits.datagrams.consume(bytes.len());
        actions.push(MembershipAction::Send { to, bytes });
    }
}
