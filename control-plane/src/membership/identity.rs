//! Names and identities of members, and which of two identities with the same name prevails.

use std::cmp::Ordering;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_64;

/// Longest name in bytes. It is short because every datagram carries identities.
const MAX_NAME_BYTES: usize = 48;

/// A member's name: 1 to 48 ASCII letters, digits, `.`, `_` or `-`. It stays the same across restarts.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Name {
    /// Hash of the text, compared first because foca searches its members linearly.
    hash: u64,
    text: Arc<str>,
}

/// Names are ordered by hash, because maps by name are searched for each datagram. Reports sort by the text.
impl Ord for Name {
    fn cmp(&self, other: &Name) -> Ordering {
        self.hash
            .cmp(&other.hash)
            .then_with(|| self.text.cmp(&other.text))
    }
}

impl PartialOrd for Name {
    fn partial_cmp(&self, other: &Name) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Error for a text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is not a valid name: 1 to {MAX_NAME_BYTES} letters, digits, '.', '_' or '-'")]
pub struct InvalidName(String);

impl Name {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl FromStr for Name {
    type Err = InvalidName;

    fn from_str(text: &str) -> Result<Name, InvalidName> {
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
        if (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(is_allowed) {
            Ok(Name {
                hash: xxh3_64(text.as_bytes()),
                text: text.into(),
            })
        } else {
            Err(InvalidName(text.chars().take(MAX_NAME_BYTES + 1).collect()))
        }
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl Serialize for Name {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.text)
    }
}

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Name, D::Error> {
        String::deserialize(deserializer)?
            .parse()
            .map_err(serde::de::Error::custom)
    }
}

/// Joins names with commas, for logs and messages.
pub fn join_names(names: &[Name]) -> String {
    let names: Vec<&str> = names.iter().map(Name::as_str).collect();
    names.join(", ")
}

/// A member's identity in SWIM. A process gets a new one when it starts and each time it rejoins.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Identity {
    /// The name, unique among live members.
    pub name: Name,
    /// Address for datagrams and calls.
    pub addr: SocketAddr,
    /// Increases with each identity of the name: the start time of the process in milliseconds of the wall clock, or one
    /// more than the previous generation if that is not lower.
    pub generation: u64,
    /// Random number drawn when the process starts. It distinguishes two processes with the same name and generation.
    pub process: u64,
}

impl foca::Identity for Identity {
    /// The hash of the name, because foca compares addresses often. Among ten thousand names the probability of a collision
    /// is about 10^-11.
    type Addr = u64;

    fn renew(&self) -> Option<Self> {
        // The generation can only be exhausted by a forged message; the member then stays down.
        Some(Identity {
            generation: self.generation.checked_add(1)?,
            ..self.clone()
        })
    }

    fn addr(&self) -> u64 {
        self.name.hash
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.generation, self.process) > (other.generation, other.process)
    }
}

#[cfg(test)]
mod tests;
