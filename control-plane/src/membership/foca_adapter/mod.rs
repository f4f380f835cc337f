//! Adapts `foca` to this crate: the encoding of its messages, the rate limit on its datagrams, and the effects it asks
//! for, collected for the protocol.

mod codec;
mod effects;
mod send_budget;

pub use codec::PostcardCodec;
pub use effects::{EffectCollector, FocaEvent, MessageKind, RequestedTimer};
pub use send_budget::{SendBudget, RESERVED_BYTES};
