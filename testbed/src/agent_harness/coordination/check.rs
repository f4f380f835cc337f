//! Checks the recorded history of a run against the invariants. All times are virtual time, which no process
//! can see.

use std::collections::BTreeMap;

use control_plane::lease::Role;
use control_plane::Micros;
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};

/// Most unanswered commands on one server for which linearizability is checked: each may have taken effect at
/// any time after it was sent, or never, and the search grows with the number of orders.
const MAX_UNANSWERED: usize = 5;
/// Most log entries by which a voter may be behind the newest one after healing.
const MAX_ENTRIES_BEHIND: u64 = 60;

/// A use of a role under its token: a moment at which a holder considered itself active, or an update that
/// took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleAction {
    /// Virtual time at which the holder considered itself active, or at which the update took effect.
    pub at: Micros,
    /// Role that was used.
    pub role: Role,
    /// Fencing token under which the role was used.
    pub token: u64,
    /// Process id of the holder; for an update that took effect, the index of its target.
    pub by: u64,
}

/// An operation on one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Cordons the server, marked with the number of the command.
    Cordon(u64),
    /// Removes the cordon.
    Uncordon,
    /// Reads the replicated state, after healing.
    Read,
}

/// An event in the life of an operator command, in order of virtual time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandEvent {
    /// The command was sent.
    Sent {
        /// Number of the command.
        call: u64,
        /// Server that the command concerns.
        server: String,
        /// The operation.
        op: Operation,
    },
    /// The command was committed: its number, and the mark of the cordon that was in place before.
    Committed(u64, Option<u64>),
    /// The command was rejected, so nothing was changed.
    Rejected(u64),
}

impl CommandEvent {
    fn answered(&self) -> Option<u64> {
        match self {
            CommandEvent::Committed(call, _) | CommandEvent::Rejected(call) => Some(*call),
            CommandEvent::Sent { .. } => None,
        }
    }
}

/// The record of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Moments at which holders considered themselves active, in order of virtual time.
    pub active: Vec<RoleAction>,
    /// Updates that took effect, in the order in which their targets applied them.
    pub accepted: Vec<RoleAction>,
    /// Updates that were rejected for their stale token.
    pub rejected: u64,
    /// Term and process id of each leader, as the leaders reported themselves.
    pub leaders: Vec<(u64, u64)>,
    /// Hash of the replicated state at each log index, as first seen.
    pub state_hashes: BTreeMap<u64, u64>,
    /// Log indexes at which another agent's state had a different hash.
    pub diverged: Vec<u64>,
    /// Operator commands and their results.
    pub command_events: Vec<CommandEvent>,
    /// Starts of voters that failed because their store or state was not sound.
    pub unsound_stores: u64,
    /// After healing, for each voter: index of its last applied entry, and number of voters in its
    /// configuration.
    pub final_logs: Vec<(u64, usize)>,
    /// After healing: whether all agents enforce the agreed cordons.
    pub cordons_enforced: bool,
    /// After healing: number of roles with an active holder, and whether a last command was committed.
    pub recovered: (usize, bool),
    /// Number of voters that the run was set up with.
    pub voters: usize,
}

impl History {
    /// Number of different grants (pairs of role and token) under which a holder was active.
    pub fn changes(&self) -> usize {
        let mut tokens: Vec<(Role, u64)> = self
            .active
            .iter()
            .map(|action| (action.role, action.token))
            .collect();
        tokens.sort_unstable();
        tokens.dedup();
        tokens.len()
    }

    /// Operator commands that were committed, and all that were sent.
    pub fn calls(&self) -> (usize, usize) {
        let count = |of: fn(&CommandEvent) -> bool| {
            self.command_events.iter().filter(|event| of(event)).count()
        };
        (
            count(|event| matches!(event, CommandEvent::Committed(..))),
            count(|event| matches!(event, CommandEvent::Sent { .. })),
        )
    }
}

/// An invariant that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Breach {
    /// A holder considered itself active after its successor had: the lease failed.
    TwoHolders(RoleAction, RoleAction),
    /// An update took effect after one with a newer token: fencing failed.
    StaleToken(RoleAction, RoleAction),
    /// Two processes were active under the same token.
    SharedToken(RoleAction, RoleAction),
    /// Two processes led the same term: the term, the first leader, the second one.
    TwoLeaders(u64, u64, u64),
    /// Agents reached different states at this log index.
    Diverged(u64),
    /// The commands on a server and their results have no linear order: a committed command was lost, one
    /// took effect twice, or a rejected one took effect.
    NotLinearizable(String),
    /// A voter could not start because its store or state was not sound: number of such starts.
    UnsoundStore(u64),
    /// After healing, a voter is missing, lags behind or has another configuration, or an agent enforces
    /// other cordons.
    NotConverged(String),
    /// After healing, a role has no holder or no operator command is committed: number of roles held, and
    /// whether one was committed.
    NotRecovered(usize, bool),
}

/// Checks all invariants and returns those that were broken.
pub fn check_history(history: &History) -> Vec<Breach> {
    let mut breaches = Vec::new();
    breaches.extend(
        stale_actions(&history.active, |action| (action.role, 0))
            .map(|(a, b)| Breach::TwoHolders(a, b)),
    );
    breaches.extend(
        stale_actions(&history.accepted, |action| (action.role, action.by))
            .map(|(a, b)| Breach::StaleToken(a, b)),
    );
    let mut by_token: BTreeMap<(Role, u64), RoleAction> = BTreeMap::new();
    for action in &history.active {
        let first = by_token
            .entry((action.role, action.token))
            .or_insert(*action);
        if first.by != action.by {
            breaches.push(Breach::SharedToken(*first, *action));
        }
    }
    let mut leaders: BTreeMap<u64, u64> = BTreeMap::new();
    for (term, by) in &history.leaders {
        let first = *leaders.entry(*term).or_insert(*by);
        if first != *by {
            breaches.push(Breach::TwoLeaders(*term, first, *by));
        }
    }
    breaches.extend(
        history
            .diverged
            .iter()
            .map(|index| Breach::Diverged(*index)),
    );
    breaches.extend(non_linearizable_servers(&history.command_events).map(Breach::NotLinearizable));
    if history.unsound_stores > 0 {
        breaches.push(Breach::UnsoundStore(history.unsound_stores));
    }
    let newest = history
        .final_logs
        .iter()
        .map(|(index, _)| *index)
        .max()
        .unwrap_or(0);
    let caught_up = |(index, votes): &(u64, usize)| {
        newest - index <= MAX_ENTRIES_BEHIND && *votes == history.voters
    };
    if !history.final_logs.iter().all(caught_up)
        || history.final_logs.len() != history.voters
        || !history.cordons_enforced
    {
        breaches.push(Breach::NotConverged(format!(
            "{:?}, cordons_enforced: {}",
            history.final_logs, history.cordons_enforced
        )));
    }
    if history.recovered != (Role::ALL.len(), true) {
        breaches.push(Breach::NotRecovered(
            history.recovered.0,
            history.recovered.1,
        ));
    }
    breaches
}

/// Finds actions whose token is older than that of an earlier action with the same key. Returns pairs: the
/// action with the older token, and the earlier action with the newest one.
fn stale_actions<K: Ord>(
    actions: &[RoleAction],
    key: impl Fn(&RoleAction) -> K,
) -> impl Iterator<Item = (RoleAction, RoleAction)> {
    let mut newest: BTreeMap<K, RoleAction> = BTreeMap::new();
    let mut found = Vec::new();
    for action in actions {
        let newer = newest.entry(key(action)).or_insert(*action);
        if action.token < newer.token {
            found.push((*action, *newer));
        } else {
            *newer = *action;
        }
    }
    found.into_iter()
}

/// Sequential specification of one server: cordoned with a mark, or not. Each operation returns the previous
/// value.
#[derive(Clone, Debug, Default)]
struct ServerSpec(Option<u64>);

impl SequentialSpec for ServerSpec {
    type Op = Operation;
    type Ret = Option<u64>;

    fn invoke(&mut self, op: &Operation) -> Option<u64> {
        match op {
            Operation::Cordon(mark) => self.0.replace(*mark),
            Operation::Uncordon => self.0.take(),
            Operation::Read => self.0,
        }
    }
}

/// Servers whose commands have no linear order that explains all results.
fn non_linearizable_servers(command_events: &[CommandEvent]) -> impl Iterator<Item = String> + '_ {
    let rejected = |call: u64| command_events.contains(&CommandEvent::Rejected(call));
    let mut by_server: BTreeMap<&String, LinearizabilityTester<u64, ServerSpec>> = BTreeMap::new();
    let mut server_of: BTreeMap<u64, &String> = BTreeMap::new();
    for event in command_events {
        match event {
            CommandEvent::Sent { call, server, op } if !rejected(*call) => {
                server_of.insert(*call, server);
                let tester = by_server
                    .entry(server)
                    .or_insert_with(|| LinearizabilityTester::new(ServerSpec::default()));
                tester
                    .on_invoke(*call, *op)
                    .expect("each call is asked once");
            }
            CommandEvent::Committed(call, before) => {
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
    let answered: std::collections::BTreeSet<u64> = command_events
        .iter()
        .filter_map(CommandEvent::answered)
        .collect();
    let open = |server: &str| {
        server_of
            .iter()
            .filter(|(c, s)| s.as_str() == server && !answered.contains(c))
            .count()
    };
    let few = by_server
        .into_iter()
        .filter(|(server, _)| open(server) <= MAX_UNANSWERED);
    let broken = few.filter(|(_, tester)| !tester.is_consistent());
    broken
        .map(|(server, tester)| format!("{server}: {tester:?}"))
        .collect::<Vec<_>>()
        .into_iter()
}
