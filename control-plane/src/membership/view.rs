//! Owns the agent's picture of the fleet: each member's presence, since when, and what it says of itself; and
//! one number for all of it. It takes SWIM's word and the records, and tells what changed.

use std::collections::BTreeMap;
use std::rc::Rc;

use foca::State;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::board::Board;
use super::{Difference, Identity, Name, NodeState, Record};
use crate::Micros;

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Presence {
    /// It answers.
    Alive,
    /// Some did not get its answer; it has time to refute.
    Suspect,
    /// It did not refute.
    Failed,
    /// It said that it goes.
    Left,
}

impl Presence {
    /// Alive, or suspect and not given up.
    pub fn is_present(self) -> bool {
        matches!(self, Presence::Alive | Presence::Suspect)
    }

    /// The word of reports.
    pub fn word(self) -> &'static str {
        match self {
            Presence::Alive => "alive",
            Presence::Suspect => "suspect",
            Presence::Failed => "failed",
            Presence::Left => "left",
        }
    }
}

/// A member, as this agent sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Which life.
    pub identity: Identity,
    /// Its refutations in this life.
    pub incarnation: u16,
    /// How it stands.
    pub presence: Presence,
    /// Since when.
    pub since: Micros,
    /// What it says of itself: the last words of one that failed.
    pub record: Option<Rc<Record>>,
    /// The refresh that saw it last.
    round: u64,
}

impl Entry {
    fn node(&self) -> Option<NodeState> {
        self.record.as_ref().map(|record| record.node)
    }

    fn line(&self) -> String {
        let node = self.node().map_or("unknown", NodeState::word);
        let presence = if self.presence.is_present() {
            "present"
        } else {
            self.presence.word()
        };
        format!(
            "{presence}, node {node}, generation {}",
            self.identity.generation
        )
    }
}

/// What changed, for logs and figures.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A member's presence, or its life.
    Member {
        /// Who.
        name: Name,
        /// From what; `None` for one not seen before.
        from: Option<Presence>,
        /// To what.
        to: Presence,
        /// Its generation.
        generation: u64,
        /// Its last words.
        words: String,
    },
    /// A member's node.
    Node {
        /// Whose.
        name: Name,
        /// What it does now.
        to: NodeState,
    },
    /// A member that failed or left was held for its time.
    Forgotten(Name),
    /// This process did not run for a while.
    Paused(Micros),
    /// This agent was called failed by others and came back under a new generation.
    Rejoined(u64),
    /// Joined a fleet through a seed.
    Joined {
        /// Members known then.
        members: usize,
    },
    /// No seed answered; goes on trying.
    Alone,
    /// Another process of this name was refused: this one is older.
    RivalRefused(Box<Record>),
    /// A member's view differs and stays so.
    Differs(Name, Vec<Difference>),
}

/// The picture.
#[derive(Clone, Debug, Default)]
pub struct View {
    entries: BTreeMap<Name, Entry>,
    digest: u64,
    round: u64,
}

impl View {
    /// All members, this agent among them, by name.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// One of them.
    pub fn get(&self, name: &Name) -> Option<&Entry> {
        self.entries.get(name)
    }

    /// Those that are alive or suspect.
    pub fn present(&self) -> impl Iterator<Item = &Entry> {
        self.entries
            .values()
            .filter(|entry| entry.presence.is_present())
    }

    /// Whether a name is among them.
    pub fn has(&self, name: &Name) -> bool {
        self.entries
            .get(name)
            .is_some_and(|entry| entry.presence.is_present())
    }

    /// Name, generation and node state of all present members in one number, in no order.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Takes over SWIM's state. `rows` holds every member that it remembers, and this agent itself.
    pub fn refresh(
        &mut self,
        now: Micros,
        rows: impl Iterator<Item = (Identity, u16, State)>,
        board: &Board,
        changes: &mut Vec<Change>,
    ) {
        self.round += 1;
        let (mut seen, mut hashed) = (0, false);
        for (identity, incarnation, state) in rows {
            seen += 1;
            let record = board.record(&identity);
            let left = record.as_ref().is_some_and(|record| record.left);
            let presence = match state {
                _ if left => Presence::Left,
                State::Alive => Presence::Alive,
                State::Suspect => Presence::Suspect,
                State::Down => Presence::Failed,
            };
            let old = self.entries.get(&identity.name);
            let (from, node_before) = (old.map(|old| old.presence), old.and_then(Entry::node));
            let same_life = old.is_some_and(|old| {
                old.identity.generation == identity.generation
                    && old.identity.process == identity.process
            });
            let since = old
                .filter(|_| same_life && from == Some(presence))
                .map(|old| old.since);
            if since.is_none() {
                let words = record.as_deref().map(last_words).unwrap_or_default();
                let (name, generation) = (identity.name.clone(), identity.generation);
                changes.push(Change::Member {
                    name,
                    from,
                    to: presence,
                    generation,
                    words,
                });
            }
            let node = record.as_ref().map(|record| record.node);
            if let Some(to) = node.filter(|_| node != node_before && presence.is_present()) {
                changes.push(Change::Node {
                    name: identity.name.clone(),
                    to,
                });
            }
            hashed |= since.is_none() || node != node_before;
            let (name, round) = (identity.name.clone(), self.round);
            let since = since.unwrap_or(now);
            self.entries.insert(
                name,
                Entry {
                    identity,
                    incarnation,
                    presence,
                    since,
                    record,
                    round,
                },
            );
        }
        if seen < self.entries.len() {
            let round = self.round;
            self.entries.retain(|name, entry| {
                let stays = entry.round == round;
                if !stays {
                    changes.push(Change::Forgotten(name.clone()));
                }
                stays
            });
        }
        if hashed {
            self.digest = self.present().map(hash).fold(0, |all, one| all ^ one);
        }
    }

    /// Where another's members differ from these, the first few by name.
    pub fn differences(&self, theirs: &View, most: usize) -> Vec<Difference> {
        let names: std::collections::BTreeSet<&Name> =
            self.entries.keys().chain(theirs.entries.keys()).collect();
        let gone = |entry: Option<&Entry>| entry.is_none_or(|entry| !entry.presence.is_present());
        let differ = names.into_iter().filter_map(|name| {
            let (here, there) = (self.entries.get(name), theirs.entries.get(name));
            let same = match (here, there) {
                (Some(a), Some(b)) if !gone(here) && !gone(there) => hash(a) == hash(b),
                _ => gone(here) && gone(there),
            };
            let line = |entry: Option<&Entry>| entry.map_or("unknown".to_owned(), Entry::line);
            (!same).then(|| Difference {
                name: name.clone(),
                here: line(here),
                there: line(there),
            })
        });
        differ.take(most).collect()
    }
}

fn hash(entry: &Entry) -> u64 {
    let key = (
        &entry.identity.name,
        entry.identity.generation,
        entry.node(),
    );
    xxh3_64(&postcard::to_stdvec(&key).unwrap_or_default())
}

fn last_words(record: &Record) -> String {
    let note = if record.note.is_empty() {
        String::new()
    } else {
        format!("; {}", record.note)
    };
    format!("node {}{note}", record.node.word())
}
