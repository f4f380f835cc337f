//! Owns what a member is called and which of two lives of one name stands. It knows nothing of states.

use std::cmp::Ordering;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a name, at most: identities travel in every datagram.
const LONGEST: usize = 48;

/// A member's name: 1 to 48 ASCII letters, digits, `.`, `_` or `-`. The same after a restart.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Name {
    /// Before the text: SWIM looks members up one by one, and this tells most apart.
    key: u64,
    text: Arc<str>,
}

/// By number: maps by name are looked into for each datagram. Reports sort by the text.
impl Ord for Name {
    fn cmp(&self, other: &Name) -> Ordering {
        self.key
            .cmp(&other.key)
            .then_with(|| self.text.cmp(&other.text))
    }
}

impl PartialOrd for Name {
    fn partial_cmp(&self, other: &Name) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// A text that is no name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is no name: 1 to {LONGEST} letters, digits, '.', '_' or '-'")]
pub struct NameFault(String);

impl Name {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl FromStr for Name {
    type Err = NameFault;

    fn from_str(text: &str) -> Result<Name, NameFault> {
        let fits = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
        if (1..=LONGEST).contains(&text.len()) && text.bytes().all(fits) {
            Ok(Name {
                key: xxh3_64(text.as_bytes()),
                text: text.into(),
            })
        } else {
            Err(NameFault(text.chars().take(LONGEST + 1).collect()))
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

/// One life of a member, as SWIM tells members apart.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Identity {
    /// The name, which no two live members share.
    pub name: Name,
    /// Where its datagrams and calls go.
    pub addr: SocketAddr,
    /// Grows with each life of the name, in milliseconds of the wall clock or just above the last one.
    pub generation: u64,
    /// Drawn at the start of the process: two of one name and generation are still two.
    pub process: u64,
}

impl foca::Identity for Identity {
    /// The name as a number, as SWIM asks for it at each comparison. Two names of a fleet with one number are not to
    /// be met: of ten thousand, one chance in 10^11.
    type Addr = u64;

    fn renew(&self) -> Option<Self> {
        // No higher one is left only where somebody lied about the generation: then it stays down.
        Some(Identity {
            generation: self.generation.checked_add(1)?,
            ..self.clone()
        })
    }

    fn addr(&self) -> u64 {
        self.name.key
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.generation, self.process) > (other.generation, other.process)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_name_is_short_and_plain() {
        for wrong in ["", "n 1", "n/1", "né", &"x".repeat(49)] {
            assert!(wrong.parse::<Name>().is_err(), "{wrong}");
        }
        assert_eq!(
            "bilbao-3.a_b".parse::<Name>().unwrap().as_str(),
            "bilbao-3.a_b"
        );
        let bytes = postcard::to_stdvec("n 1").unwrap();
        assert!(
            postcard::from_bytes::<Name>(&bytes).is_err(),
            "nor does one come in from the wire"
        );
    }
}
