//! The policies that can decide for a node in virtual time: the load balancer's decisions themselves, baselines for
//! comparison, and external programs. A policy gets a node's events and returns actions. Only the oracle reads the
//! actual state of the world.

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
    LeastOutstanding, MaglevPlain, Oracle, Random, RingBounded, RoundRobin, SelectServer,
    TwoChoices,
};
use remote::Remote;

/// The actual state of the world, which only the oracle reads.
#[derive(Clone, Copy, Debug)]
pub struct GroundTruth<'a> {
    /// The world.
    pub world: &'a World,
    /// Index of each server in [`World::servers`].
    pub server_indices: &'a BTreeMap<ServerId, usize>,
    /// Current time on the world's clock.
    pub now: Micros,
    /// Key of the request in the servers' caches; the policy itself gets a hash of this key. `None` unless the event is
    /// [`Event::Request`] or [`Event::AttemptEnded`].
    pub key: Option<u64>,
}

/// Decides for one process of a node.
pub trait Policy {
    /// Handles an event at `now`, on the node's own clock, and adds the resulting actions to `out`.
    ///
    /// Only a policy in an external program can fail.
    fn on_event(
        &mut self,
        now: Micros,
        event: Event,
        truth: GroundTruth<'_>,
        out: &mut Vec<Action>,
    ) -> Result<(), WireError>;
}

impl Policy for Balancer {
    fn on_event(
        &mut self,
        now: Micros,
        event: Event,
        _: GroundTruth<'_>,
        out: &mut Vec<Action>,
    ) -> Result<(), WireError> {
        Balancer::on_event(self, now, event, out);
        Ok(())
    }
}

/// The policies that can be selected by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// The decisions of the load balancer.
    Node,
    /// A random ready server.
    Random,
    /// The ready servers in turn.
    RoundRobin,
    /// Of two random servers, the one with fewer requests of this node in flight (Mitzenmacher 2001).
    TwoChoices,
    /// The server with the fewest requests of this node in flight.
    LeastOutstanding,
    /// Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam 2018).
    RingBounded,
    /// The slot table of PAPER, section 3.4, without the load balancer's overflow to other servers.
    MaglevPlain,
    /// Reads each server's actual state: an upper bound for the other policies, except in overload.
    Oracle,
    /// An external program that speaks the simulator's wire protocol, by its shell command.
    Wire(String),
}

/// Prefix of the name of an external program: `wire:COMMAND`.
const WIRE_PREFIX: &str = "wire:";

impl PolicyKind {
    /// All policies except external programs, in the order of the result tables.
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

    /// Name on the command line.
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
            PolicyKind::Wire(command) => return format!("{WIRE_PREFIX}{command}"),
        };
        name.to_owned()
    }
}

/// Creates the policies of all processes of one run.
pub struct PolicyFactory {
    kind: PolicyKind,
    class_names: Rc<[String]>,
    child: Option<Rc<RefCell<Child>>>,
}

impl PolicyFactory {
    /// A factory for policies of this kind. Starts the external program if the kind names one.
    pub fn new(kind: &PolicyKind, class_names: &[String]) -> Result<PolicyFactory, WireError> {
        let child = match kind {
            PolicyKind::Wire(command) => Some(Rc::new(RefCell::new(Child::start(command)?))),
            _ => None,
        };
        Ok(PolicyFactory {
            kind: kind.clone(),
            class_names: class_names.into(),
            child,
        })
    }

    /// The policy of a new process; `instance` is unique in the run.
    pub fn create(&self, settings: Settings, seed: u64, instance: usize) -> Box<dyn Policy> {
        if let Some(child) = &self.child {
            let spawn = format!(
                "SPAWN {seed} {}\n",
                settings_line(&settings, &self.class_names)
            );
            return Box::new(Remote::new(
                child.clone(),
                instance,
                self.class_names.clone(),
                spawn,
            ));
        }
        let selector: Box<dyn SelectServer> = match self.kind {
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
        Box::new(Baseline::new(settings, selector))
    }
}

impl FromStr for PolicyKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if let Some(kind) = Self::ALL.into_iter().find(|kind| kind.name() == text) {
            return Ok(kind);
        }
        if let Some(command) = text
            .strip_prefix(WIRE_PREFIX)
            .filter(|command| !command.is_empty())
        {
            return Ok(PolicyKind::Wire(command.to_owned()));
        }
        let names = Self::ALL.map(|kind| kind.name());
        let most_similar = names
            .iter()
            .max_by(|a, b| jaro_winkler(text, a).total_cmp(&jaro_winkler(text, b)));
        let suggestion = most_similar.map(String::as_str).unwrap_or("node");
        Err(format!(
            "expected {}, or wire:COMMAND; did you mean '{suggestion}'?",
            names.join(", ")
        ))
    }
}
