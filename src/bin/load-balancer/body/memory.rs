//! The memory that buffered bodies may take, shared by all requests and responses.

use std::rc::Rc;

use crate::memory_budget::{MemoryBudget, MemoryReservation};

/// The part of the memory that bodies received ahead of their servers leave to short bodies, one part in this many.
const RESERVED_FOR_SHORT_DIVISOR: usize = 4;

/// The memory for bodies.
pub struct BodyMemory(Rc<MemoryBudget>);

impl BodyMemory {
    /// Memory of `total` bytes.
    pub fn new(total: usize) -> Rc<Self> {
        Rc::new(BodyMemory(MemoryBudget::new(total)))
    }

    /// The memory that is reserved now, in bytes.
    pub fn used(&self) -> usize {
        self.0.used()
    }

    /// Reserves `bytes`; `None` if fewer are left for this use.
    pub fn reserve(&self, bytes: usize, purpose: Purpose) -> Option<MemoryReservation> {
        let keep = match purpose {
            Purpose::ShortBody => 0,
            Purpose::ReceivedAhead => self.0.total() / RESERVED_FOR_SHORT_DIVISOR,
        };
        self.0.reserve(bytes, keep)
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
