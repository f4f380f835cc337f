//! A member's record: what it publishes about itself. What others find out about it is in the [`View`](super::View).

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Identity, Name};

/// Longest label of a record in bytes. This bound and the next keep a record short enough for a datagram.
const MAX_LABEL_BYTES: usize = 48;
/// Longest note of a record in bytes.
const MAX_NOTE_BYTES: usize = 160;

/// State of an agent's node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeState {
    /// The node's process has not been ready yet, or waits to be restarted.
    Starting,
    /// The node accepts clients.
    Serving,
    /// The node finishes the requests it has accepted, and then exits.
    Draining,
    /// The node runs but accepts no clients: an operator put it on standby.
    StandingBy,
    /// The node has no process.
    Stopped,
}

impl NodeState {
    /// All states, in order of declaration.
    pub const ALL: [NodeState; 5] = [
        NodeState::Starting,
        NodeState::Serving,
        NodeState::Draining,
        NodeState::StandingBy,
        NodeState::Stopped,
    ];

    /// Whether the node's process has been ready.
    pub fn has_been_ready(self) -> bool {
        matches!(
            self,
            NodeState::Serving | NodeState::Draining | NodeState::StandingBy
        )
    }

    /// The name used in reports and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            NodeState::Starting => "starting",
            NodeState::Serving => "serving",
            NodeState::Draining => "draining",
            NodeState::StandingBy => "standing-by",
            NodeState::Stopped => "stopped",
        }
    }
}

/// The range of message formats that a member reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatRange {
    /// The oldest format read.
    pub oldest: u8,
    /// The newest format read.
    pub newest: u8,
}

impl FormatRange {
    /// Whether a format is within the range.
    pub fn contains(self, format: u8) -> bool {
        (self.oldest..=self.newest).contains(&format)
    }
}

/// Orders the records of one name: the greatest is the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordVersion {
    generation: u64,
    process: u64,
    version: u32,
}

/// What a member publishes about itself. Of several records of a name, the one with the greatest
/// [`RecordVersion`] is current. The order of the fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the member.
    pub name: Name,
    /// Generation of the member's identity when it wrote the record.
    pub generation: u64,
    /// Number of the member's process, as in [`Identity::process`].
    pub process: u64,
    /// Counts the versions that this process has written, from 1.
    pub version: u32,
    /// Address for datagrams and calls.
    pub addr: SocketAddr,
    /// Address of the agent's HTTP interface for operators.
    pub operators: Option<SocketAddr>,
    /// Address at which clients reach the node.
    pub clients: Option<SocketAddr>,
    /// Name of the machine that the agent runs on.
    pub machine: String,
    /// The zone of that machine.
    pub zone: String,
    /// Version of the agent's program.
    pub program: String,
    /// When the process started, in milliseconds of its wall clock. Of two processes with one name, the one that started
    /// first keeps it.
    pub started_ms: u64,
    /// State of the member's node.
    pub node: NodeState,
    /// Whether the member leaves on purpose: from then on it counts as left, not failed.
    pub left: bool,
    /// Message formats that the member reads.
    pub formats: FormatRange,
    /// Latest notable event of the node, for operators.
    pub note: String,
}

impl Record {
    /// The version of this record, by which the records of a name are ordered.
    pub fn record_version(&self) -> RecordVersion {
        RecordVersion {
            generation: self.generation,
            process: self.process,
            version: self.version,
        }
    }

    /// Whether the record was written by the process of `identity`. Its generation may be an earlier one of that process.
    pub fn describes(&self, identity: &Identity) -> bool {
        self.name == identity.name && self.process == identity.process
    }

    /// The identity that the record was written under.
    pub fn identity(&self) -> Identity {
        Identity {
            name: self.name.clone(),
            addr: self.addr,
            generation: self.generation,
            process: self.process,
        }
    }

    /// Truncates the free texts to their bounds, at character boundaries.
    pub fn truncated(mut self) -> Record {
        for label in [&mut self.machine, &mut self.zone, &mut self.program] {
            truncate(label, MAX_LABEL_BYTES);
        }
        truncate(&mut self.note, MAX_NOTE_BYTES);
        self
    }

    /// Whether a received record is within the bounds and has a usable address.
    pub fn is_valid(&self) -> bool {
        let labels = [&self.machine, &self.zone, &self.program];
        labels.iter().all(|label| label.len() <= MAX_LABEL_BYTES)
            && self.note.len() <= MAX_NOTE_BYTES
            && self.addr.port() != 0
    }
}

fn truncate(text: &mut String, max_bytes: usize) {
    if text.len() > max_bytes {
        let end = (0..=max_bytes)
            .rev()
            .find(|&at| text.is_char_boundary(at))
            .unwrap_or(0);
        text.truncate(end);
    }
}
