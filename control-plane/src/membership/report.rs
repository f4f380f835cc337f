//! Owns the form of what an agent tells staff of the fleet (`GET /fleet`, `members --json`). Spans are in milliseconds.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Counts, Difference, Entry, Name, NodeState, Presence, Present};
use crate::Micros;

/// A member, as an agent sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Its name.
    pub name: Name,
    /// How it stands.
    pub state: Presence,
    /// For how long.
    pub state_for_ms: u64,
    /// What its node does, by its last word.
    pub node: Option<NodeState>,
    /// Grows with each life.
    pub generation: u64,
    /// Its refutations in this life.
    pub incarnation: u16,
    /// Where its datagrams and calls go.
    pub addr: SocketAddr,
    /// Where staff call its agent.
    pub operators: Option<SocketAddr>,
    /// Where clients reach its node.
    pub clients: Option<SocketAddr>,
    /// Its machine.
    pub machine: String,
    /// Its zone.
    pub zone: String,
    /// Its program's version.
    pub program: String,
    /// When its process started, in milliseconds of its wall clock.
    pub started_ms: u64,
    /// Its last words.
    pub note: String,
    /// For how long this agent itself has got no answer from it, though it is present.
    pub unreachable_for_ms: Option<u64>,
}

impl MemberReport {
    pub(super) fn new(now: Micros, entry: &Entry, lost: Option<Micros>) -> MemberReport {
        let record = entry.record.as_ref();
        let text = |of: fn(&super::Record) -> &String| {
            record.map(|record| of(record).clone()).unwrap_or_default()
        };
        MemberReport {
            name: entry.identity.name.clone(),
            state: entry.presence,
            state_for_ms: now.saturating_sub(entry.since) / 1_000,
            node: record.map(|record| record.node),
            generation: entry.identity.generation,
            incarnation: entry.incarnation,
            addr: entry.identity.addr,
            operators: record.and_then(|record| record.operators),
            clients: record.and_then(|record| record.clients),
            machine: text(|record| &record.machine),
            zone: text(|record| &record.zone),
            program: text(|record| &record.program),
            started_ms: record.map_or(0, |record| record.started_ms),
            note: text(|record| &record.note),
            unreachable_for_ms: lost
                .filter(|_| entry.presence.is_present())
                .map(|since| now.saturating_sub(since) / 1_000),
        }
    }
}

/// A member whose view differs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DifferingPeer {
    /// Who.
    pub peer: Name,
    /// For how long.
    pub for_ms: u64,
    /// In which names, as of the last exchange; the first few.
    pub names: Vec<Difference>,
}

/// Whether all see the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Agreement {
    /// This agent's view in one number, in hexadecimal.
    pub digest: String,
    /// For how long every view heard has been the same; `None` while one is not.
    pub agreed_for_ms: Option<u64>,
    /// Other members heard of since this agent's view last changed.
    pub heard: usize,
    /// Other members present.
    pub of: usize,
    /// Those that differ and stay so.
    pub differ: Vec<DifferingPeer>,
}

/// All that an agent tells of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The fleet's name.
    pub fleet: String,
    /// Who tells.
    pub me: Name,
    /// Doubt in its own health, 0 to 8: over 0 it waits longer for others.
    pub health: u32,
    /// All members that it remembers.
    pub members: Vec<MemberReport>,
    /// Whether all see the same.
    pub agreement: Agreement,
    /// The count of nodes.
    pub present: Present,
    /// Messages since the start.
    pub counts: Counts,
}
