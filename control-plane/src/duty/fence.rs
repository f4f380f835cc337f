//! Owns the fence at whoever is acted on: the highest token seen of each duty. It is kept before an act takes effect, so
//! that an act of a deposed holder, however late it comes, changes nothing.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Duty;

/// An act under a token that is not the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("token {token} is not the newest: {seen} has been seen")]
pub struct Stale {
    /// The act's.
    pub token: u64,
    /// The highest seen.
    pub seen: u64,
}

/// The highest tokens seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    seen: BTreeMap<Duty, u64>,
    /// Acts that were refused.
    pub refused: u64,
}

impl Fence {
    /// Lets an act pass, or not. `true` where the fence has moved: it has to be kept before the act takes effect.
    pub fn admit(&mut self, duty: Duty, token: u64) -> Result<bool, Stale> {
        let seen = self.seen.entry(duty).or_insert(0);
        if token < *seen {
            self.refused += 1;
            return Err(Stale { token, seen: *seen });
        }
        Ok(std::mem::replace(seen, token) < token)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_older_than_the_newest_is_refused_and_counted() {
        let mut fence = Fence::default();
        assert_eq!(fence.admit(Duty::Census, 5), Ok(true));
        assert_eq!(
            fence.admit(Duty::Census, 5),
            Ok(false),
            "the same holder goes on"
        );
        assert_eq!(
            fence.admit(Duty::Watch, 3),
            Ok(true),
            "each duty for itself"
        );
        assert_eq!(
            fence.admit(Duty::Census, 4),
            Err(Stale { token: 4, seen: 5 })
        );
        assert_eq!((fence.refused, fence.admit(Duty::Census, 9)), (1, Ok(true)));
    }
}
