//! Owns acts between agents: a holder brings the servers out to all, each time under its token; a target lets pass what
//! is not older than it has seen.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Action, Desk};
use crate::duty::{Duty, Out, Stale};
use crate::membership::Name;
use crate::Micros;

/// An act without an answer is tried again after this.
const AGAIN: Micros = 400_000;
/// Acts out at a time.
const MOST: usize = 32;

/// The servers out and the voters, brought by the holder of the maintenance duty. The same act twice is one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Act {
    /// Under which duty.
    pub duty: Duty,
    /// Under which token.
    pub token: u64,
    /// The version of what it brings: it only grows.
    pub version: u64,
    /// All servers out.
    pub out: BTreeMap<String, Out>,
    /// All voters: whom an agent without a vote asks.
    pub voters: Vec<Name>,
}

/// Acts on their way, and what was enforced here.
#[derive(Default)]
pub(super) struct Acts {
    /// By agent: its process, the version that it has, and when it was last tried.
    brought: BTreeMap<Name, (u64, u64, Option<Micros>)>,
    /// Under which token they were brought; a new one brings all anew.
    token: u64,
    here: Option<Act>,
}

impl Acts {
    pub fn ended(
        &mut self,
        now: Micros,
        to: &Name,
        version: u64,
        answer: Option<Result<(), Stale>>,
    ) {
        let Some((_, has, tried)) = self.brought.get_mut(to) else {
            return;
        };
        match answer {
            Some(Ok(())) => (*has, *tried) = ((*has).max(version), None),
            // Refused: another holds the duty by now, which the lease is about to show here.
            Some(Err(_)) | None => *tried = Some(now + AGAIN),
        }
    }

    /// The voters, as last brought here.
    pub fn voters(&self) -> &[Name] {
        self.here.as_ref().map_or(&[], |act| &act.voters)
    }

    /// The version last brought here.
    pub fn version(&self) -> u64 {
        self.here.as_ref().map_or(0, |act| act.version)
    }

    pub fn enforced(&self) -> (BTreeMap<String, Out>, u64) {
        self.here
            .as_ref()
            .map(|act| (act.out.clone(), act.version))
            .unwrap_or_default()
    }
}

impl Desk {
    /// A holder acts on this agent.
    pub(super) fn acted_on(&mut self, ask: u64, act: Act, actions: &mut Vec<Action>) {
        match self.fence.admit(act.duty, act.token) {
            Err(stale) => actions.push(Action::Refuse { ask, stale }),
            Ok(_) => {
                let newer = self
                    .acts
                    .here
                    .as_ref()
                    .is_none_or(|here| act.version >= here.version);
                if newer {
                    self.acts.here = Some(act.clone());
                }
                let act = self.acts.here.clone().unwrap_or(act);
                actions.push(Action::Enforce {
                    ask,
                    act,
                    fence: self.fence.clone(),
                });
            }
        }
    }

    /// While this agent holds the maintenance duty: every agent present gets what it lacks.
    pub(super) fn bring(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let Some(token) = self.holder.may_act(now, Duty::Maintenance) else {
            return;
        };
        if self.acts.token != token {
            (self.acts.token, self.acts.brought) = (token, BTreeMap::new());
        }
        let version = self.state.version.max(1);
        let mut out = 0;
        for member in &self.members {
            let fresh = (member.process, 0, None);
            let brought = self
                .acts
                .brought
                .entry(member.name.clone())
                .or_insert(fresh);
            if brought.0 != member.process {
                // A new process may stand beside a new node: it is told again.
                *brought = fresh;
            }
            let (has, tried) = (brought.1, brought.2);
            let lacks = has < version;
            if lacks && tried.is_none_or(|again| now >= again) && out < MOST {
                out += 1;
                brought.2 = Some(now + AGAIN);
                let act = Act {
                    duty: Duty::Maintenance,
                    token,
                    version,
                    out: self.state.out.clone(),
                    voters: self.state.voters.values().cloned().collect(),
                };
                actions.push(Action::Act {
                    to: member.name.clone(),
                    act,
                });
            }
        }
        let members = &self.members;
        self.acts
            .brought
            .retain(|name, _| members.iter().any(|member| member.name == *name));
    }
}
