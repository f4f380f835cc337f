//! Messages between agents: datagrams and calls, each one `postcard` value with a CRC-32. Incoming messages are bounded
//! and checked, and dropped ones are counted by reason. They are handled in [`protocol`](super::protocol).

mod call;
mod datagram;
mod envelope;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

pub use call::{CallMessage, FullView, MemberRow, RowState, MAX_CALL_BYTES};
pub use datagram::{Datagram, PiggybackedMessage, MAX_DATAGRAM_BYTES, MAX_ENVELOPE_BYTES};

use super::FormatRange;

/// The message formats that this program reads. Format 1 carries the view digest, the SWIM payload and one broadcast;
/// format 2 adds a [`PiggybackedMessage`].
pub const SUPPORTED_FORMATS: FormatRange = FormatRange {
    oldest: 1,
    newest: 2,
};

/// The id of a fleet in messages: a hash of its name.
pub fn fleet_id(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Why a message was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The message is longer than any that is sent.
    #[error("longer than any valid message of its kind")]
    Oversized,
    /// The checksum does not match, or the content is not a message.
    #[error("checksum mismatch or malformed content")]
    Corrupt,
    /// The sender is an agent of another fleet.
    #[error("sent by an agent of another fleet")]
    ForeignFleet,
    /// The message format is not one that this agent reads.
    #[error("unsupported message format")]
    UnsupportedFormat,
    /// The message is intact, but not accepted: this agent is still joining, the fleet is full, or foca rejects it as sent
    /// to another receiver, by a member long gone, or as part of an abandoned probe.
    #[error("not accepted by the membership protocol")]
    NotAccepted,
}

/// Messages and bytes since the start of the process, and dropped messages by reason. Field names are those of the JSON
/// report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageCounts {
    /// Datagrams received.
    pub datagrams_in: u64,
    /// Bytes of datagrams received.
    pub bytes_in: u64,
    /// Datagrams sent.
    pub datagrams_out: u64,
    /// Bytes of datagrams sent.
    pub bytes_out: u64,
    /// Calls received.
    pub calls_in: u64,
    /// Calls made.
    pub calls_out: u64,
    /// Messages dropped with [`MessageError::Oversized`].
    pub oversized: u64,
    /// Messages dropped with [`MessageError::Corrupt`].
    pub damaged: u64,
    /// Messages dropped with [`MessageError::ForeignFleet`].
    pub foreign: u64,
    /// Messages dropped with [`MessageError::UnsupportedFormat`].
    pub format: u64,
    /// Messages dropped with [`MessageError::NotAccepted`].
    pub refused: u64,
}

impl MessageCounts {
    /// Counts a dropped message.
    pub fn record_drop(&mut self, error: MessageError) {
        let count = match error {
            MessageError::Oversized => &mut self.oversized,
            MessageError::Corrupt => &mut self.damaged,
            MessageError::ForeignFleet => &mut self.foreign,
            MessageError::UnsupportedFormat => &mut self.format,
            MessageError::NotAccepted => &mut self.refused,
        };
        *count += 1;
    }

    /// Number of dropped messages, whatever the reason.
    pub fn dropped(&self) -> u64 {
        self.oversized + self.damaged + self.foreign + self.format + self.refused
    }
}

#[cfg(test)]
mod tests;
