//! Owns the two sides of `foca`: how its messages become bytes, and what it wants done, collected for the core. News
//! rides in the room that a datagram has left, which foca bounds by one size for all datagrams; here it is what the rate
//! leaves. What is not taken stays in foca's queue, the least told first, one update a member.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, Message, Notification, Runtime, Timer};

use super::Identity;

/// Bytes of one SWIM item: two identities and a little more.
const LONGEST_PART: usize = 512;

/// Bytes that the envelope adds to SWIM's own, as a rule.
const ENVELOPE_USUAL: usize = 36;
/// What foca needs to see free after a header, so that it says how many updates follow.
const TALLY: usize = 3;

/// Bytes that news leaves in the bucket, so that probes, answers and refutations find them there.
pub const RESERVE: i64 = 400;

/// What the rate leaves for the datagrams of this call into foca. Clones are the same one: the port fills what is not
/// to be used when foca has written the header, the collector takes the filling out again.
#[derive(Clone, Debug, Default)]
pub struct Room(Rc<RefCell<RoomInner>>);

#[derive(Debug, Default)]
struct RoomInner {
    left: i64,
    /// In the datagram that is being written: where the filling begins, and its length.
    filling: (usize, usize),
    /// Whether it goes out although nothing is left for it.
    goes: bool,
    /// The life and incarnation last told by a gossip, and to how many.
    told: (u64, u16),
    times: usize,
}

impl Room {
    /// So many bytes may go; below zero, none.
    pub fn set(&self, left: i64) {
        self.0.borrow_mut().left = left;
    }

    /// The room for news behind a header of that length.
    fn begin(&self, header: &Header<Identity>, length: usize, free: usize) -> usize {
        let mut inner = self.0.borrow_mut();
        let cost = (length + TALLY + ENVELOPE_USUAL) as i64;
        let room = usize::try_from(inner.left - RESERVE - cost).unwrap_or(0);
        let told = (header.src.generation, header.src_incarnation);
        inner.goes = room > 0
            || match header.message {
                Message::Gossip if told != inner.told => true,
                // foca tells a refutation to so many; after that a gossip without news says nothing.
                Message::Gossip => inner.times < TOLD_AT_ONCE,
                // They come again.
                Message::Announce | Message::Feed | Message::TurnUndead | Message::Broadcast => {
                    false
                }
                Message::Ping(_)
                | Message::Ack(_)
                | Message::PingReq { .. }
                | Message::IndirectPing { .. }
                | Message::IndirectAck { .. }
                | Message::ForwardedAck { .. } => true,
            };
        if header.message == Message::Gossip {
            if told != inner.told {
                (inner.told, inner.times) = (told, 0);
            }
            inner.times += 1;
        }
        let follows = !matches!(header.message, Message::Announce | Message::TurnUndead);
        let filled = if follows {
            free.saturating_sub(room + TALLY)
        } else {
            0
        };
        inner.filling = (length, filled);
        filled
    }

    /// The datagram without its filling, where it goes.
    fn end(&self, data: &[u8]) -> Option<Vec<u8>> {
        let mut inner = self.0.borrow_mut();
        let (from, filled) = inner.filling;
        let (header, rest) = data.split_at_checked(from)?;
        let bytes = [header, rest.get(filled..)?].concat();
        if !inner.goes {
            return None;
        }
        inner.left -= (bytes.len() + ENVELOPE_USUAL) as i64;
        Some(bytes)
    }
}

/// Members that a refutation is told to at once, whatever the rate.
const TOLD_AT_ONCE: usize = 3;

/// `postcard` for foca.
#[derive(Clone, Debug, Default)]
pub struct Port {
    /// What the rate leaves.
    pub room: Room,
}

/// A part of a SWIM message that could not be written or read.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub enum PortFault {
    #[error("no room left in the datagram")]
    NoRoom,
    #[error("not a part of a SWIM message")]
    Unreadable,
}

impl Port {
    fn put<T: serde::Serialize>(value: &T, mut buf: impl BufMut) -> Result<usize, PortFault> {
        let mut scratch = [0; LONGEST_PART];
        let bytes = postcard::to_slice(value, &mut scratch).map_err(|_| PortFault::NoRoom)?;
        if buf.remaining_mut() < bytes.len() {
            return Err(PortFault::NoRoom);
        }
        buf.put_slice(bytes);
        Ok(bytes.len())
    }

    fn get<T: serde::de::DeserializeOwned>(mut buf: impl Buf) -> Result<T, PortFault> {
        let chunk = buf.chunk();
        let whole = chunk.len();
        let (value, rest) = postcard::take_from_bytes(chunk).map_err(|_| PortFault::Unreadable)?;
        let read = whole - rest.len();
        buf.advance(read);
        Ok(value)
    }
}

impl Codec<Identity> for Port {
    type Error = PortFault;

    fn encode_header(
        &mut self,
        header: &Header<Identity>,
        mut buf: impl BufMut,
    ) -> Result<(), PortFault> {
        let length = Port::put(header, &mut buf)?;
        let filled = self.room.begin(header, length, buf.remaining_mut());
        buf.put_bytes(0, filled);
        Ok(())
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Identity>, PortFault> {
        Port::get(buf)
    }

    fn encode_member(
        &mut self,
        member: &Member<Identity>,
        buf: impl BufMut,
    ) -> Result<(), PortFault> {
        Port::put(member, buf).map(drop)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Identity>, PortFault> {
        Port::get(buf)
    }
}

/// What a datagram is for, as far as the core cares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A direct probe.
    Ping,
    /// Its answer.
    Ack,
    /// Others are asked to probe this one: it did not answer in time.
    PingReq(Identity),
    /// The probed one's answer, through another.
    ForwardedAck,
    /// Anything else.
    Other,
}

impl Kind {
    fn of(message: &Message<Identity>) -> Kind {
        match message {
            Message::Ping(_) => Kind::Ping,
            Message::Ack(_) => Kind::Ack,
            Message::PingReq { target, .. } => Kind::PingReq(target.clone()),
            Message::ForwardedAck { .. } => Kind::ForwardedAck,
            _ => Kind::Other,
        }
    }
}

/// What foca told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// The set of members or their states changed.
    Changed,
    /// It was called failed and goes on under a new generation.
    Rejoined(Identity),
    /// It was called failed and can't go on by itself.
    Defunct,
    /// A datagram was accepted.
    Received { from: Identity, kind: Kind },
    /// A datagram goes out, with its sender's incarnation.
    Sent { incarnation: u16, kind: Kind },
    /// Nobody got an answer to a probe of one's own.
    ProbeFailed(Identity),
}

/// Collects what foca wants; the core carries it out when the call is over.
#[derive(Debug, Default)]
pub struct Collector {
    pub sends: Vec<(Identity, Vec<u8>)>,
    pub timers: Vec<(Timer<Identity>, Duration)>,
    pub notes: Vec<Note>,
    /// What the rate leaves.
    pub room: Room,
}

impl Collector {
    /// What was collected; it goes on empty, under the same rate.
    pub fn take(&mut self) -> Collector {
        let empty = Collector {
            room: self.room.clone(),
            ..Collector::default()
        };
        std::mem::replace(self, empty)
    }
}

impl Runtime<Identity> for Collector {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        self.notes.push(match notification {
            Notification::MemberUp(_) | Notification::MemberDown(_) | Notification::Rename(..) => {
                Note::Changed
            }
            Notification::Active | Notification::Idle => Note::Changed,
            Notification::Defunct => Note::Defunct,
            Notification::Rejoin(identity) => Note::Rejoined(identity.clone()),
            Notification::DataReceived(header) => Note::Received {
                from: header.src.clone(),
                kind: Kind::of(&header.message),
            },
            Notification::DataSent(header) => Note::Sent {
                incarnation: header.src_incarnation,
                kind: Kind::of(&header.message),
            },
            Notification::ProbeFailed(_, identity) => Note::ProbeFailed(identity.clone()),
        });
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.sends
            .extend(self.room.end(data).map(|bytes| (to, bytes)));
    }

    fn submit_after(&mut self, event: Timer<Identity>, after: Duration) {
        self.timers.push((event, after));
    }
}
