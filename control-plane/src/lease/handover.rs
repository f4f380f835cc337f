//! The record of a change of a role's holder.

use serde::{Deserialize, Serialize};

use super::Role;
use crate::membership::Name;

/// Why a role changed its holder. Its serialized names are part of the operators' interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum HandoverReason {
    /// The role had never had a holder.
    #[serde(rename = "first")]
    FirstGrant,
    /// The holder's lease expired.
    #[serde(rename = "lapsed")]
    LeaseExpired,
    /// The last holder had released the role.
    #[serde(rename = "free")]
    Released,
    /// The holder released the role because it shuts down.
    #[serde(rename = "stops")]
    Shutdown,
    /// The holder released the role because an operator asked for another holder.
    #[serde(rename = "asked")]
    OperatorRequest,
}

impl HandoverReason {
    /// The name by which operators know the reason.
    pub fn name(self) -> &'static str {
        match self {
            HandoverReason::FirstGrant => "first",
            HandoverReason::LeaseExpired => "lapsed",
            HandoverReason::Released => "free",
            HandoverReason::Shutdown => "stops",
            HandoverReason::OperatorRequest => "asked",
        }
    }
}

/// A change of a role's holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Handover {
    /// The role.
    #[serde(rename = "duty")]
    pub role: Role,
    /// The previous holder, even if it had released the role before this grant; `None` at the role's first grant.
    pub from: Option<Name>,
    /// The new holder; `None` if the role was released.
    pub to: Option<Name>,
    /// The fencing token of the new lease, or of the one that was released.
    pub token: u64,
    /// Why the holder changed.
    #[serde(rename = "why")]
    pub reason: HandoverReason,
    /// The proposer's wall clock in milliseconds, for display.
    pub at_ms: u64,
}

#[cfg(test)]
mod tests;
