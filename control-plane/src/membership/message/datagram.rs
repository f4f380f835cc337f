//! Datagrams: a SWIM message encoded by foca, with the sender's view digest and an optional direct message piggybacked.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::envelope::{open, seal, Expected};
use super::MessageError;
use crate::membership::{FormatRange, Identity};

/// Longest datagram in bytes: below the usual MTU.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Most bytes that a datagram adds to its SWIM message: format, fleet, digest, lengths, piggybacked message and
/// checksum.
pub const MAX_ENVELOPE_BYTES: usize = 144;

/// The format without a piggybacked message.
const FORMAT_1: u8 = 1;
/// The format with a piggybacked message.
const FORMAT_2: u8 = 2;

/// A datagram. The order of the fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram<'a> {
    /// Digest of the sender's view.
    pub digest: u64,
    /// The SWIM message as encoded by foca; may be empty.
    #[serde(borrow)]
    pub payload: &'a [u8],
    /// An encoded broadcast that is sent directly to the receiver; empty if there is none.
    #[serde(borrow)]
    pub broadcast: &'a [u8],
    /// A direct message from the sender, carried from format 2 on.
    pub message: PiggybackedMessage,
}

/// A message from one member directly to another. The order of the variants and fields is the wire format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum PiggybackedMessage {
    /// There is no message.
    #[default]
    None,
    /// The sender suspects this incarnation of the receiver, which can refute at once (Lifeguard's buddy system).
    Suspected {
        /// The receiver's generation.
        generation: u64,
        /// The receiver's incarnation.
        incarnation: u16,
        /// Where to send [`PiggybackedMessage::Alive`]; `None` if a refutation by gossip is enough.
        reply_to: Option<SocketAddr>,
    },
    /// The sender is alive under this incarnation: the answer to [`PiggybackedMessage::Suspected`].
    Alive {
        /// Identity of the sender.
        identity: Identity,
        /// Current incarnation of the sender.
        incarnation: u16,
    },
    /// A consensus message between voters of the replicated log.
    Consensus(Vec<u8>),
}

/// A datagram in format 1.
#[derive(Serialize, Deserialize)]
struct DatagramFormat1<'a> {
    digest: u64,
    #[serde(borrow)]
    payload: &'a [u8],
    #[serde(borrow)]
    broadcast: &'a [u8],
}

impl<'a> Datagram<'a> {
    /// Encodes the datagram in a format that the receiver reads. Format 1 drops the piggybacked message.
    pub fn encode(&self, format: u8, fleet: u64) -> Vec<u8> {
        if format == FORMAT_1 {
            let body = DatagramFormat1 {
                digest: self.digest,
                payload: self.payload,
                broadcast: self.broadcast,
            };
            return seal(FORMAT_1, fleet, &body);
        }
        seal(FORMAT_2, fleet, self)
    }

    /// Decodes a received datagram.
    ///
    /// # Errors
    /// If it is too long, corrupt, of another fleet, or in a format outside `formats`.
    pub fn decode(
        bytes: &'a [u8],
        fleet: u64,
        formats: FormatRange,
    ) -> Result<Datagram<'a>, MessageError> {
        let expected = Expected {
            max_bytes: MAX_DATAGRAM_BYTES,
            fleet,
            formats,
        };
        let opened = open(bytes, &expected)?;
        if opened.format == FORMAT_1 {
            let body: DatagramFormat1<'a> =
                postcard::from_bytes(opened.body).map_err(|_| MessageError::Corrupt)?;
            return Ok(Datagram {
                digest: body.digest,
                payload: body.payload,
                broadcast: body.broadcast,
                message: PiggybackedMessage::None,
            });
        }
        postcard::from_bytes(opened.body).map_err(|_| MessageError::Corrupt)
    }
}
