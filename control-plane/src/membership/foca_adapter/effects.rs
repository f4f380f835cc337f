//! What foca asks for during a call: datagrams, timers and notifications, collected until the call has returned.

use std::time::Duration;

use foca::{Message, Notification, Runtime, Timer};

use super::SendBudget;
use crate::membership::Identity;

/// Kind of a SWIM datagram, as far as the protocol distinguishes them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A direct probe.
    Ping,
    /// The answer to a direct probe.
    Ack,
    /// A request to probe this member, which did not answer in time.
    PingReq(Identity),
    /// The answer of a member that was probed through another.
    ForwardedAck,
    /// Anything else.
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

/// A notification of foca's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FocaEvent {
    /// The set of members or their states changed.
    MembersChanged,
    /// This agent was declared failed and rejoined under this identity.
    Rejoined(Identity),
    /// This agent was declared failed and cannot rejoin by itself.
    Defunct,
    /// A datagram was accepted.
    Received {
        /// Its sender.
        from: Identity,
        /// Its kind.
        kind: MessageKind,
    },
    /// A datagram is sent.
    Sent {
        /// This agent's incarnation.
        incarnation: u16,
        /// Its kind.
        kind: MessageKind,
    },
    /// Neither a direct nor an indirect probe of this agent's was answered.
    ProbeFailed(Identity),
}

/// A datagram that foca sends.
#[derive(Debug)]
pub struct OutgoingPayload {
    /// The receiver.
    pub to: Identity,
    /// SWIM's own bytes.
    pub payload: Vec<u8>,
}

/// A timer that foca sets.
#[derive(Debug)]
pub struct RequestedTimer {
    /// The timer.
    pub timer: Timer<Identity>,
    /// When it fires, from now.
    pub after: Duration,
}

/// Collects what foca asks for; the protocol carries it out when the call into foca has returned.
#[derive(Debug, Default)]
pub struct EffectCollector {
    /// Datagrams to send.
    pub sends: Vec<OutgoingPayload>,
    /// Timers to set.
    pub timers: Vec<RequestedTimer>,
    /// Notifications.
    pub events: Vec<FocaEvent>,
    /// What the rate limit allows.
    pub budget: SendBudget,
}

impl EffectCollector {
    /// Takes what was collected. The collector continues empty, under the same budget.
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
