//! Owns the log in memory as Raft reads it, and the form in which it is kept. What is kept when, the voter decides;
//! how, the store.

use std::cell::RefCell;
use std::rc::Rc;

use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Snapshot, SnapshotMetadata};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Its place, from 1.
    pub index: u64,
    /// The term in which it was proposed.
    pub term: u64,
    /// The command; empty for the first entry of a leader.
    pub data: Vec<u8>,
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
    /// Takes over what was to be kept.
    pub fn take(&mut self, save: &Save) {
        if let Some(hard) = save.hard {
            self.hard = hard;
        }
        if let Some(snapshot) = &save.snapshot {
            self.entries.retain(|entry| entry.index > snapshot.index);
            if self.entries.first().is_some_and(|first| first.index != snapshot.index + 1) {
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
        let follows = |(entry, nth): (&Item, u64)| self.snapshot.index.checked_add(nth) == Some(entry.index);
        let terms = self.entries.windows(2).all(|two| two[0].term <= two[1].term);
        let commit = self.hard.commit;
        self.entries.iter().zip(1..).all(follows)
            && terms
            && self.entries.last().is_none_or(|last| last.term <= self.hard.term)
            && (self.snapshot.index..=self.last()).contains(&commit.max(self.snapshot.index))
    }

    /// The last entry's place; 0 for none.
    pub fn last(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.index, |entry| entry.index)
    }
}

/// The log as Raft reads it; clones are the same one.
#[derive(Clone, Debug)]
pub(super) struct Log {
    kept: Rc<RefCell<Kept>>,
    voters: Vec<u64>,
}

impl Log {
    pub fn new(kept: Kept, voters: Vec<u64>) -> Log {
        Log { kept: Rc::new(RefCell::new(kept)), voters }
    }

    pub fn take(&self, save: &Save) {
        self.kept.borrow_mut().take(save);
    }

    pub fn last(&self) -> u64 {
        self.kept.borrow().last()
    }

    /// The state up to `index` stands in for the entries.
    pub fn compact(&self, index: u64, data: Vec<u8>) -> Option<SnapshotKept> {
        let term = self.term(index).ok()?;
        let snapshot = SnapshotKept { index, term, data };
        self.take(&Save { snapshot: Some(snapshot.clone()), ..Save::default() });
        Some(snapshot)
    }

    fn conf(&self) -> ConfState {
        ConfState { voters: self.voters.clone(), ..ConfState::default() }
    }
}

pub(super) fn to_entry(item: &Item) -> Entry {
    Entry {
        entry_type: EntryType::EntryNormal,
        index: item.index,
        term: item.term,
        data: item.data.clone().into(),
        ..Entry::default()
    }
}

pub(super) fn of_entry(entry: &Entry) -> Item {
    Item { index: entry.index, term: entry.term, data: entry.data.to_vec() }
}

pub(super) fn to_snapshot(kept: &SnapshotKept, voters: &[u64]) -> Snapshot {
    let conf = ConfState { voters: voters.to_vec(), ..ConfState::default() };
    let mut metadata = SnapshotMetadata { index: kept.index, term: kept.term, ..SnapshotMetadata::default() };
    metadata.set_conf_state(conf);
    let mut snapshot = Snapshot { data: kept.data.clone().into(), ..Snapshot::default() };
    snapshot.set_metadata(metadata);
    snapshot
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let Hard { term, vote, commit } = self.kept.borrow().hard;
        let hard_state = HardState { term, vote, commit, ..HardState::default() };
        Ok(RaftState { hard_state, conf_state: self.conf() })
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
        let asked = kept.entries.iter().filter(|entry| (low..high).contains(&entry.index));
        let (most, mut size) = (max_size.into().unwrap_or(u64::MAX), 0);
        let mut entries = Vec::new();
        for item in asked {
            size += item.data.len() as u64 + 24;
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
        kept.entries.get(place).map(|entry| entry.term).ok_or(raft::Error::Store(StorageError::Unavailable))
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
            return Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(to_snapshot(&kept.snapshot, &self.voters))
    }
}
