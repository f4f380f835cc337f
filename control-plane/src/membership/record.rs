//! Owns what a member says of itself. What others find out about it is the view's.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Identity, Name};

/// Bytes of a record's free texts, at most: a record fits a datagram with room to spare.
const LONGEST_TEXT: usize = 48;
const LONGEST_NOTE: usize = 160;

/// What the node beside an agent does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeState {
    /// Its process is there and has not said yes yet, or waits to be started again.
    Starting,
    /// It takes clients.
    Serving,
    /// It answers what it took, and then ends.
    Draining,
    /// It takes no clients, and stays: staff sent them away.
    StandingBy,
    /// There is no process.
    Stopped,
}

impl NodeState {
    /// Whether its process is there and has said yes.
    pub fn serves(self) -> bool {
        matches!(
            self,
            NodeState::Serving | NodeState::Draining | NodeState::StandingBy
        )
    }

    /// The word of the JSON report.
    pub fn word(self) -> &'static str {
        match self {
            NodeState::Starting => "starting",
            NodeState::Serving => "serving",
            NodeState::Draining => "draining",
            NodeState::StandingBy => "standing-by",
            NodeState::Stopped => "stopped",
        }
    }
}

/// The message formats that a member reads: from the least to the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Formats {
    /// The oldest.
    pub least: u8,
    /// The newest.
    pub newest: u8,
}

/// What a member says of itself. The record with the higher ([`generation`](Self::generation),
/// [`process`](Self::process), [`version`](Self::version)) stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its name.
    pub name: Name,
    /// The generation of its identity when it wrote this.
    pub generation: u64,
    /// Its process, as in [`Identity::process`].
    pub process: u64,
    /// Counts the changes in this life.
    pub version: u32,
    /// Where its datagrams and calls go.
    pub addr: SocketAddr,
    /// Where staff call the agent.
    pub operators: Option<SocketAddr>,
    /// Where clients reach the node.
    pub clients: Option<SocketAddr>,
    /// The machine that it runs on.
    pub machine: String,
    /// The zone of that machine.
    pub zone: String,
    /// The program's version.
    pub program: String,
    /// When the process started, in milliseconds of its wall clock: for people, and for who keeps a name.
    pub started_ms: u64,
    /// What its node does.
    pub node: NodeState,
    /// It goes on purpose: from here on it is left, not failed.
    pub left: bool,
    /// The formats that it reads.
    pub formats: Formats,
    /// The last thing of note, for staff.
    pub note: String,
}

impl Record {
    /// What orders the records of a name.
    pub fn age(&self) -> (u64, u64, u32) {
        (self.generation, self.process, self.version)
    }

    /// Whether this is the record of that life: a record may lag behind a generation renewed in one process.
    pub fn is_of(&self, identity: &Identity) -> bool {
        self.name == identity.name && self.process == identity.process
    }

    /// The identity that the record tells of.
    pub fn identity(&self) -> Identity {
        Identity {
            name: self.name.clone(),
            addr: self.addr,
            generation: self.generation,
            process: self.process,
        }
    }

    /// Cuts free texts to their bounds, whole characters only.
    pub fn trimmed(mut self) -> Record {
        for text in [&mut self.machine, &mut self.zone, &mut self.program] {
            cut(text, LONGEST_TEXT);
        }
        cut(&mut self.note, LONGEST_NOTE);
        self
    }

    /// Whether its texts keep the bounds: one from outside may not.
    pub fn fits(&self) -> bool {
        [&self.machine, &self.zone, &self.program]
            .iter()
            .all(|text| text.len() <= LONGEST_TEXT)
            && self.note.len() <= LONGEST_NOTE
            && self.addr.port() != 0
    }
}

fn cut(text: &mut String, most: usize) {
    if text.len() > most {
        let end = (0..=most)
            .rev()
            .find(|&at| text.is_char_boundary(at))
            .unwrap_or(0);
        text.truncate(end);
    }
}
