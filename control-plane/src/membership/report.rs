//! The JSON report of the fleet for operators (`GET /fleet`, `members --json`). Field names are part of that interface;
//! durations are in milliseconds.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Difference, Entry, FleetSize, MemberState, MessageCounts, Name, NodeState};
use crate::Micros;

/// A member, as an agent sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Name of the member.
    pub name: Name,
    /// State of the member.
    pub state: MemberState,
    /// How long the member has been in this state.
    pub state_for_ms: u64,
    /// State of the member's node; `None` while its record is not known.
    pub node: Option<NodeState>,
    /// Generation of the member, which increases with each process and rejoin.
    pub generation: u64,
    /// Incarnation: the number of the member's refutations under this generation.
    pub incarnation: u16,
    /// Address for datagrams and calls.
    pub addr: SocketAddr,
    /// Address of its agent's HTTP interface for operators.
    pub operators: Option<SocketAddr>,
    /// Address at which clients reach its node.
    pub clients: Option<SocketAddr>,
    /// Machine that the agent runs on; empty while the record is not known.
    pub machine: String,
    /// Zone of the machine.
    pub zone: String,
    /// Version of the agent's program.
    pub program: String,
    /// When the process started, in milliseconds of its wall clock; 0 while the record is not known.
    pub started_ms: u64,
    /// Latest notable event of the node.
    pub note: String,
    /// For how long the member has not answered this agent's own direct probes, while it is present; `None` if it
    /// counts as reachable.
    pub unreachable_for_ms: Option<u64>,
}

impl MemberReport {
    pub(super) fn new(
        now: Micros,
        entry: &Entry,
        unreachable_since: Option<Micros>,
    ) -> MemberReport {
        let record = entry.record.as_ref();
        let text = |field: fn(&super::Record) -> &String| {
            record
                .map(|record| field(record).clone())
                .unwrap_or_default()
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

/// A member whose view has differed from this agent's for the convergence timeout or longer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DifferingPeer {
    /// Name of the member.
    pub peer: Name,
    /// For how long its view has differed.
    pub for_ms: u64,
    /// The first few differences found by the last exchange of full views.
    pub names: Vec<Difference>,
}

/// Whether all members have the same view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ViewAgreement {
    /// Digest of this agent's view, in hexadecimal.
    pub digest: String,
    /// For how long all digests received have equalled this agent's; `None` while one differs.
    pub agreed_for_ms: Option<u64>,
    /// Number of other members whose digest has arrived since this agent's view last changed.
    pub heard: usize,
    /// Number of other members present.
    pub of: usize,
    /// Members whose view has differed for the convergence timeout or longer.
    pub differ: Vec<DifferingPeer>,
}

/// The fleet as an agent sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of the reporting agent.
    pub me: Name,
    /// Score of the agent's local health, from 0 (healthy) to 8: the higher it is, the longer the agent waits for others.
    pub health: u32,
    /// All members that it remembers.
    pub members: Vec<MemberReport>,
    /// Whether all members have the same view.
    pub agreement: ViewAgreement,
    /// The size of the fleet.
    pub present: FleetSize,
    /// Messages since the start of the process.
    pub counts: MessageCounts,
}
