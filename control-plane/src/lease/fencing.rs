//! The fencing token check at the target of an action: an action of a deposed holder has no effect, however late it
//! arrives. The tokens must be persisted before an action takes effect.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Role;

/// An action under a token that is older than one seen before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("token {token} is not the newest: {seen} has been seen")]
pub struct StaleToken {
    /// The action's token.
    pub token: u64,
    /// The highest token seen of the role.
    pub seen: u64,
}

/// The highest token seen of each role.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencingTokens {
    seen: BTreeMap<Role, u64>,
    /// Actions that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
}

impl FencingTokens {
    /// Checks an action's token. Returns whether it is higher than any seen: then the tokens have to be persisted before
    /// the action takes effect.
    ///
    /// # Errors
    ///
    /// [`StaleToken`] where a higher token was seen; the rejection is counted.
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
