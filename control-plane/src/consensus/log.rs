//! The in-memory copy of the log, which the crate `raft` reads through its trait `Storage`.

use std::cell::RefCell;
use std::rc::Rc;

use raft::eraftpb::{Entry, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

use super::convert::{to_raft_configuration, to_raft_entry, to_raft_hard_state, to_raft_snapshot};
use super::{LogSnapshot, PersistedState, VoterConfiguration, WriteBatch};

/// Estimated size of an encoded entry without its payload, in bytes.
const ENTRY_OVERHEAD_BYTES: u64 = 24;

/// The in-memory log, hard state and snapshot. Clones share the same state.
#[derive(Clone, Debug)]
pub(super) struct Log {
    state: Rc<RefCell<PersistedState>>,
}

impl Log {
    pub fn new(state: PersistedState) -> Log {
        Log {
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Applies a write batch in memory. The batch need not be durable yet.
    pub fn apply(&self, batch: &WriteBatch) {
        self.state.borrow_mut().apply(batch);
    }

    /// Replaces the entries up to `index` by a snapshot and returns the snapshot; `None` if the log has no such entry.
    pub fn compact(
        &self,
        index: u64,
        configuration: VoterConfiguration,
        data: Vec<u8>,
    ) -> Option<LogSnapshot> {
        let term = self.term(index).ok()?;
        let snapshot = LogSnapshot {
            index,
            term,
            configuration,
            data,
        };
        self.apply(&WriteBatch {
            snapshot: Some(snapshot.clone()),
            ..WriteBatch::default()
        });
        Some(snapshot)
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let state = self.state.borrow();
        Ok(RaftState {
            hard_state: to_raft_hard_state(&state.hard_state),
            conf_state: to_raft_configuration(&state.snapshot.configuration),
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
        let state = self.state.borrow();
        let in_range = state
            .entries
            .iter()
            .filter(|entry| (low..high).contains(&entry.index));
        let max_size = max_size.into().unwrap_or(u64::MAX);
        let mut size = 0;
        let mut entries = Vec::new();
        for entry in in_range {
            size += entry.payload.size() as u64 + ENTRY_OVERHEAD_BYTES;
            // The first entry is returned even if it exceeds the limit: otherwise it could never be replicated.
            if size > max_size && !entries.is_empty() {
                break;
            }
            entries.push(to_raft_entry(entry));
        }
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        let state = self.state.borrow();
        if index == state.snapshot.index {
            return Ok(state.snapshot.term);
        }
        if index < state.snapshot.index {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        // The entries follow the snapshot without a gap, so the index determines the position.
        let position = (index - state.snapshot.index - 1) as usize;
        state
            .entries
            .get(position)
            .map(|entry| entry.term)
            .ok_or(raft::Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.state.borrow().snapshot.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.state.borrow().last_index())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        let state = self.state.borrow();
        if state.snapshot.index < request_index {
            return Err(raft::Error::Store(
                StorageError::SnapshotTemporarilyUnavailable,
            ));
        }
        Ok(to_raft_snapshot(&state.snapshot))
    }
}
