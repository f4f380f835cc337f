//! The persistent state of a voter, and the batches in which it is written.

use serde::{Deserialize, Serialize};

use super::{HardState, LogEntry, LogSnapshot, VoterConfiguration, VoterId};

/// The persistent state of a voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedState {
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// The snapshot that precedes `entries`; its index is 0 if there is none.
    pub snapshot: LogSnapshot,
    /// The entries after the snapshot, in order.
    pub entries: Vec<LogEntry>,
}

/// Changes of the persistent state that are written atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteBatch {
    /// The new hard state, if it changed.
    pub hard_state: Option<HardState>,
    /// A new snapshot, which replaces all entries up to its index.
    pub snapshot: Option<LogSnapshot>,
    /// New entries, which replace all existing entries from the index of the first new one on.
    pub entries: Vec<LogEntry>,
}

impl WriteBatch {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.snapshot.is_none() && self.entries.is_empty()
    }
}

impl PersistedState {
    /// The initial state of each founding voter: the same snapshot at index 1, as if all had committed the first entry.
    /// A voter that joins later starts with [`PersistedState::default`] and receives the log from the leader.
    pub fn bootstrap(voters: Vec<VoterId>, data: Vec<u8>) -> PersistedState {
        let configuration = VoterConfiguration {
            voters,
            learners: Vec::new(),
        };
        PersistedState {
            hard_state: HardState {
                term: 1,
                vote: 0,
                commit: 1,
            },
            snapshot: LogSnapshot {
                index: 1,
                term: 1,
                configuration,
                data,
            },
            entries: Vec::new(),
        }
    }

    /// Applies a batch to this copy of the state.
    pub fn apply(&mut self, batch: &WriteBatch) {
        if let Some(hard_state) = batch.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(snapshot) = &batch.snapshot {
            self.replace_snapshot(snapshot);
        }
        if let Some(first) = batch.entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
            self.entries.extend(batch.entries.iter().cloned());
        }
    }

    fn replace_snapshot(&mut self, snapshot: &LogSnapshot) {
        self.entries.retain(|entry| entry.index > snapshot.index);
        let has_gap = self
            .entries
            .first()
            .is_some_and(|first| first.index != snapshot.index + 1);
        if has_gap {
            self.entries.clear();
        }
        self.snapshot = snapshot.clone();
    }

    /// Whether a voter can start from this state. The crate `raft` panics on an inconsistent one.
    pub fn is_consistent(&self) -> bool {
        self.entries_are_contiguous() && self.terms_are_ordered() && self.commit_is_in_range()
    }

    fn entries_are_contiguous(&self) -> bool {
        self.entries
            .iter()
            .zip(1..)
            .all(|(entry, nth)| self.snapshot.index.checked_add(nth) == Some(entry.index))
    }

    fn terms_are_ordered(&self) -> bool {
        let ordered = self
            .entries
            .windows(2)
            .all(|pair| pair[0].term <= pair[1].term);
        let last = self.entries.last();
        ordered && last.is_none_or(|last| last.term <= self.hard_state.term)
    }

    fn commit_is_in_range(&self) -> bool {
        let first = self.snapshot.index;
        // The snapshot may be ahead of the commit index, which is written with a later batch.
        (first..=self.last_index()).contains(&self.hard_state.commit.max(first))
    }

    /// The index of the last entry, or of the snapshot if no entries follow it; 0 for an empty log.
    pub fn last_index(&self) -> u64 {
        self.entries
            .last()
            .map_or(self.snapshot.index, |entry| entry.index)
    }
}
