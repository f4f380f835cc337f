//! A member's record: what it publishes about itself. What others find out about it is in the [`View`](super::View).

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Identity, Name};

/// Longest label of a record in bytes. The bounds keep a record within a datagram.
const MAX_LABEL_BYTES: usize = 48;
/// Longest note of a record in bytes.
const MAX_NOTE_BYTES: usize = 160;

/// State of the node beside an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeState {
    /// Its process has not been ready yet, or waits to be restarted.
    Starting,
    /// It accepts clients.
    Serving,
    /// It finishes the requests it has accepted, and then exits.
    Draining,
    /// It runs and accepts no clients: an operator put it on standby.
    StandingBy,
    /// There is no process.
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

    /// Whether its process has been ready.
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
    /// The oldest.
    pub oldest: u8,
    /// The newest.
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
    /// Its name.
    pub name: Name,
    /// The generation of its identity when it wrote the record.
    pub generation: u64,
    /// Its process, as in [`Identity::process`].
    pub process: u64,
    /// Counts the changes made by this process.
    pub version: u32,
    /// Address for datagrams and calls.
    pub addr: SocketAddr,
    /// Address of the agent's HTTP interface for operators.
    pub operators: Option<SocketAddr>,
    /// Address at which clients reach the node.
    pub clients: Option<SocketAddr>,
    /// The machine that it runs on.
    pub machine: String,
    /// The zone of that machine.
    pub zone: String,
    /// Version of the program.
    pub program: String,
    /// When the process started, in milliseconds of its wall clock. The older of two processes keeps their name.
    pub started_ms: u64,
    /// State of its node.
    pub node: NodeState,
    /// Whether it leaves on purpose: from then on it counts as left, not failed.
    pub left: bool,
    /// The message formats that it reads.
    pub formats: FormatRange,
    /// The latest notable event, for operators.
    pub note: String,
}

impl Record {
    /// What orders the records of a name.
    pub fn record_version(&self) -> RecordVersion {
        RecordVersion {
            generation: self.generation,
            process: self.process,
            version: self.version,
        }
    }

    /// Whether this is a record of that process. The record may lag behind a generation renewed by the same process.
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

    /// Whether a record from outside keeps the bounds and has a usable address.
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
