//! The memory that buffered bodies may take, shared by all requests and responses.

use std::cell::Cell;
use std::rc::Rc;

/// The part of the memory that bodies received ahead of their servers leave to short bodies, one part in this many.
const RESERVED_FOR_SHORT_DIVISOR: usize = 4;

/// The memory for bodies, in bytes.
pub struct BodyMemory {
    total: usize,
    left: Cell<usize>,
}

impl BodyMemory {
    pub fn new(total: usize) -> Rc<Self> {
        let left = Cell::new(total);
        Rc::new(BodyMemory { total, left })
    }

    /// The memory that is reserved now, in bytes.
    pub fn used(&self) -> usize {
        self.total - self.left.get()
    }

    /// Reserves `bytes`; `None` if fewer are left for this use.
    pub fn reserve(self: &Rc<Self>, bytes: usize, purpose: Purpose) -> Option<MemoryReservation> {
        let left = self.left.get().checked_sub(bytes)?;
        let keep = match purpose {
            Purpose::ShortBody => 0,
            Purpose::ReceivedAhead => self.total / RESERVED_FOR_SHORT_DIVISOR,
        };
        if left < keep {
            return None;
        }
        self.left.set(left);
        Some(MemoryReservation {
            memory: self.clone(),
            bytes,
        })
    }
}

/// What memory is reserved for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Purpose {
    /// A body that is held whole before it is passed on.
    ShortBody,
    /// A part of a long body that has been received before its server takes it.
    ReceivedAhead,
}

/// A reservation of the body memory, released when dropped.
pub struct MemoryReservation {
    memory: Rc<BodyMemory>,
    bytes: usize,
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.memory.left.set(self.memory.left.get() + self.bytes);
    }
}
