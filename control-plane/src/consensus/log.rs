//! Owns the log in memory as Raft reads it, and the form in which it is kept. What is kept when, the voter decides;
//! how, the store.

use std::cell::RefCell;
use std::rc::Rc;

use protobuf::Message as _;
use raft::eraftpb::{
    ConfChange, ConfChangeType, ConfState, Entry, EntryType, HardState, Snapshot, SnapshotMetadata,
};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};

use super::VoterId;

/// Who votes, and who only follows the log until it has caught up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conf {
    /// Voters.
    pub voters: Vec<VoterId>,
    /// Learners: they are no part of a majority.
    pub learners: Vec<VoterId>,
}

/// A change of who votes. One at a time: the crate refuses a second before the first is applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// What becomes of it.
    pub to: Role,
    /// Which voter.
    pub id: VoterId,
    /// What the caller wants to know it by.
    pub context: Vec<u8>,
}

/// A voter's part in the agreed log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Follows and has no vote yet.
    Learner,
    /// Votes.
    Voter,
    /// None any more.
    Gone,
}

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// A command; empty for the first entry of a leader.
    Command(Vec<u8>),
    /// A change of who votes.
    Change(Change),
}

impl Content {
    pub(super) fn len(&self) -> usize {
        match self {
            Content::Command(data) => data.len(),
            Content::Change(change) => change.context.len() + 16,
        }
    }
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Its place, from 1.
    pub index: u64,
    /// The term in which it was proposed.
    pub term: u64,
    /// What it holds.
    pub content: Content,
}

/// What a voter must never forget: forgetting its vote would let it vote twice in one term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hard {
    /// The newest term that it has seen.
    pub term: u64,
    /// Whom it voted for in that term; 0 for nobody.
    pub vote: u64,
    /// The last entry that it knows to be agreed.
    pub commit: u64,
}

/// The state at an entry, in place of all entries up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotKept {
    /// The last entry that it holds.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// Who voted then.
    pub conf: Conf,
    /// The state.
    pub data: Vec<u8>,
}

/// All that a voter keeps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// Term and vote.
    pub hard: Hard,
    /// The state up to the first entry.
    pub snapshot: SnapshotKept,
    /// The entries after it, in order.
    pub entries: Vec<Item>,
}

/// What is to be kept next, all of it or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Save {
    /// Where it changed.
    pub hard: Option<Hard>,
    /// Takes the place of all entries up to it, and of what follows.
    pub snapshot: Option<SnapshotKept>,
    /// Take the place of all from the first of them on.
    pub entries: Vec<Item>,
}

impl Save {
    /// Whether there is nothing to keep.
    pub fn is_empty(&self) -> bool {
        self.hard.is_none() && self.snapshot.is_none() && self.entries.is_empty()
    }
}

impl Kept {
    /// What each of a fleet's first voters begins with: the same first entry, as if all had agreed on it. One that joins
    /// later begins with nothing ([`Kept::default`]) and gets all of it from the leader.
    pub fn founded(voters: Vec<VoterId>, data: Vec<u8>) -> Kept {
        let conf = Conf {
            voters,
            learners: Vec::new(),
        };
        let snapshot = SnapshotKept {
            index: 1,
            term: 1,
            conf,
            data,
        };
        Kept {
            hard: Hard {
                term: 1,
                vote: 0,
                commit: 1,
            },
            snapshot,
            entries: Vec::new(),
        }
    }

    /// Takes over what was to be kept.
    pub fn take(&mut self, save: &Save) {
        if let Some(hard) = save.hard {
            self.hard = hard;
        }
        if let Some(snapshot) = &save.snapshot {
            self.entries.retain(|entry| entry.index > snapshot.index);
            if self
                .entries
                .first()
                .is_some_and(|first| first.index != snapshot.index + 1)
            {
                self.entries.clear();
            }
            self.snapshot = snapshot.clone();
        }
        if let Some(first) = save.entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
            self.entries.extend(save.entries.iter().cloned());
        }
    }

    /// Whether a voter can go on from this: the crate panics where it can't.
    pub fn is_sound(&self) -> bool {
        let follows =
            |(entry, nth): (&Item, u64)| self.snapshot.index.checked_add(nth) == Some(entry.index);
        let terms = self
            .entries
            .windows(2)
            .all(|two| two[0].term <= two[1].term);
        let commit = self.hard.commit;
        self.entries.iter().zip(1..).all(follows)
            && terms
            && self
                .entries
                .last()
                .is_none_or(|last| last.term <= self.hard.term)
            && (self.snapshot.index..=self.last()).contains(&commit.max(self.snapshot.index))
    }

    /// The last entry's place; 0 for none.
    pub fn last(&self) -> u64 {
        self.entries
            .last()
            .map_or(self.snapshot.index, |entry| entry.index)
    }
}

/// The log as Raft reads it; clones are the same one.
#[derive(Clone, Debug)]
pub(super) struct Log {
    kept: Rc<RefCell<Kept>>,
}

impl Log {
    pub fn new(kept: Kept) -> Log {
        Log {
            kept: Rc::new(RefCell::new(kept)),
        }
    }

    pub fn take(&self, save: &Save) {
        self.kept.borrow_mut().take(save);
    }

    pub fn last(&self) -> u64 {
        self.kept.borrow().last()
    }

    /// The state up to `index`, with who voted then, stands in for the entries.
    pub fn compact(&self, index: u64, conf: Conf, data: Vec<u8>) -> Option<SnapshotKept> {
        let term = self.term(index).ok()?;
        let snapshot = SnapshotKept {
            index,
            term,
            conf,
            data,
        };
        self.take(&Save {
            snapshot: Some(snapshot.clone()),
            ..Save::default()
        });
        Some(snapshot)
    }
}

fn conf_state(conf: &Conf) -> ConfState {
    ConfState {
        voters: conf.voters.clone(),
        learners: conf.learners.clone(),
        ..ConfState::default()
    }
}

pub(super) fn of_conf(state: &ConfState) -> Conf {
    Conf {
        voters: state.voters.clone(),
        learners: state.learners.clone(),
    }
}

/// The crate's own form of a change. Its decoder only ever reads what was written here.
pub(super) fn to_change(change: &Change) -> ConfChange {
    let kind = match change.to {
        Role::Learner => ConfChangeType::AddLearnerNode,
        Role::Voter => ConfChangeType::AddNode,
        Role::Gone => ConfChangeType::RemoveNode,
    };
    ConfChange {
        change_type: kind,
        node_id: change.id,
        context: change.context.clone().into(),
        ..ConfChange::default()
    }
}

fn of_change(data: &[u8]) -> Option<Change> {
    let change = ConfChange::parse_from_bytes(data).ok()?;
    let to = match change.change_type {
        ConfChangeType::AddLearnerNode => Role::Learner,
        ConfChangeType::AddNode => Role::Voter,
        ConfChangeType::RemoveNode => Role::Gone,
    };
    Some(Change {
        to,
        id: change.node_id,
        context: change.context.to_vec(),
    })
}

pub(super) fn to_entry(item: &Item) -> Entry {
    let (entry_type, data) = match &item.content {
        Content::Command(data) => (EntryType::EntryNormal, data.clone()),
        Content::Change(change) => (
            EntryType::EntryConfChange,
            to_change(change).write_to_bytes().unwrap_or_default(),
        ),
    };
    Entry {
        entry_type,
        index: item.index,
        term: item.term,
        data: data.into(),
        ..Entry::default()
    }
}

pub(super) fn of_entry(entry: &Entry) -> Item {
    let content = match entry.entry_type {
        // Encoded by this process, from a plain form: it reads back.
        EntryType::EntryConfChange => of_change(&entry.data).map(Content::Change),
        _ => None,
    };
    let content = content.unwrap_or_else(|| Content::Command(entry.data.to_vec()));
    Item {
        index: entry.index,
        term: entry.term,
        content,
    }
}

pub(super) fn to_snapshot(kept: &SnapshotKept) -> Snapshot {
    let mut metadata = SnapshotMetadata {
        index: kept.index,
        term: kept.term,
        ..SnapshotMetadata::default()
    };
    metadata.set_conf_state(conf_state(&kept.conf));
    let mut snapshot = Snapshot {
        data: kept.data.clone().into(),
        ..Snapshot::default()
    };
    snapshot.set_metadata(metadata);
    snapshot
}

pub(super) fn of_snapshot(snapshot: &Snapshot) -> SnapshotKept {
    let metadata = snapshot.get_metadata();
    SnapshotKept {
        index: metadata.index,
        term: metadata.term,
        conf: of_conf(metadata.get_conf_state()),
        data: snapshot.data.to_vec(),
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let Hard { term, vote, commit } = self.kept.borrow().hard;
        let hard_state = HardState {
            term,
            vote,
            commit,
            ..HardState::default()
        };
        Ok(RaftState {
            hard_state,
            conf_state: conf_state(&self.kept.borrow().snapshot.conf),
        })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low < self.first_index()? {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        let kept = self.kept.borrow();
        let asked = kept
            .entries
            .iter()
            .filter(|entry| (low..high).contains(&entry.index));
        let (most, mut size) = (max_size.into().unwrap_or(u64::MAX), 0);
        let mut entries = Vec::new();
        for item in asked {
            size += item.content.len() as u64 + 24;
            // One is always given, or an entry over the bound would stand in the way for ever.
            if size > most && !entries.is_empty() {
                break;
            }
            entries.push(to_entry(item));
        }
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        let kept = self.kept.borrow();
        if index == kept.snapshot.index {
            return Ok(kept.snapshot.term);
        }
        if index < kept.snapshot.index {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        let place = (index - kept.snapshot.index - 1) as usize;
        kept.entries
            .get(place)
            .map(|entry| entry.term)
            .ok_or(raft::Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.kept.borrow().snapshot.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        let kept = self.kept.borrow();
        if kept.snapshot.index < request_index {
            return Err(raft::Error::Store(
                StorageError::SnapshotTemporarilyUnavailable,
            ));
        }
        Ok(to_snapshot(&kept.snapshot))
    }
}
