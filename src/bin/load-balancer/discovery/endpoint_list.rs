//! The endpoint list as discovery writes it.

use std::net::SocketAddr;

use load_balancer::ServerState;
use serde_json::Value;

mod deserialize;

pub use deserialize::ParsedList;

/// The text of one list may take the memory limit divided by this. What is parsed from it is no
/// larger, and both are freed once the list is applied.
const LIST_MEMORY_DIVISOR: usize = 4;
/// Characters of a skipped entry that an error message shows.
const MAX_SHOWN_CHARS: usize = 60;

/// A server on the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The server's id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone; may be empty.
    pub zone: String,
    /// Its machine kind; may be empty.
    pub kind: String,
    /// Its deduplication cell.
    pub cell: u64,
    /// Whether it is in service.
    pub state: ServerState,
    /// Its capacity relative to a server of weight 1.
    pub weight: f64,
    /// When its process started, as Unix time in milliseconds; 0 is long ago.
    pub started_at_ms: u64,
}

/// An endpoint list, complete or with the changed entries only.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    /// Its revision, if it has one.
    pub revision: Option<u64>,
    /// Whether servers that it doesn't name have left.
    pub complete: bool,
    /// The entries that could be parsed.
    pub entries: Vec<EndpointEntry>,
    /// Those that could not.
    pub skipped: SkippedEntries,
}

/// The entries of a list that could not be parsed.
#[derive(Clone, Debug, Default)]
pub struct SkippedEntries {
    /// How many there are.
    pub count: usize,
    /// The ids of those that have one: the node keeps what it knew of these servers.
    pub ids: Vec<String>,
    /// What is wrong with the first.
    first_reason: String,
}

impl SkippedEntries {
    fn add(&mut self, entry: &Value, reason: &str) {
        self.count += 1;
        if self.count == 1 {
            let text: String = entry.to_string().chars().take(MAX_SHOWN_CHARS).collect();
            self.first_reason = format!("{reason} in {text}");
        }
        self.ids
            .extend(entry.get("id").and_then(Value::as_str).map(str::to_owned));
    }
}

/// Why a list was rejected.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum EndpointListError {
    /// Its text is longer than the memory limit allows.
    #[error(
        "a list of over {max_bytes} bytes is refused: \
         limits.memory_mb / {LIST_MEMORY_DIVISOR} is the most"
    )]
    TooLong {
        /// The longest text that is accepted, in bytes.
        max_bytes: usize,
    },
    /// It is not JSON.
    #[error("a list of {bytes} bytes is refused, it is damaged: {reason}")]
    Damaged {
        /// Length of the text.
        bytes: usize,
        /// The parser's message, with line and column.
        reason: String,
    },
    /// It is JSON of another form.
    #[error("a list of {bytes} bytes is refused, {reason}")]
    WrongForm {
        /// Length of the text.
        bytes: usize,
        /// What is missing.
        reason: &'static str,
    },
    /// It has entries, and none could be parsed.
    #[error("a list is refused, none of its {entries} entries can be read: {first_reason}")]
    NoValidEntry {
        /// How many entries it has.
        entries: usize,
        /// What is wrong with the first.
        first_reason: String,
    },
}

impl EndpointListError {
    /// The error of a text of this length that is no JSON object.
    pub fn not_an_object(bytes: usize) -> EndpointListError {
        EndpointListError::WrongForm {
            bytes,
            reason: "it is no object",
        }
    }
}

/// Longest text of one list, in bytes, in a process with this memory limit.
pub fn max_list_bytes(memory_limit: usize) -> usize {
    memory_limit / LIST_MEMORY_DIVISOR
}

impl EndpointList {
    /// Parses a list. Entries that can't be parsed are skipped.
    ///
    /// # Errors
    ///
    /// The text is no list, or none of its entries could be parsed.
    pub fn parse(text: &[u8]) -> Result<EndpointList, EndpointListError> {
        let bytes = text.len();
        let parsed: ParsedList =
            serde_json::from_slice(text).map_err(|error| EndpointListError::Damaged {
                bytes,
                reason: error.to_string(),
            })?;
        parsed.into_list(bytes)
    }

    /// What to log of the skipped entries, if there are any.
    pub fn skipped_summary(&self) -> Option<String> {
        let SkippedEntries {
            count,
            first_reason,
            ..
        } = &self.skipped;
        if *count == 0 {
            return None;
        }
        let total = self.entries.len() + count;
        Some(format!(
            "{count} of {total} entries are dropped, the first: {first_reason}"
        ))
    }
}

#[cfg(test)]
mod tests;
