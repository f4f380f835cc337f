//! Owns what must hold of a play, by its history alone. Times are the world's: no process knew them.

use std::collections::BTreeMap;

use woodgap_fleet::duty::{CommandId, Duty, State};
use woodgap_fleet::Micros;

/// An act, from when its holder decided on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Act {
    /// When its holder was sure that it holds the duty.
    pub decided: Micros,
    /// Which duty.
    pub duty: Duty,
    /// Under which token.
    pub token: u64,
    /// By which voter.
    pub by: usize,
}

/// A call of staff.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Its command.
    pub id: CommandId,
    /// When it was answered with yes.
    pub answered: Option<Micros>,
}

/// All that happened.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Acts that holders decided on, in the order of the world's time.
    pub decided: Vec<Act>,
    /// Acts that took effect, in the order of their target.
    pub accepted: Vec<Act>,
    /// Acts that the fence refused.
    pub refused: u64,
    /// Who led which term, as each leader said itself.
    pub led: Vec<(u64, usize)>,
    /// Entries applied: by place, what, as first seen.
    pub applied: BTreeMap<u64, Vec<u8>>,
    /// A place whose entry was another at another voter.
    pub forked: Vec<u64>,
    /// Staff's calls.
    pub calls: Vec<Call>,
    /// The agreed state of each voter at the end.
    pub ends: Vec<State>,
    /// Commands that took effect, in the log's order.
    pub effects: Vec<CommandId>,
    /// After healing: the duties that had a holder who could act, and whether a last call was answered.
    pub healthy: (usize, bool),
}

impl History {
    /// Changes of hands that were acted on.
    pub fn changes(&self) -> usize {
        let mut tokens: Vec<(Duty, u64)> = self.accepted.iter().map(|act| (act.duty, act.token)).collect();
        tokens.sort_unstable();
        tokens.dedup();
        tokens.len()
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
    TwoLeaders(u64, usize, usize),
    /// Voters applied different entries at one place.
    Forked(u64),
    /// A command that was answered with yes has no effect in the end.
    Lost(CommandId),
    /// A command took effect twice.
    Twice(CommandId),
    /// After all was healed the voters did not come to the same.
    Apart,
    /// After all was healed duties had no holder, or staff no answer.
    Stuck,
}

/// All that broke in a history.
pub fn judge(history: &History) -> Vec<Breach> {
    let mut breaches = Vec::new();
    breaches.extend(backwards(&history.decided).map(|(older, newer)| Breach::TwoHolders(older, newer)));
    breaches.extend(backwards(&history.accepted).map(|(older, newer)| Breach::OldToken(older, newer)));
    let mut by_token: BTreeMap<(Duty, u64), Act> = BTreeMap::new();
    for act in &history.decided {
        let first = by_token.entry((act.duty, act.token)).or_insert(*act);
        if first.by != act.by {
            breaches.push(Breach::SharedToken(*first, *act));
        }
    }
    let mut leaders: BTreeMap<u64, usize> = BTreeMap::new();
    for (term, by) in &history.led {
        let first = *leaders.entry(*term).or_insert(*by);
        if first != *by {
            breaches.push(Breach::TwoLeaders(*term, first, *by));
        }
    }
    breaches.extend(history.forked.iter().map(|index| Breach::Forked(*index)));
    let mut effects = history.effects.clone();
    effects.sort_unstable();
    breaches.extend(effects.windows(2).filter(|two| two[0] == two[1]).map(|two| Breach::Twice(two[0])));
    let lost = |call: &&Call| call.answered.is_some() && effects.binary_search(&call.id).is_err();
    breaches.extend(history.calls.iter().filter(lost).map(|call| Breach::Lost(call.id)));
    let same = |two: &[State]| {
        (two[0].index, &two[0].held, &two[0].out) == (two[1].index, &two[1].held, &two[1].out)
    };
    if !history.ends.windows(2).all(same) {
        breaches.push(Breach::Apart);
    }
    if history.healthy != (woodgap_fleet::duty::DUTIES.len(), true) {
        breaches.push(Breach::Stuck);
    }
    breaches
}

/// Acts under a token older than one that came before them, with that one.
fn backwards(acts: &[Act]) -> impl Iterator<Item = (Act, Act)> + '_ {
    let mut newest: BTreeMap<Duty, Act> = BTreeMap::new();
    acts.iter().filter_map(move |act| {
        let newer = newest.entry(act.duty).or_insert(*act);
        if act.token < newer.token {
            return Some((*act, *newer));
        }
        *newer = *act;
        None
    })
}
