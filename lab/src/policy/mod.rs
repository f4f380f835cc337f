//! Owns the policies that the virtual-time host can put inside a node: the decision module itself and
//! the lab's baselines. A policy sees a node's events and answers with actions; only [`oracle`] looks at
//! the world's true state.

mod baseline;
mod choose;

use std::collections::BTreeMap;
use std::str::FromStr;

use strsim::jaro_winkler;
use woodgap::{Action, Balancer, Event, ServerId, Settings};

use crate::world::{Micros, World};
use baseline::Baseline;
use choose::{Choose, LeastOutstanding, MaglevPlain, Oracle, Random, RingBounded, RoundRobin, TwoChoices};

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
    fn on_event(&mut self, now: Micros, event: Event, truth: Truth<'_>, out: &mut Vec<Action>);
}

impl Policy for Balancer {
    fn on_event(&mut self, now: Micros, event: Event, _: Truth<'_>, out: &mut Vec<Action>) {
        Balancer::on_event(self, now, event, out);
    }
}

/// A policy by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
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
    /// Sees each server's true state: the ceiling.
    Oracle,
}

impl PolicyKind {
    /// All of them, in the order of the tables.
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
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Node => "node",
            PolicyKind::Random => "random",
            PolicyKind::RoundRobin => "round-robin",
            PolicyKind::TwoChoices => "two-choices",
            PolicyKind::LeastOutstanding => "least-outstanding",
            PolicyKind::RingBounded => "ring-bounded",
            PolicyKind::MaglevPlain => "maglev-plain",
            PolicyKind::Oracle => "oracle",
        }
    }

    /// A node's decisions under this policy.
    pub fn start(self, settings: Settings, seed: u64) -> Box<dyn Policy> {
        let baseline = |choose: Box<dyn Choose>| Box::new(Baseline::new(settings.clone(), choose));
        match self {
            PolicyKind::Node => Box::new(Balancer::new(settings, seed)),
            PolicyKind::Random => baseline(Box::new(Random::new(seed))),
            PolicyKind::RoundRobin => baseline(Box::<RoundRobin>::default()),
            PolicyKind::TwoChoices => baseline(Box::new(TwoChoices::new(seed))),
            PolicyKind::LeastOutstanding => baseline(Box::new(LeastOutstanding)),
            PolicyKind::RingBounded => baseline(Box::<RingBounded>::default()),
            PolicyKind::MaglevPlain => baseline(Box::<MaglevPlain>::default()),
            PolicyKind::Oracle => baseline(Box::new(Oracle)),
        }
    }
}

impl FromStr for PolicyKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if let Some(kind) = Self::ALL.into_iter().find(|kind| kind.name() == text) {
            return Ok(kind);
        }
        let names = Self::ALL.map(Self::name);
        let near = names.iter().max_by(|a, b| jaro_winkler(text, a).total_cmp(&jaro_winkler(text, b)));
        Err(format!("expected one of {}; did you mean '{}'?", names.join(", "), near.unwrap_or(&"node")))
    }
}
