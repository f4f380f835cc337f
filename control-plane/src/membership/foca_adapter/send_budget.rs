//! Bounds the size of foca's datagrams by the rate limit.
//!
//! foca fills the rest of a datagram with updates, up to one maximum size for all datagrams. Here the maximum depends
//! on the rate limit: [`SendBudget`] pads a datagram after its header, so that foca finds less space for updates, and
//! removes the padding before the datagram is sent. Updates that do not fit remain in foca's queue, which holds one per
//! member and sends the least transmitted first.

use std::cell::RefCell;
use std::rc::Rc;

use foca::{Header, Message};

use crate::membership::Identity;

/// Bytes that the envelope usually adds to a SWIM message.
const TYPICAL_ENVELOPE_BYTES: usize = 36;
/// Bytes that must be free after a header for foca to write the number of updates that follow.
const UPDATE_COUNT_BYTES: usize = 3;
/// Number of gossip datagrams that announce a new incarnation regardless of the rate limit.
const UNLIMITED_REFUTATIONS: usize = 3;

/// Bytes of the token bucket that updates leave for probes, their answers and refutations.
pub const RESERVED_BYTES: i64 = 400;

/// The bytes that the rate limit allows for the datagrams of one call into foca. Clones share their content: the codec
/// pads a datagram after its header, and the collector removes the padding.
#[derive(Clone, Debug, Default)]
pub struct SendBudget(Rc<RefCell<BudgetInner>>);

/// The padding of the datagram that is being written.
#[derive(Clone, Copy, Debug, Default)]
struct Padding {
    start: usize,
    length: usize,
}

/// This agent's generation and incarnation, as announced by a gossip datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Announced {
    generation: u64,
    incarnation: u16,
}

#[derive(Debug, Default)]
struct BudgetInner {
    available: i64,
    padding: Padding,
    /// Whether the datagram that is being written is to be sent.
    should_send: bool,
    /// The generation and incarnation in the last gossip datagram.
    announced: Announced,
    /// Number of gossip datagrams that have announced them.
    announcements: usize,
}

impl BudgetInner {
    /// Whether a datagram is sent even if the rate limit leaves no space for updates in it.
    fn is_sent_without_updates(&self, message: &Message<Identity>, announced: Announced) -> bool {
        match message {
            // foca announces a refutation by gossip. After a few announcements, a gossip without updates is useless.
            Message::Gossip => {
                announced != self.announced || self.announcements < UNLIMITED_REFUTATIONS
            }
            // These messages are repeated later.
            Message::Announce | Message::Feed | Message::TurnUndead | Message::Broadcast => false,
            Message::Ping(_)
            | Message::Ack(_)
            | Message::PingReq { .. }
            | Message::IndirectPing { .. }
            | Message::IndirectAck { .. }
            | Message::ForwardedAck { .. } => true,
        }
    }

    fn count_announcement(&mut self, announced: Announced) {
        if announced != self.announced {
            self.announced = announced;
            self.announcements = 0;
        }
        self.announcements += 1;
    }
}

impl SendBudget {
    /// Sets the bytes that may be sent; negative while the limiter is overdrawn.
    pub fn set(&self, available: i64) {
        self.0.borrow_mut().available = available;
    }

    /// Begins a datagram, of which `free` bytes are left after its header. Returns the length of the padding to write.
    pub(super) fn begin(
        &self,
        header: &Header<Identity>,
        header_length: usize,
        free: usize,
    ) -> usize {
        let mut inner = self.0.borrow_mut();
        let cost = (header_length + UPDATE_COUNT_BYTES + TYPICAL_ENVELOPE_BYTES) as i64;
        let for_updates = usize::try_from(inner.available - RESERVED_BYTES - cost).unwrap_or(0);
        let announced = Announced {
            generation: header.src.generation,
            incarnation: header.src_incarnation,
        };
        inner.should_send =
            for_updates > 0 || inner.is_sent_without_updates(&header.message, announced);
        if header.message == Message::Gossip {
            inner.count_announcement(announced);
        }
        let carries_updates = !matches!(header.message, Message::Announce | Message::TurnUndead);
        let length = if carries_updates {
            free.saturating_sub(for_updates + UPDATE_COUNT_BYTES)
        } else {
            0
        };
        inner.padding = Padding {
            start: header_length,
            length,
        };
        length
    }

    /// Finishes the datagram for which `begin` was called last: removes the padding from `data` and deducts the rest
    /// from the bytes available. Returns `None` if `begin` found that the datagram is not to be sent.
    pub(super) fn end(&self, data: &[u8]) -> Option<Vec<u8>> {
        let mut inner = self.0.borrow_mut();
        let Padding { start, length } = inner.padding;
        let (header, rest) = data.split_at_checked(start)?;
        let bytes = [header, rest.get(length..)?].concat();
        if !inner.should_send {
            return None;
        }
        inner.available -= (bytes.len() + TYPICAL_ENVELOPE_BYTES) as i64;
        Some(bytes)
    }
}
