//! A process of a node in virtual time: its policy, its clock, the CPU time that its events take, and its requests
//! with their attempts.

use std::collections::BTreeMap;

use load_balancer::{Action, Event, RequestId};

use super::run::calls::Call;
use crate::policy::{GroundTruth, Policy};
use crate::wire::WireError;
use crate::world::{JobId, Micros, NodeId, ServerIx};

/// Index of a process in the run, from 0. Each process that a node starts gets a new index.
pub type ProcessIx = usize;

/// The nodes' clock at the start of the load. Large enough that no server started before the clock's zero.
pub const CLOCK_AT_START: Micros = 1_000_000_000;
/// CPU time that an event with its actions takes, on a node's share of a core.
const EVENT_CPU_TIME: Micros = 25;

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub server: ServerIx,
    pub sent: Micros,
    /// Job at the server, once the server has accepted the request.
    pub job: Option<JobId>,
    /// The checker's number for the attempt, once the request has reached the server.
    pub checker_number: Option<usize>,
    /// Whether the attempt has a connection, which is closed or put back at its end.
    pub has_connection: bool,
}

/// A client's try at a process, until it is answered and all its attempts have ended.
#[derive(Debug)]
pub struct RequestState {
    pub txn: String,
    /// Index of the client.
    pub client: usize,
    /// End of the try, as the client announced it.
    pub announced_end: Micros,
    pub answered: bool,
    /// The attempts by number; `None` for those that have ended.
    pub attempts: Vec<Option<Attempt>>,
}

/// A process of a node.
pub struct Process {
    pub node: NodeId,
    pub alive: bool,
    policy: Box<dyn Policy>,
    pub requests: BTreeMap<RequestId, RequestState>,
    /// Version of the endpoint list that the process has.
    pub revision: u64,
    /// Its subscription with discovery, where the list is not pushed.
    pub call: Call,
    busy_until: Micros,
    pub cpu: Micros,
}

impl Process {
    pub fn new(node: NodeId, policy: Box<dyn Policy>, revision: u64) -> Process {
        Process {
            node,
            alive: true,
            policy,
            requests: BTreeMap::new(),
            revision,
            call: Call::None,
            busy_until: 0,
            cpu: 0,
        }
    }

    /// Earliest time at which the process can handle an event that arrives at `now`.
    pub fn free_at(&self, now: Micros) -> Micros {
        self.busy_until.max(now)
    }

    /// Passes an event to the policy, at a time when the process is free.
    pub fn handle_event(
        &mut self,
        now: Micros,
        event: Event,
        truth: GroundTruth<'_>,
    ) -> Result<Vec<Action>, WireError> {
        let mut actions = Vec::new();
        self.busy_until = now + EVENT_CPU_TIME;
        self.cpu += EVENT_CPU_TIME;
        self.policy
            .on_event(CLOCK_AT_START + now, event, truth, &mut actions)?;
        Ok(actions)
    }
}
