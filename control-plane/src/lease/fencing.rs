//! The fencing token check at the target of an action.
//!
//! Invariant: once an action under a token took effect, no action under a lower token of the same role does, however
//! late it arrives. To hold after a restart of the target, the tokens must be persisted before an action takes effect.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Role;

/// The rejection of an action whose fencing token is lower than one seen before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("fencing token {token} is stale: token {seen} has been seen")]
pub struct StaleToken {
    /// The token of the rejected action.
    pub token: u64,
    /// The highest token seen for the role.
    pub seen: u64,
}

/// The highest fencing token that an agent has seen for each role.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencingTokens {
    seen: BTreeMap<Role, u64>,
    /// Number of actions that were rejected because of a stale token.
    #[serde(rename = "refused")]
    pub rejected: u64,
}

impl FencingTokens {
    /// Checks the token of an action. Returns `true` if it is higher than any seen for the role: the tokens must then
    /// be persisted before the action takes effect.
    ///
    /// # Errors
    ///
    /// [`StaleToken`] if a higher token was seen; the rejection is counted.
    pub fn check(&mut self, role: Role, token: u64) -> Result<bool, StaleToken> {
        let seen = self.seen.entry(role).or_insert(0);
        if token < *seen {
            self.rejected += 1;
            return Err(StaleToken { token, seen: *seen });
        }
        Ok(std::mem::replace(seen, token) < token)
    }
}

#[cfg(test)]
mod tests;
