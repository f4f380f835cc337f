//! Owns what goes over the wire: one `postcard` value with a CRC-32, its first byte the format, then the fleet. It
//! bounds and checks what comes in, says why a message was dropped, and counts. What messages mean is the core's.

use std::net::SocketAddr;

use crc::{Crc, CRC_32_ISO_HDLC};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{Formats, Identity, Record};
use crate::coordinator::{CommandRequest, CommandResult, FleetUpdate};
use crate::lease::StaleToken;
use crate::metrics::{CensusReport, Look, Tally};

/// The formats that this program reads. 1: view digest, SWIM payload, one broadcast. 2: also a word from member
/// to member about a suspicion.
pub const FORMATS: Formats = Formats {
    least: 1,
    newest: 2,
};
/// Bytes of a datagram, at most: below the usual MTU.
pub const LONGEST_DATAGRAM: usize = 1_400;
/// Bytes of a call or its answer, at most: a whole view of some ten thousand members.
pub const LONGEST_STREAM: usize = 4 << 20;
/// What an envelope adds to SWIM's own bytes, at most (format, fleet, digest, lengths, a word, CRC).
pub const ENVELOPE: usize = 144;

const CRC: Crc<u32> = Crc::<u32>::new(&CRC_32_ISO_HDLC);

/// Why a message was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// Longer than any that is sent.
    #[error("longer than the bound")]
    Oversized,
    /// The checksum does not fit, or what it covers is no message.
    #[error("damaged, or no message of a fleet")]
    Damaged,
    /// Of another fleet.
    #[error("of another fleet")]
    Foreign,
    /// In a format that is not read here.
    #[error("in a format that is not read here")]
    Format,
    /// Sound, but SWIM has no use for it (not for us, from a member long gone, a lost thread).
    #[error("not accepted")]
    Refused,
}

/// Messages and bytes since the start, and those dropped, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Datagrams that came.
    pub datagrams_in: u64,
    /// Their bytes.
    pub bytes_in: u64,
    /// Datagrams sent.
    pub datagrams_out: u64,
    /// Their bytes.
    pub bytes_out: u64,
    /// Calls answered.
    pub calls_in: u64,
    /// Calls made.
    pub calls_out: u64,
    /// Dropped: [`Fault::Oversized`].
    pub oversized: u64,
    /// Dropped: [`Fault::Damaged`].
    pub damaged: u64,
    /// Dropped: [`Fault::Foreign`].
    pub foreign: u64,
    /// Dropped: [`Fault::Format`].
    pub format: u64,
    /// Dropped: [`Fault::Refused`].
    pub refused: u64,
}

impl Counts {
    /// Counts a message that was dropped.
    pub fn drop(&mut self, fault: Fault) {
        *match fault {
            Fault::Oversized => &mut self.oversized,
            Fault::Damaged => &mut self.damaged,
            Fault::Foreign => &mut self.foreign,
            Fault::Format => &mut self.format,
            Fault::Refused => &mut self.refused,
        } += 1;
    }

    /// All that were dropped.
    pub fn dropped(&self) -> u64 {
        self.oversized + self.damaged + self.foreign + self.format + self.refused
    }
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram<'a> {
    /// The sender's view in one number.
    pub digest: u64,
    /// SWIM's own bytes; empty in a farewell.
    #[serde(borrow)]
    pub payload: &'a [u8],
    /// A broadcast that goes straight to the receiver; empty for none.
    #[serde(borrow)]
    pub item: &'a [u8],
    /// From format 2.
    pub word: Word,
}

/// A word about a suspicion, from one member straight to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// None.
    #[default]
    None,
    /// The sender holds this life and incarnation of the receiver as suspect.
    Accused {
        /// The receiver's generation.
        generation: u64,
        /// And incarnation.
        incarnation: u16,
        /// Where the sender wants the answer; without it, gossip will do.
        answer: Option<SocketAddr>,
    },
    /// The sender is alive, under this incarnation: the answer to [`Word::Accused`].
    Alive {
        /// The sender.
        identity: Identity,
        /// Its incarnation by now.
        incarnation: u16,
    },
    /// Between voters of the agreed log.
    Agreed(Vec<u8>),
}

#[derive(Serialize, Deserialize)]
struct First<'a> {
    digest: u64,
    #[serde(borrow)]
    payload: &'a [u8],
    #[serde(borrow)]
    item: &'a [u8],
}

/// How a member stands in a view that is exchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowState {
    /// Present.
    Alive,
    /// Present, under suspicion.
    Suspect,
    /// Failed or left; which, its record says.
    Down,
}

/// A member in a view that is exchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Which life.
    pub identity: Identity,
    /// Its refutations.
    pub incarnation: u16,
    /// How it stands.
    pub state: RowState,
}

/// A whole view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Whole {
    /// Who tells.
    pub from: Record,
    /// Its digest.
    pub digest: u64,
    /// All members, the teller among them.
    pub rows: Vec<Row>,
    /// What they say of themselves.
    pub records: Vec<Record>,
}

/// A call from agent to agent, and its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stream {
    /// My whole view; the answer is yours.
    Sync(Whole),
    /// I hold this name; the answer is your own record.
    Claim(Record),
    /// The answer to a claim.
    Held(Record),
    /// Between voters of the agreed log, where a datagram is too short. No answer.
    Agreed(Vec<u8>),
    /// An agent without a vote asks a voter, for its staff.
    Ask(CommandRequest),
    /// The answer to that.
    Told(CommandResult),
    /// The holder of a duty acts on this agent.
    Act(FleetUpdate),
    /// The answer to that.
    Acted(Result<(), StaleToken>),
    /// The holder of a duty asks for a node's figures.
    Look(Look),
    /// The answer to that.
    Tally(Tally),
    /// Staff's question for the census, on its way, with the agents that it has passed.
    Top(u8),
    /// The answer to that; nothing where nobody holds it.
    Topped(Option<Box<CensusReport>>),
}

/// The fleet's name as messages carry it.
pub fn fleet_id(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

fn seal<T: Serialize>(format: u8, fleet: u64, body: &T) -> Vec<u8> {
    // Into memory, of plain data: nothing of it can fail.
    let mut bytes = postcard::to_stdvec(&(format, fleet, body)).unwrap_or_default();
    bytes.extend_from_slice(&CRC.checksum(&bytes).to_le_bytes());
    bytes
}

/// Checks length, checksum, format and fleet; what is left is the body.
fn open(bytes: &[u8], longest: usize, fleet: u64, formats: Formats) -> Result<(u8, &[u8]), Fault> {
    if bytes.len() > longest {
        return Err(Fault::Oversized);
    }
    let (sealed, sum) = bytes.split_last_chunk::<4>().ok_or(Fault::Damaged)?;
    if CRC.checksum(sealed) != u32::from_le_bytes(*sum) {
        return Err(Fault::Damaged);
    }
    let ((format, of), body) =
        postcard::take_from_bytes::<(u8, u64)>(sealed).map_err(|_| Fault::Damaged)?;
    if of != fleet {
        return Err(Fault::Foreign);
    }
    if !(formats.least..=formats.newest).contains(&format) {
        return Err(Fault::Format);
    }
    Ok((format, body))
}

impl<'a> Datagram<'a> {
    /// The bytes, in a format that the receiver reads.
    pub fn encode(&self, format: u8, fleet: u64) -> Vec<u8> {
        match format {
            1 => seal(
                1,
                fleet,
                &First {
                    digest: self.digest,
                    payload: self.payload,
                    item: self.item,
                },
            ),
            _ => seal(2, fleet, self),
        }
    }

    /// Reads what came.
    pub fn decode(bytes: &'a [u8], fleet: u64, formats: Formats) -> Result<Datagram<'a>, Fault> {
        let (format, body) = open(bytes, LONGEST_DATAGRAM, fleet, formats)?;
        let read = match format {
            1 => postcard::from_bytes::<First<'a>>(body).map(
                |First {
                     digest,
                     payload,
                     item,
                 }| {
                    Datagram {
                        digest,
                        payload,
                        item,
                        word: Word::None,
                    }
                },
            ),
            _ => postcard::from_bytes(body),
        };
        read.map_err(|_| Fault::Damaged)
    }
}

impl Stream {
    /// The bytes of a call or an answer, in the oldest format: it has not changed since.
    pub fn encode(&self, fleet: u64) -> Vec<u8> {
        seal(FORMATS.least, fleet, self)
    }

    /// Reads a call or an answer.
    pub fn decode(bytes: &[u8], fleet: u64) -> Result<Stream, Fault> {
        let (_, body) = open(bytes, LONGEST_STREAM, fleet, FORMATS)?;
        let stream: Stream = postcard::from_bytes(body).map_err(|_| Fault::Damaged)?;
        let sound = match &stream {
            Stream::Sync(whole) => whole.from.fits() && whole.records.iter().all(Record::fits),
            Stream::Claim(record) | Stream::Held(record) => record.fits(),
            // Their own rooms look into them.
            _ => true,
        };
        if sound {
            Ok(stream)
        } else {
            Err(Fault::Damaged)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_sound_messages_of_this_fleet_and_format_come_in() {
        let fleet = fleet_id("a");
        let sent = Datagram {
            digest: 7,
            payload: b"swim",
            item: b"news",
            word: Word::Accused {
                generation: 5,
                incarnation: 2,
                answer: None,
            },
        };
        let bytes = sent.encode(2, fleet);
        assert_eq!(Datagram::decode(&bytes, fleet, FORMATS), Ok(sent.clone()));
        let first = Datagram::decode(&sent.encode(1, fleet), fleet, FORMATS).map(|got| got.word);
        assert_eq!(first, Ok(Word::None), "the older format has no word for it");
        let held_back = Formats {
            least: 1,
            newest: 1,
        };
        assert_eq!(
            Datagram::decode(&bytes, fleet, held_back),
            Err(Fault::Format)
        );
        assert_eq!(
            Datagram::decode(&bytes, fleet_id("b"), FORMATS),
            Err(Fault::Foreign)
        );
        assert_eq!(
            Datagram::decode(&[0; LONGEST_DATAGRAM + 1], fleet, FORMATS),
            Err(Fault::Oversized)
        );
        for bit in 0..bytes.len() * 8 {
            let mut flipped = bytes.clone();
            flipped[bit / 8] ^= 1 << (bit % 8);
            assert_eq!(
                Datagram::decode(&flipped, fleet, FORMATS),
                Err(Fault::Damaged),
                "bit {bit}"
            );
        }
        for end in 0..bytes.len() {
            assert_eq!(
                Datagram::decode(&bytes[..end], fleet, FORMATS),
                Err(Fault::Damaged)
            );
        }
    }
}
