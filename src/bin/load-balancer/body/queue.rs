//! The received parts of a body, in memory that is counted.
//!
//! A part that the HTTP library hands over is a slice of its whole read buffer, however short the part is. The queue
//! copies each part, so that it holds about as many bytes as it counts.

use std::collections::VecDeque;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

use super::memory::{BodyMemory, Purpose};
use super::MAX_BUFFERED_BYTES;
use crate::memory_budget::MemoryReservation;

/// Most bytes that a block allocates beyond the part that it is made for.
const MAX_BLOCK_BYTES: usize = 8 * 1024;

/// A piece of memory that holds consecutive parts.
struct Block {
    bytes: BytesMut,
    /// `None` if the memory was used up when the block was made.
    reservation: Option<MemoryReservation>,
}

/// The parts of a body that have been received and not passed on, in their order.
pub struct BodyQueue {
    memory: Rc<BodyMemory>,
    blocks: VecDeque<Block>,
    /// Number of bytes in all blocks.
    length: usize,
    /// Number of blocks without a reservation.
    unreserved_blocks: usize,
    /// Number of bytes that will come at least; the first block has room for them if memory allows.
    expected_bytes: usize,
}

impl BodyQueue {
    pub fn new(memory: &Rc<BodyMemory>) -> Self {
        BodyQueue {
            memory: memory.clone(),
            blocks: VecDeque::new(),
            length: 0,
            unreserved_blocks: 0,
            expected_bytes: 0,
        }
    }

    /// A queue for a body of this length, which is kept in one block: joining several takes twice the memory for a moment.
    pub fn with_length(memory: &Rc<BodyMemory>, length: usize) -> Self {
        BodyQueue {
            expected_bytes: length,
            ..BodyQueue::new(memory)
        }
    }

    /// Number of bytes in the queue.
    pub fn len(&self) -> usize {
        self.length
    }

    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Whether all bytes are in memory that was reserved. If not, no more should be received until some were passed on.
    pub fn is_reserved(&self) -> bool {
        self.unreserved_blocks == 0
    }

    /// Whether the bytes so far may be the beginning of a body that is buffered whole: they are not too long, and memory
    /// was left for them.
    pub fn may_be_buffered(&self) -> bool {
        self.length <= MAX_BUFFERED_BYTES && self.is_reserved()
    }

    /// Appends a part. It is kept even if no memory is left for it.
    pub fn push(&mut self, part: &[u8], purpose: Purpose) {
        let rest = self.fill_last_block(part);
        if !rest.is_empty() {
            let block = self.new_block(rest.len(), purpose);
            self.unreserved_blocks += usize::from(block.reservation.is_none());
            self.blocks.push_back(block);
            self.fill_last_block(rest);
        }
    }

    /// Copies the beginning of a part into the last block, as far as that has room. Returns the rest.
    fn fill_last_block<'a>(&mut self, part: &'a [u8]) -> &'a [u8] {
        let Some(block) = self.blocks.back_mut() else {
            return part;
        };
        let room = block.bytes.capacity() - block.bytes.len();
        let (copied, rest) = part.split_at(room.min(part.len()));
        block.bytes.extend_from_slice(copied);
        self.length += copied.len();
        rest
    }

    /// A block for a part of this length, with room for later parts if memory allows.
    fn new_block(&self, part_length: usize, purpose: Purpose) -> Block {
        let missing = self.expected_bytes.saturating_sub(self.length);
        let generous = part_length
            .max(self.length.min(MAX_BLOCK_BYTES))
            .max(missing);
        let (capacity, reservation) = match self.memory.reserve(generous, purpose) {
            Some(reservation) => (generous, Some(reservation)),
            None => (part_length, self.memory.reserve(part_length, purpose)),
        };
        Block {
            bytes: BytesMut::with_capacity(capacity),
            reservation,
        }
    }

    /// Takes the oldest block.
    pub fn pop(&mut self) -> Option<Bytes> {
        let block = self.blocks.pop_front()?;
        self.length -= block.bytes.len();
        self.unreserved_blocks -= usize::from(block.reservation.is_none());
        Some(block.bytes.freeze())
    }

    /// Drops all bytes and returns their memory.
    pub fn clear(&mut self) {
        *self = BodyQueue::new(&self.memory);
    }

    /// Takes all bytes as one body, which holds their reservation.
    pub fn take_buffered(&mut self) -> BufferedBody {
        let blocks = std::mem::take(&mut self.blocks);
        let length = std::mem::take(&mut self.length);
        self.unreserved_blocks = 0;
        let mut parts = Vec::with_capacity(blocks.len());
        let mut reservations = Vec::with_capacity(blocks.len());
        for block in blocks {
            parts.push(block.bytes.freeze());
            reservations.extend(block.reservation);
        }
        let bytes = match parts.len() {
            0 => Bytes::new(),
            1 => parts.remove(0),
            _ => {
                let mut all = BytesMut::with_capacity(length);
                parts.iter().for_each(|part| all.extend_from_slice(part));
                all.freeze()
            }
        };
        BufferedBody {
            bytes,
            reservations,
        }
    }
}

/// A complete body in memory.
pub struct BufferedBody {
    pub bytes: Bytes,
    reservations: Vec<MemoryReservation>,
}

impl BufferedBody {
    /// Takes the reservation of the memory, for whoever holds the bytes from now on.
    pub fn take_reservations(&mut self) -> Vec<MemoryReservation> {
        std::mem::take(&mut self.reservations)
    }
}

impl From<&'static str> for BufferedBody {
    fn from(text: &'static str) -> Self {
        BufferedBody {
            bytes: Bytes::from_static(text.as_bytes()),
            reservations: Vec::new(),
        }
    }
}
