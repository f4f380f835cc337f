//! Owns the policies that the virtual-time host can put inside a node: the decision module itself and
//! the lab's baselines. A policy sees a node's events and answers with actions; only the oracle looks at
//! the world's true state.

mod baseline;
mod choose;
mod remote;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::str::FromStr;

use load_balancer::{Action, Balancer, Event, ServerId, Settings};
use strsim::jaro_winkler;

use crate::wire::{settings_line, Child, WireError};
use crate::world::{Micros, World};
use baseline::Baseline;
use choose::{
    Choose, LeastOutstanding, MaglevPlain, Oracle, Random, RingBounded, RoundRobin, TwoChoices,
};
use remote::Remote;

/// What the oracle may look at, and nobody else: the true state, and where each server stands in it.
#[derive(Clone, Copy, Debug)]
pub struct Truth<'a> {
    /// The world.
    pub world: &'a World,
    /// Places of the servers by their numbers.
    pub places: &'a BTreeMap<ServerId, usize>,
    /// Now, on the world's clock.
    pub now: Micros,
    /// The request's key as the servers know it, where the event is about a request.
    pub key: Option<u64>,
}

/// The decisions of one node.
pub trait Policy {
    /// Takes an event at `now` (the node's own clock) and adds what the node is to do.
    ///
    /// Only one on the other end of a wire can fail.
    fn on_event(
        &mut self,
        now: Micros,
        event: Event,
        truth: Truth<'_>,
        out: &mut Vec<Action>,
    ) -> Result<(), WireError>;
}

impl Policy for Balancer {
    fn on_event(
        &mut self,
        now: Micros,
        event: Event,
        _: Truth<'_>,
        out: &mut Vec<Action>,
    ) -> Result<(), WireError> {
        Balancer::on_event(self, now, event, out);
        Ok(())
    }
}

/// A policy by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// The decision module.
    Node,
    /// Any ready server.
    Random,
    /// Each ready server in turn.
    RoundRobin,
    /// The one of two random servers with fewer of this node's requests (Mitzenmacher 2001).
    TwoChoices,
    /// The one with the fewest of this node's requests.
    LeastOutstanding,
    /// A consistent ring with bounded loads (Mirrokni, Thorup and Zadimoghaddam 2018).
    RingBounded,
    /// The bare slot table (PAPER, section 3.4) without the module's overflow.
    MaglevPlain,
    /// Sees each server's true state: the ceiling, but in overload.
    Oracle,
    /// A program that speaks the simulator's wire, by its command for a shell.
    Wire(String),
}

/// What `wire:COMMAND` begins with.
const WIRE: &str = "wire:";

impl PolicyKind {
    /// All of the lab's own, in the order of the tables.
    pub const ALL: [PolicyKind; 8] = [
        PolicyKind::Node,
        PolicyKind::Random,
        PolicyKind::RoundRobin,
        PolicyKind::TwoChoices,
        PolicyKind::LeastOutstanding,
        PolicyKind::RingBounded,
        PolicyKind::MaglevPlain,
        PolicyKind::Oracle,
    ];

    /// Its name on the command line.
    pub fn name(&self) -> String {
        let name = match self {
            PolicyKind::Node => "node",
            PolicyKind::Random => "random",
            PolicyKind::RoundRobin => "round-robin",
            PolicyKind::TwoChoices => "two-choices",
            PolicyKind::LeastOutstanding => "least-outstanding",
            PolicyKind::RingBounded => "ring-bounded",
            PolicyKind::MaglevPlain => "maglev-plain",
            PolicyKind::Oracle => "oracle",
            PolicyKind::Wire(command) => return format!("{WIRE}{command}"),
        };
        name.to_owned()
    }
}

/// Starts the decisions of the nodes of one play.
pub struct Starter {
    kind: PolicyKind,
    names: Rc<[String]>,
    child: Option<Rc<RefCell<Child>>>,
}

impl Starter {
    /// A starter; `names` are those of the classes. A program on the wire begins here.
    pub fn new(kind: &PolicyKind, names: &[String]) -> Result<Starter, WireError> {
        let child = match kind {
            PolicyKind::Wire(command) => Some(Rc::new(RefCell::new(Child::start(command)?))),
            _ => None,
        };
        Ok(Starter {
            kind: kind.clone(),
            names: names.into(),
            child,
        })
    }

    /// The decisions of a process; `instance` is a number that no other of the play has.
    pub fn start(&self, settings: Settings, seed: u64, instance: usize) -> Box<dyn Policy> {
        if let Some(child) = &self.child {
            let spawn = format!("SPAWN {seed} {}\n", settings_line(&settings, &self.names));
            return Box::new(Remote::new(
                child.clone(),
                instance,
                self.names.clone(),
                spawn,
            ));
        }
        let choose: Box<dyn Choose> = match self.kind {
            PolicyKind::Random => Box::new(Random::new(seed)),
            PolicyKind::RoundRobin => Box::new(RoundRobin::new(seed)),
            PolicyKind::TwoChoices => Box::new(TwoChoices::new(seed)),
            PolicyKind::LeastOutstanding => Box::new(LeastOutstanding),
            PolicyKind::RingBounded => Box::<RingBounded>::default(),
            PolicyKind::MaglevPlain => Box::<MaglevPlain>::default(),
            PolicyKind::Oracle => Box::new(Oracle),
            PolicyKind::Node | PolicyKind::Wire(_) => {
                return Box::new(Balancer::new(settings, seed))
            }
        };
        Box::new(Baseline::new(settings, choose))
    }
}

impl FromStr for PolicyKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if let Some(kind) = Self::ALL.into_iter().find(|kind| kind.name() == text) {
            return Ok(kind);
        }
        if let Some(command) = text
            .strip_prefix(WIRE)
            .filter(|command| !command.is_empty())
        {
            return Ok(PolicyKind::Wire(command.to_owned()));
        }
        let names = Self::ALL.map(|kind| kind.name());
        let near = names
            .iter()
            .max_by(|a, b| jaro_winkler(text, a).total_cmp(&jaro_winkler(text, b)));
        let near = near.map(String::as_str).unwrap_or("node");
        Err(format!(
            "expected {}, or wire:COMMAND; did you mean '{near}'?",
            names.join(", ")
        ))
    }
}
