//! The envelope around every message: format, fleet and body as one `postcard` value, followed by its CRC-32 in
//! little-endian order.

use crc::{Crc, CRC_32_ISO_HDLC};
use serde::Serialize;

use super::MessageError;
use crate::membership::FormatRange;

const CRC: Crc<u32> = Crc::<u32>::new(&CRC_32_ISO_HDLC);

/// A checked message whose body is still encoded.
pub(super) struct Opened<'a> {
    /// The format of the body.
    pub format: u8,
    /// The encoded body.
    pub body: &'a [u8],
}

/// What a message must satisfy to be opened.
pub(super) struct Expected {
    /// Longest message in bytes.
    pub max_bytes: usize,
    /// Id of this agent's fleet; messages of any other are rejected.
    pub fleet: u64,
    /// Accepted formats.
    pub formats: FormatRange,
}

/// Encodes a body in its envelope.
pub(super) fn seal<T: Serialize>(format: u8, fleet: u64, body: &T) -> Vec<u8> {
    // Serializing plain data into memory cannot fail.
    let mut bytes = postcard::to_stdvec(&(format, fleet, body)).unwrap_or_default();
    bytes.extend_from_slice(&CRC.checksum(&bytes).to_le_bytes());
    bytes
}

/// Checks length, checksum, fleet and format, in this order.
pub(super) fn open<'a>(bytes: &'a [u8], expected: &Expected) -> Result<Opened<'a>, MessageError> {
    if bytes.len() > expected.max_bytes {
        return Err(MessageError::Oversized);
    }
    let (content, checksum) = bytes.split_last_chunk::<4>().ok_or(MessageError::Corrupt)?;
    if CRC.checksum(content) != u32::from_le_bytes(*checksum) {
        return Err(MessageError::Corrupt);
    }
    let ((format, fleet), body) =
        postcard::take_from_bytes::<(u8, u64)>(content).map_err(|_| MessageError::Corrupt)?;
    if fleet != expected.fleet {
        return Err(MessageError::ForeignFleet);
    }
    if !expected.formats.contains(format) {
        return Err(MessageError::UnsupportedFormat);
    }
    Ok(Opened { format, body })
}
