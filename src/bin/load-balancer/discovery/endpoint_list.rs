//! The endpoint list that discovery sends.

use std::net::SocketAddr;

use load_balancer::ServerState;
use serde_json::Value;

mod deserialize;

pub use deserialize::ParsedList;

/// The text of one list may be as long as the memory limit divided by this. The parsed list is no larger than its
/// text, and both are freed once the list is applied.
const LIST_MEMORY_DIVISOR: usize = 4;
/// Most characters of a skipped entry that a message quotes.
const MAX_SHOWN_CHARS: usize = 60;

/// A server on the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The server's id.
    pub id: String,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The server's zone; empty if the list gives none.
    pub zone: String,
    /// The server's machine kind; empty if the list gives none.
    pub kind: String,
    /// The server's cell, whose servers share their record of idempotency keys.
    pub cell: u64,
    /// Whether the server is in service.
    pub state: ServerState,
    /// The server's capacity relative to a server of weight 1.
    pub weight: f64,
    /// When the server's process started, as Unix time in milliseconds; 0 if the list does not say, which counts as
    /// long ago.
    pub started_at_ms: u64,
}

/// An endpoint list: complete, or with the changed entries only.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    /// The list's revision, if it has one.
    pub revision: Option<u64>,
    /// Whether the list is complete, so that servers it does not name are removed.
    pub complete: bool,
    /// The entries that could be parsed.
    pub entries: Vec<EndpointEntry>,
    /// The entries that could not be parsed.
    pub skipped: SkippedEntries,
}

/// The entries of a list that could not be parsed.
#[derive(Clone, Debug, Default)]
pub struct SkippedEntries {
    /// The number of skipped entries.
    pub count: usize,
    /// The ids of the skipped entries that have one. These servers keep their last known state.
    pub ids: Vec<String>,
    /// Why the first entry was skipped.
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
    /// The list's text is longer than the memory limit allows.
    #[error(
        "a list of over {max_bytes} bytes is refused: \
         the maximum is limits.memory_mb / {LIST_MEMORY_DIVISOR}"
    )]
    TooLong {
        /// The longest text that is accepted, in bytes.
        max_bytes: usize,
    },
    /// The text is not JSON.
    #[error("a list of {bytes} bytes is refused, its JSON is damaged: {reason}")]
    Damaged {
        /// Length of the text, in bytes.
        bytes: usize,
        /// The parser's message, with line and column.
        reason: String,
    },
    /// The text is JSON, but not an endpoint list.
    #[error("a list of {bytes} bytes is refused, {reason}")]
    WrongForm {
        /// Length of the text, in bytes.
        bytes: usize,
        /// How the text differs from an endpoint list.
        reason: &'static str,
    },
    /// The list has entries, and none of them could be parsed.
    #[error(
        "a list is refused, none of its {entries} entries is valid, the first: {first_reason}"
    )]
    NoValidEntry {
        /// The number of entries.
        entries: usize,
        /// Why the first entry is invalid.
        first_reason: String,
    },
}

impl EndpointListError {
    /// The error for a text of this length that is not a JSON object.
    pub fn not_an_object(bytes: usize) -> EndpointListError {
        EndpointListError::WrongForm {
            bytes,
            reason: "it is no object",
        }
    }
}

/// Longest text of one list in a process with this memory limit; both in bytes.
pub fn max_list_bytes(memory_limit: usize) -> usize {
    memory_limit / LIST_MEMORY_DIVISOR
}

impl EndpointList {
    /// Parses a list. Entries that can't be parsed are skipped.
    ///
    /// # Errors
    ///
    /// The text is not an endpoint list, or the list has entries and none could be parsed.
    pub fn parse(text: &[u8]) -> Result<EndpointList, EndpointListError> {
        let bytes = text.len();
        let parsed: ParsedList =
            serde_json::from_slice(text).map_err(|error| EndpointListError::Damaged {
                bytes,
                reason: error.to_string(),
            })?;
        parsed.into_list(bytes)
    }

    /// A summary of the skipped entries for the log; `None` if there are none.
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
            "{count} of {total} entries are dropped as invalid, the first: {first_reason}"
        ))
    }
}

#[cfg(test)]
mod tests;
