use super::*;
use crate::consensus::{EntryPayload, HardState, VoterConfiguration};

fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry {
        index,
        term,
        payload: EntryPayload::Command(vec![index as u8; 40]),
    }
}

/// Batches that append, replace and compact entries.
fn batches() -> [WriteBatch; 4] {
    let hard_state = HardState {
        term: 3,
        vote: 7,
        commit: 2,
    };
    let snapshot = LogSnapshot {
        index: 2,
        term: 3,
        configuration: VoterConfiguration {
            voters: vec![77, 5],
            learners: vec![6],
        },
        data: vec![9; 100],
    };
    [
        WriteBatch {
            hard_state: Some(hard_state),
            entries: vec![entry(1, 1), entry(2, 1), entry(3, 2)],
            ..WriteBatch::default()
        },
        // The entries of a new leader replace those from index 2 on.
        WriteBatch {
            entries: vec![entry(2, 3)],
            ..WriteBatch::default()
        },
        WriteBatch {
            entries: vec![entry(3, 3), entry(4, 3)],
            ..WriteBatch::default()
        },
        WriteBatch {
            snapshot: Some(snapshot),
            hard_state: Some(HardState {
                commit: 4,
                ..hard_state
            }),
            ..WriteBatch::default()
        },
    ]
}

/// Replaces the record of an entry by one with a flipped bit.
fn corrupt_record(storage: &RedbStorage, entry: &LogEntry) {
    let write = storage.database.begin_write().unwrap();
    let mut record = encode_record(entry);
    record[9] ^= 1;
    write
        .open_table(ENTRIES)
        .unwrap()
        .insert(entry.index, record.as_slice())
        .unwrap();
    write.commit().unwrap();
}

/// Guards against a voter that continues from a state other than the one that it wrote.
#[test]
fn written_batches_are_read_back_and_a_damaged_record_is_named() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("votes");
    let mut expected = PersistedState::default();
    let mut storage = RedbStorage::create(&path, 77, PersistedState::default()).unwrap();
    assert!(matches!(
        RedbStorage::create(&path, 78, PersistedState::default()),
        Err(StorageError::Exists)
    ));
    for batch in &batches() {
        storage.write(batch).unwrap();
        expected.apply(batch);
        assert_eq!(storage.load().unwrap(), expected);
    }
    drop(storage);
    let mut storage = RedbStorage::open(&path).unwrap().unwrap();
    assert_eq!(
        (
            storage.load().unwrap(),
            storage.voter_id().unwrap(),
            expected.is_consistent()
        ),
        (expected, 77, true)
    );
    corrupt_record(&storage, &entry(4, 3));
    assert!(matches!(storage.load(), Err(StorageError::Damaged(name)) if name == "entry 4"));
    assert!(RedbStorage::open(&folder.path().join("none"))
        .unwrap()
        .is_none());
}
