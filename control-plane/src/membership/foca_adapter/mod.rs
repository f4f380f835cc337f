//! Adapts `foca` to this crate: encodes its messages, applies the rate limit to its datagrams, and collects the effects
//! that it requests for the protocol.

mod codec;
mod effects;
mod send_budget;

pub use codec::PostcardCodec;
pub use effects::{EffectCollector, FocaEvent, MessageKind, RequestedTimer};
pub use send_budget::{SendBudget, RESERVED_BYTES};
