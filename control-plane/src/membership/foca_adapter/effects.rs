//! The datagrams, timers and notifications that foca requests during a call into it, collected until the call has
//! returned.

use std::time::Duration;

use foca::{Message, Notification, Runtime, Timer};

use super::SendBudget;
use crate::membership::Identity;

/// Kind of a SWIM message, as far as the protocol distinguishes kinds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A direct probe.
    Ping,
    /// The answer to a direct probe.
    Ack,
    /// A request to probe this member indirectly, as it did not answer the direct probe in time.
    PingReq(Identity),
    /// The answer to an indirect probe, forwarded by the member that probed.
    ForwardedAck,
    /// Any other message.
    Other,
}

impl MessageKind {
    fn of(message: &Message<Identity>) -> MessageKind {
        match message {
            Message::Ping(_) => MessageKind::Ping,
            Message::Ack(_) => MessageKind::Ack,
            Message::PingReq { target, .. } => MessageKind::PingReq(target.clone()),
            Message::ForwardedAck { .. } => MessageKind::ForwardedAck,
            _ => MessageKind::Other,
        }
    }
}

/// A notification from foca.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FocaEvent {
    /// The set of members or their states changed.
    MembersChanged,
    /// This agent was declared failed and rejoined under this identity.
    Rejoined(Identity),
    /// This agent was declared failed and foca could not rejoin with a new identity.
    Defunct,
    /// A datagram was accepted.
    Received {
        /// Sender of the datagram.
        from: Identity,
        /// Kind of its message.
        kind: MessageKind,
    },
    /// foca sends a datagram.
    Sent {
        /// This agent's incarnation.
        incarnation: u16,
        /// Kind of its message.
        kind: MessageKind,
    },
    /// This member answered neither this agent's direct probe nor an indirect one.
    ProbeFailed(Identity),
}

/// A datagram that foca requests to send.
#[derive(Debug)]
pub struct OutgoingPayload {
    /// Identity of the receiver.
    pub to: Identity,
    /// The SWIM message as encoded by foca.
    pub payload: Vec<u8>,
}

/// A timer that foca requests.
#[derive(Debug)]
pub struct RequestedTimer {
    /// The timer, to be passed back to foca when it fires.
    pub timer: Timer<Identity>,
    /// Time until the timer fires.
    pub after: Duration,
}

/// Collects the effects that foca requests; the protocol carries them out when the call into foca has returned.
#[derive(Debug, Default)]
pub struct EffectCollector {
    /// Datagrams to send.
    pub sends: Vec<OutgoingPayload>,
    /// Timers to set.
    pub timers: Vec<RequestedTimer>,
    /// Notifications to handle.
    pub events: Vec<FocaEvent>,
    /// Budget from the rate limit, by which some datagrams are not sent.
    pub budget: SendBudget,
}

impl EffectCollector {
    /// Takes the collected effects and leaves an empty collector with the same budget.
    pub fn take(&mut self) -> EffectCollector {
        let empty = EffectCollector {
            budget: self.budget.clone(),
            ..EffectCollector::default()
        };
        std::mem::replace(self, empty)
    }
}

impl Runtime<Identity> for EffectCollector {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        self.events.push(match notification {
            Notification::MemberUp(_)
            | Notification::MemberDown(_)
            | Notification::Rename(..)
            | Notification::Active
            | Notification::Idle => FocaEvent::MembersChanged,
            Notification::Defunct => FocaEvent::Defunct,
            Notification::Rejoin(identity) => FocaEvent::Rejoined(identity.clone()),
            Notification::DataReceived(header) => FocaEvent::Received {
                from: header.src.clone(),
                kind: MessageKind::of(&header.message),
            },
            Notification::DataSent(header) => FocaEvent::Sent {
                incarnation: header.src_incarnation,
                kind: MessageKind::of(&header.message),
            },
            Notification::ProbeFailed(_, identity) => FocaEvent::ProbeFailed(identity.clone()),
        });
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        if let Some(payload) = self.budget.end(data) {
            self.sends.push(OutgoingPayload { to, payload });
        }
    }

    fn submit_after(&mut self, timer: Timer<Identity>, after: Duration) {
        self.timers.push(RequestedTimer { timer, after });
    }
}
