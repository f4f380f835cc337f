//! The encoding of foca's messages.

use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member};

use super::SendBudget;
use crate::membership::Identity;

/// Longest part of a SWIM message in bytes: two identities and a few numbers.
const MAX_PART_BYTES: usize = 512;

/// Encodes foca's messages with `postcard`.
#[derive(Clone, Debug, Default)]
pub struct PostcardCodec {
    /// Budget from the rate limit, which sets the padding of each datagram.
    pub budget: SendBudget,
}

/// Error for a part of a SWIM message that could not be encoded or decoded.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub enum CodecError {
    /// The datagram has no space left for the part.
    #[error("no space left in the datagram")]
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
