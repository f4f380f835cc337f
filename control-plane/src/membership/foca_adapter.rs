//! Adapts `foca` to this crate: the encoding of its messages, and the effects it asks for, collected for the protocol.
//!
//! foca fills the space left in a datagram with updates, and bounds it by one size for all datagrams. Here the space
//! depends on the rate limit: [`SendBudget`] pads a datagram while foca writes it, and removes the padding afterwards.
//! Updates that do not fit remain in foca's queue, the least transmitted first and one per member.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, Message, Notification, Runtime, Timer};

use super::Identity;

/// Longest part of a SWIM message in bytes: two identities and a few numbers.
const MAX_PART_BYTES: usize = 512;
/// Bytes that the envelope usually adds to SWIM's own.
const TYPICAL_ENVELOPE_BYTES: usize = 36;
/// Bytes that must be free after a header for foca to write the number of updates that follow.
const UPDATE_COUNT_BYTES: usize = 3;
/// Number of gossip datagrams that carry a new incarnation regardless of the rate limit.
const UNLIMITED_REFUTATIONS: usize = 3;

/// Bytes that updates leave in the bucket for probes, answers and refutations.
pub const RESERVED_BYTES: i64 = 400;

/// What the rate limit allows for the datagrams of one call into foca. Clones share their content: the codec pads a
/// datagram after its header, and the collector removes the padding.
#[derive(Clone, Debug, Default)]
pub struct SendBudget(Rc<RefCell<BudgetInner>>);

/// Where the datagram that is being written is padded.
#[derive(Clone, Copy, Debug, Default)]
struct Padding {
    start: usize,
    length: usize,
}

/// The generation and incarnation that a gossip announces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Announced {
    generation: u64,
    incarnation: u16,
}

#[derive(Debug, Default)]
struct BudgetInner {
    available: i64,
    padding: Padding,
    /// Whether the datagram that is being written is sent.
    send: bool,
    /// What was last gossiped, and in how many datagrams.
    announced: Announced,
    announcements: usize,
}

impl BudgetInner {
    /// Whether a datagram without space for updates is sent all the same.
    fn is_sent_without_updates(&self, message: &Message<Identity>, announced: Announced) -> bool {
        match message {
            // foca announces a refutation by gossip. Once that is done, a gossip without updates says nothing.
            Message::Gossip => {
                announced != self.announced || self.announcements < UNLIMITED_REFUTATIONS
            }
            // These are repeated later.
            Message::Announce | Message::Feed | Message::TurnUndead | Message::Broadcast => false,
            Message::Ping(_)
            | Message::Ack(_)
            | Message::PingReq { .. }
            | Message::IndirectPing { .. }
            | Message::IndirectAck { .. }
            | Message::ForwardedAck { .. } => true,
        }
    }

    fn count_announcement(&mut self, announced: Announced) {
        if announced != self.announced {
            self.announced = announced;
            self.announcements = 0;
        }
        self.announcements += 1;
    }
}

impl SendBudget {
    /// Sets the bytes that may be sent; negative while the limiter is overdrawn.
    pub fn set(&self, available: i64) {
        self.0.borrow_mut().available = available;
    }

    /// Begins a datagram after a header of that length. Returns the length of the padding, of `free` bytes left.
    fn begin(&self, header: &Header<Identity>, header_length: usize, free: usize) -> usize {
        let mut inner = self.0.borrow_mut();
        let cost = (header_length + UPDATE_COUNT_BYTES + TYPICAL_ENVELOPE_BYTES) as i64;
        let for_updates = usize::try_from(inner.available - RESERVED_BYTES - cost).unwrap_or(0);
        let announced = Announced {
            generation: header.src.generation,
            incarnation: header.src_incarnation,
        };
        inner.send = for_updates > 0 || inner.is_sent_without_updates(&header.message, announced);
        if header.message == Message::Gossip {
            inner.count_announcement(announced);
        }
        let carries_updates = !matches!(header.message, Message::Announce | Message::TurnUndead);
        let length = if carries_updates {
            free.saturating_sub(for_updates + UPDATE_COUNT_BYTES)
        } else {
            0
        };
        inner.padding = Padding {
            start: header_length,
            length,
        };
        length
    }

    /// Ends a datagram: without its padding, or `None` if it is not sent.
    fn end(&self, data: &[u8]) -> Option<Vec<u8>> {
        let mut inner = self.0.borrow_mut();
        let Padding { start, length } = inner.padding;
        let (header, rest) = data.split_at_checked(start)?;
        let bytes = [header, rest.get(length..)?].concat();
        if !inner.send {
            return None;
        }
        inner.available -= (bytes.len() + TYPICAL_ENVELOPE_BYTES) as i64;
        Some(bytes)
    }
}

/// Encodes foca's messages with `postcard`.
#[derive(Clone, Debug, Default)]
pub struct PostcardCodec {
    /// What the rate limit allows.
    pub budget: SendBudget,
}

/// A part of a SWIM message that could not be encoded or decoded.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub enum CodecError {
    /// The datagram has no space left for it.
    #[error("no room left in the datagram")]
    NoSpace,
    /// The bytes are not a part of a SWIM message.
    #[error("not a part of a SWIM message")]
    Invalid,
}

impl PostcardCodec {
    fn encode_part<T: serde::Serialize>(
        value: &T,
        mut buf: impl BufMut,
    ) -> Result<usize, CodecError> {
        let mut scratch = [0; MAX_PART_BYTES];
        let bytes = postcard::to_slice(value, &mut scratch).map_err(|_| CodecError::NoSpace)?;
        if buf.remaining_mut() < bytes.len() {
            return Err(CodecError::NoSpace);
        }
        buf.put_slice(bytes);
        Ok(bytes.len())
    }

    fn decode_part<T: serde::de::DeserializeOwned>(mut buf: impl Buf) -> Result<T, CodecError> {
        let chunk = buf.chunk();
        let length = chunk.len();
        let (value, rest) = postcard::take_from_bytes(chunk).map_err(|_| CodecError::Invalid)?;
        let read = length - rest.len();
        buf.advance(read);
        Ok(value)
    }
}

impl Codec<Identity> for PostcardCodec {
    type Error = CodecError;

    fn encode_header(
        &mut self,
        header: &Header<Identity>,
        mut buf: impl BufMut,
    ) -> Result<(), CodecError> {
        let length = PostcardCodec::encode_part(header, &mut buf)?;
        let padding = self.budget.begin(header, length, buf.remaining_mut());
        buf.put_bytes(0, padding);
        Ok(())
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Identity>, CodecError> {
        PostcardCodec::decode_part(buf)
    }

    fn encode_member(
        &mut self,
        member: &Member<Identity>,
        buf: impl BufMut,
    ) -> Result<(), CodecError> {
        PostcardCodec::encode_part(member, buf).map(drop)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Identity>, CodecError> {
        PostcardCodec::decode_part(buf)
    }
}

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
