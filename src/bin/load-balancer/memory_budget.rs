//! A limited amount of memory, given out as reservations.

use std::cell::Cell;
use std::rc::Rc;

/// An amount of memory that several parts of the node share, in bytes.
pub struct MemoryBudget {
    total: usize,
    left: Cell<usize>,
}

/// A reservation of memory, released when dropped.
pub struct MemoryReservation {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// A budget of `total` bytes.
    pub fn new(total: usize) -> Rc<Self> {
        let left = Cell::new(total);
        Rc::new(MemoryBudget { total, left })
    }

    /// The memory that can be reserved in total, in bytes.
    pub fn total(&self) -> usize {
        self.total
    }

    /// The memory that is reserved now, in bytes.
    pub fn used(&self) -> usize {
        self.total - self.left.get()
    }

    /// Reserves `bytes`; `None` if fewer than `keep` bytes would be left.
    pub fn reserve(self: &Rc<Self>, bytes: usize, keep: usize) -> Option<MemoryReservation> {
        let left = self.left.get().checked_sub(bytes)?;
        if left < keep {
            return None;
        }
        self.left.set(left);
        Some(MemoryReservation {
            budget: self.clone(),
            bytes,
        })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.left.set(self.budget.left.get() + self.bytes);
    }
}
