//! The JSON report of the fleet for operators (`GET /fleet`, `members --json`). Field names are part of that interface;
//! durations are in milliseconds.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Difference, Entry, FleetSize, MemberState, MessageCounts, Name, NodeState};
use crate::Micros;

/// A member, as an agent sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Its name.
    pub name: Name,
    /// Its state.
    pub state: MemberState,
    /// How long it has been in this state.
    pub state_for_ms: u64,
    /// State of its node, from its latest record.
    pub node: Option<NodeState>,
    /// Its generation, which grows with each process and rejoin.
    pub generation: u64,
    /// Its refutations under this generation.
    pub incarnation: u16,
    /// Address for datagrams and calls.
    pub addr: SocketAddr,
    /// Address of its agent's HTTP interface for operators.
    pub operators: Option<SocketAddr>,
    /// Address at which clients reach its node.
    pub clients: Option<SocketAddr>,
    /// Its machine.
    pub machine: String,
    /// Its zone.
    pub zone: String,
    /// Version of its program.
    pub program: String,
    /// When its process started, in milliseconds of its wall clock.
    pub started_ms: u64,
    /// Its latest note.
    pub note: String,
    /// How long this agent itself has got no answer from it, though it is present.
    pub unreachable_for_ms: Option<u64>,
}

impl MemberReport {
    pub(super) fn new(
        now: Micros,
        entry: &Entry,
        unreachable_since: Option<Micros>,
    ) -> MemberReport {
        let record = entry.record.as_ref();
        let text = |of: fn(&super::Record) -> &String| {
            record.map(|record| of(record).clone()).unwrap_or_default()
        };
        MemberReport {
            name: entry.identity.name.clone(),
            state: entry.state,
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
            unreachable_for_ms: unreachable_since
                .filter(|_| entry.state.is_present())
                .map(|since| now.saturating_sub(since) / 1_000),
        }
    }
}

/// A member whose view differs lastingly.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DifferingPeer {
    /// The member.
    pub peer: Name,
    /// How long its view has differed.
    pub for_ms: u64,
    /// The first few differences, as of the last exchange.
    pub names: Vec<Difference>,
}

/// Whether all members have the same view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ViewAgreement {
    /// Digest of this agent's view, in hexadecimal.
    pub digest: String,
    /// How long every view heard of has been the same; `None` while one differs.
    pub agreed_for_ms: Option<u64>,
    /// Other members whose view arrived since this agent's own last changed.
    pub heard: usize,
    /// Other members present.
    pub of: usize,
    /// Members whose view differs lastingly.
    pub differ: Vec<DifferingPeer>,
}

/// The fleet as an agent sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the fleet.
    pub fleet: String,
    /// The reporting agent.
    pub me: Name,
    /// Its local health score, 0 (healthy) to 8: above 0 it waits longer for others.
    pub health: u32,
    /// All members that it remembers.
    pub members: Vec<MemberReport>,
    /// Whether all members have the same view.
    pub agreement: ViewAgreement,
    /// The size of the fleet.
    pub present: FleetSize,
    /// Messages since the start.
    pub counts: MessageCounts,
}
