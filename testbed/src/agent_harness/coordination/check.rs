//! Owns what must hold of a play, by its history alone. Times are the world's: no process knew them.

use std::collections::BTreeMap;

use control_plane::lease::Role;
use control_plane::Micros;
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};

/// Calls on a server without an answer, at most, for its order to be looked for: each may have taken effect at any time
/// after it was asked, or never, and the search grows with their orders.
const OPEN: usize = 5;
/// Entries that a voter may lack of the others' after healing.
const KEEPS_UP: u64 = 60;

/// An act, from when its holder decided on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Act {
    /// When its holder was sure that it holds the duty; of one that took effect, when it did.
    pub at: Micros,
    /// Which duty.
    pub duty: Role,
    /// Under which token.
    pub token: u64,
    /// By which process of which seat; of one that took effect, at which seat.
    pub by: u64,
}

/// What staff asked of a server: out, marked by a number of the call's own; back; or how it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// Out, with this mark.
    Out(u64),
    /// Back.
    Back,
    /// What the agreed state holds, after healing.
    Read,
}

/// Something that happened to a call, in the order of the world's time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Staff asked.
    Asked {
        /// Which call.
        call: u64,
        /// Of which server.
        server: String,
        /// What.
        op: Op,
    },
    /// It was answered with yes, and how the server had been out before.
    Done(u64, Option<u64>),
    /// It was answered with no: nothing was changed.
    Refused(u64),
}

impl Step {
    fn answered(&self) -> Option<u64> {
        match self {
            Step::Done(call, _) | Step::Refused(call) => Some(*call),
            Step::Asked { .. } => None,
        }
    }
}

/// All that happened.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Moments at which holders were sure of a duty, in the order of the world's time.
    pub decided: Vec<Act>,
    /// Acts that took effect, in the order of their targets.
    pub accepted: Vec<Act>,
    /// Acts that a fence refused.
    pub refused: u64,
    /// Who led which term, as each leader said itself.
    pub led: Vec<(u64, u64)>,
    /// The agreed state at each entry, as a hash, as first seen.
    pub states: BTreeMap<u64, u64>,
    /// An entry at which another voter's state was another.
    pub forked: Vec<u64>,
    /// Staff's calls.
    pub steps: Vec<Step>,
    /// Votes that were lost for want of a sound store or state.
    pub unsound: u64,
    /// After healing, of each voter: the last entry, and how many vote.
    pub ends: Vec<(u64, usize)>,
    /// After healing, whether all agents had the servers out that are agreed on.
    pub brought: bool,
    /// After healing: the duties that had a holder who could act, and whether a last call was answered.
    pub healthy: (usize, bool),
    /// Voters that there should be.
    pub voters: usize,
}

impl History {
    /// Changes of hands after which somebody was sure of a duty.
    pub fn changes(&self) -> usize {
        let mut tokens: Vec<(Role, u64)> = self
            .decided
            .iter()
            .map(|act| (act.duty, act.token))
            .collect();
        tokens.sort_unstable();
        tokens.dedup();
        tokens.len()
    }

    /// Calls that got a yes, of all.
    pub fn calls(&self) -> (usize, usize) {
        let count = |of: fn(&Step) -> bool| self.steps.iter().filter(|step| of(step)).count();
        (
            count(|step| matches!(step, Step::Done(..))),
            count(|step| matches!(step, Step::Asked { .. })),
        )
    }
}

/// What broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Breach {
    /// A holder was sure of its duty after the next one had been: the lease failed.
    TwoHolders(Act, Act),
    /// An act took effect after one of a newer token: the fence failed.
    OldToken(Act, Act),
    /// Two processes acted under one token.
    SharedToken(Act, Act),
    /// Two led one term.
    TwoLeaders(u64, u64, u64),
    /// Voters came to different states at one entry.
    Forked(u64),
    /// Staff's calls on a server and their answers can't have happened one after the other: a yes was lost, something took
    /// effect twice, or after a no.
    NotLinear(String),
    /// A voter's own store was not sound.
    Unsound(u64),
    /// After all was healed a voter lacks entries or a vote, or an agent has other servers out.
    Apart(String),
    /// After all was healed duties had no holder, or staff no answer.
    Stuck(usize, bool),
}

/// All that broke in a history.
pub fn judge(history: &History) -> Vec<Breach> {
    let mut breaches = Vec::new();
    breaches.extend(
        backwards(&history.decided, |act| (act.duty, 0)).map(|(a, b)| Breach::TwoHolders(a, b)),
    );
    breaches.extend(
        backwards(&history.accepted, |act| (act.duty, act.by)).map(|(a, b)| Breach::OldToken(a, b)),
    );
    let mut by_token: BTreeMap<(Role, u64), Act> = BTreeMap::new();
    for act in &history.decided {
        let first = by_token.entry((act.duty, act.token)).or_insert(*act);
        if first.by != act.by {
            breaches.push(Breach::SharedToken(*first, *act));
        }
    }
    let mut leaders: BTreeMap<u64, u64> = BTreeMap::new();
    for (term, by) in &history.led {
        let first = *leaders.entry(*term).or_insert(*by);
        if first != *by {
            breaches.push(Breach::TwoLeaders(*term, first, *by));
        }
    }
    breaches.extend(history.forked.iter().map(|index| Breach::Forked(*index)));
    breaches.extend(not_linear(&history.steps).map(Breach::NotLinear));
    if history.unsound > 0 {
        breaches.push(Breach::Unsound(history.unsound));
    }
    let newest = history
        .ends
        .iter()
        .map(|(index, _)| *index)
        .max()
        .unwrap_or(0);
    let whole =
        |(index, votes): &(u64, usize)| newest - index <= KEEPS_UP && *votes == history.voters;
    if !history.ends.iter().all(whole) || history.ends.len() != history.voters || !history.brought {
        breaches.push(Breach::Apart(format!(
            "{:?}, brought: {}",
            history.ends, history.brought
        )));
    }
    if history.healthy != (Role::ALL.len(), true) {
        breaches.push(Breach::Stuck(history.healthy.0, history.healthy.1));
    }
    breaches
}

/// Acts under a token older than one that came before them at the same place, with that one.
fn backwards<K: Ord>(acts: &[Act], place: impl Fn(&Act) -> K) -> impl Iterator<Item = (Act, Act)> {
    let mut newest: BTreeMap<K, Act> = BTreeMap::new();
    let mut found = Vec::new();
    for act in acts {
        let newer = newest.entry(place(act)).or_insert(*act);
        if act.token < newer.token {
            found.push((*act, *newer));
        } else {
            *newer = *act;
        }
    }
    found.into_iter()
}

/// A server by the rules: in or out, and each change tells how it was before.
#[derive(Clone, Debug, Default)]
struct Server(Option<u64>);

impl SequentialSpec for Server {
    type Op = Op;
    type Ret = Option<u64>;

    fn invoke(&mut self, op: &Op) -> Option<u64> {
        match op {
            Op::Out(mark) => self.0.replace(*mark),
            Op::Back => self.0.take(),
            Op::Read => self.0,
        }
    }
}

/// Servers whose calls have no order that explains all answers.
fn not_linear(steps: &[Step]) -> impl Iterator<Item = String> + '_ {
    let refused = |call: u64| steps.contains(&Step::Refused(call));
    let mut by_server: BTreeMap<&String, LinearizabilityTester<u64, Server>> = BTreeMap::new();
    let mut server_of: BTreeMap<u64, &String> = BTreeMap::new();
    for step in steps {
        match step {
            Step::Asked { call, server, op } if !refused(*call) => {
                server_of.insert(*call, server);
                let tester = by_server
                    .entry(server)
                    .or_insert_with(|| LinearizabilityTester::new(Server::default()));
                tester
                    .on_invoke(*call, *op)
                    .expect("each call is asked once");
            }
            Step::Done(call, before) => {
                let tester = server_of
                    .get(call)
                    .and_then(|server| by_server.get_mut(server));
                let tester = tester.expect("an answer follows its call");
                tester
                    .on_return(*call, *before)
                    .expect("each call is answered once");
            }
            _ => {}
        }
    }
    let answered: std::collections::BTreeSet<u64> =
        steps.iter().filter_map(Step::answered).collect();
    let open = |server: &str| {
        server_of
            .iter()
            .filter(|(c, s)| s.as_str() == server && !answered.contains(c))
            .count()
    };
    let few = by_server
        .into_iter()
        .filter(|(server, _)| open(server) <= OPEN);
    let broken = few.filter(|(_, tester)| !tester.is_consistent());
    broken
        .map(|(server, tester)| format!("{server}: {tester:?}"))
        .collect::<Vec<_>>()
        .into_iter()
}
