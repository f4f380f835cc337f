//! Owns a node's processes in virtual time: the decisions of each, its clock, the processor time that
//! its events take, and the attempts it has out.

use std::collections::BTreeMap;

use load_balancer::{Action, Event, RequestId};

use super::run::calls::Call;
use crate::policy::{Policy, Truth};
use crate::wire::WireError;
use crate::world::{JobId, Micros, NodeId, ServerIx};

/// Place of a process, from 0; a node's next process has another one.
pub type ProcessIx = usize;

/// The node's clock at the start of the load: no start of a server lies before it.
pub const CLOCK: Micros = 1_000_000_000;
/// Processor time that an event with its actions takes, on a node's part of a core.
const EVENT_COST: Micros = 25;

/// An attempt that is out.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub server: ServerIx,
    pub sent: Micros,
    /// Its job, once the server has taken it.
    pub job: Option<JobId>,
    /// The checker's number for it, once it has come to the server.
    pub number: Option<usize>,
    /// It uses a connection, which is closed or given back at its end.
    pub linked: bool,
}

/// A request until nothing of it is out and it has its answer.
#[derive(Debug)]
pub struct Held {
    pub txn: String,
    /// Place of its client.
    pub client: usize,
    pub until: Micros,
    pub answered: bool,
    /// By the number of the attempt; `None` once it has ended.
    pub attempts: Vec<Option<Attempt>>,
}

/// A process.
pub struct Process {
    pub node: NodeId,
    pub alive: bool,
    policy: Box<dyn Policy>,
    pub held: BTreeMap<RequestId, Held>,
    /// The version of the list that it has.
    pub revision: u64,
    /// Its call to discovery, where the list is asked for.
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
            held: BTreeMap::new(),
            revision,
            call: Call::None,
            busy_until: 0,
            cpu: 0,
        }
    }

    /// When it is free for an event that comes now.
    pub fn free_at(&self, now: Micros) -> Micros {
        self.busy_until.max(now)
    }

    /// Gives its decisions an event, at a time when it is free.
    pub fn take(
        &mut self,
        now: Micros,
        event: Event,
        truth: Truth<'_>,
    ) -> Result<Vec<Action>, WireError> {
        let mut actions = Vec::new();
        self.busy_until = now + EVENT_COST;
        self.cpu += EVENT_COST;
        self.policy
            .on_event(CLOCK + now, event, truth, &mut actions)?;
        Ok(actions)
    }
}
