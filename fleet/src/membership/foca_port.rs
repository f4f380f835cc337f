//! Owns the two sides of `foca`: how its messages become bytes, and what it wants done, collected for the core.

use std::time::Duration;

use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, Message, Notification, Runtime, Timer};

use super::Identity;

/// Bytes of one SWIM item: two identities and a little more.
const LONGEST_PART: usize = 512;

/// `postcard` for foca.
#[derive(Clone, Copy, Debug, Default)]
pub struct Port;

/// A part of a SWIM message that could not be written or read.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub enum PortFault {
    #[error("no room left in the datagram")]
    NoRoom,
    #[error("not a part of a SWIM message")]
    Unreadable,
}

impl Port {
    fn put<T: serde::Serialize>(value: &T, mut buf: impl BufMut) -> Result<(), PortFault> {
        let mut scratch = [0; LONGEST_PART];
        let bytes = postcard::to_slice(value, &mut scratch).map_err(|_| PortFault::NoRoom)?;
        if buf.remaining_mut() < bytes.len() {
            return Err(PortFault::NoRoom);
        }
        buf.put_slice(bytes);
        Ok(())
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

    fn encode_header(&mut self, header: &Header<Identity>, buf: impl BufMut) -> Result<(), PortFault> {
        Port::put(header, buf)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Identity>, PortFault> {
        Port::get(buf)
    }

    fn encode_member(&mut self, member: &Member<Identity>, buf: impl BufMut) -> Result<(), PortFault> {
        Port::put(member, buf)
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
            Notification::DataReceived(header) => {
                Note::Received { from: header.src.clone(), kind: Kind::of(&header.message) }
            }
            Notification::DataSent(header) => {
                Note::Sent { incarnation: header.src_incarnation, kind: Kind::of(&header.message) }
            }
            Notification::ProbeFailed(_, identity) => Note::ProbeFailed(identity.clone()),
        });
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Identity>, after: Duration) {
        self.timers.push((event, after));
    }
}
