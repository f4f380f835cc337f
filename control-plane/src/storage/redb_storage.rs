//! A voter's state in an embedded database.
//!
//! Each record consists of a format version (one byte), the value in `postcard` encoding and a CRC-32 of both. A
//! damaged record makes the whole state unusable: a voter that can't trust its recorded vote must not vote. The names
//! of tables and records are stored on disk and must not change.

use std::path::Path;

use crc::{Crc, CRC_32_ISO_HDLC};
use redb::{
    Database, Durability, ReadableDatabase, ReadableTable, TableDefinition, WriteTransaction,
};
use serde::de::DeserializeOwned;
use serde::Serialize;

use super::{Storage, StorageError};
use crate::consensus::{HardState, LogEntry, LogSnapshot, PersistedState, VoterId, WriteBatch};

const CRC: Crc<u32> = Crc::<u32>::new(&CRC_32_ISO_HDLC);
/// The format version of records, which is the first byte of each.
const FORMAT: u8 = 2;
/// Records of which there is only one, by name.
const SINGLE_RECORDS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("single");
/// Entries of the log, by index.
const ENTRIES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("entries");
const HARD_STATE: &str = "hard";
const SNAPSHOT: &str = "snapshot";
const VOTER_ID: &str = "me";

/// A voter's state in a database file.
pub struct RedbStorage {
    database: Database,
}

impl RedbStorage {
    /// Creates the database of a new voter. A voter that lost its database must not get another one under the same
    /// identifier: it may have voted in a term that it does not remember.
    ///
    /// # Errors
    ///
    /// [`StorageError::Exists`] if there is a file at the path, [`StorageError::Database`] if the database can't be
    /// written.
    pub fn create(
        path: &Path,
        voter: VoterId,
        state: PersistedState,
    ) -> Result<RedbStorage, StorageError> {
        if path.exists() {
            return Err(StorageError::Exists);
        }
        let database = Database::create(path)?;
        let mut storage = RedbStorage { database };
        storage.write_voter_id(voter)?;
        storage.write(&WriteBatch {
            hard_state: Some(state.hard_state),
            snapshot: Some(state.snapshot).filter(|snapshot| snapshot.index > 0),
            entries: state.entries,
        })?;
        Ok(storage)
    }

    /// Opens a database; `None` if there is no file at the path.
    ///
    /// # Errors
    ///
    /// [`StorageError::Database`] if the database can't be opened.
    pub fn open(path: &Path) -> Result<Option<RedbStorage>, StorageError> {
        if !path.exists() {
            return Ok(None);
        }
        let database = Database::open(path)?;
        Ok(Some(RedbStorage { database }))
    }

    fn write_voter_id(&self, voter: VoterId) -> Result<(), StorageError> {
        let transaction = self.database.begin_write()?;
        let record = encode_record(&voter);
        transaction
            .open_table(SINGLE_RECORDS)?
            .insert(VOTER_ID, record.as_slice())?;
        transaction.commit()?;
        Ok(())
    }

    /// The identifier of the voter to which this database belongs. The name does not determine it: each database of a
    /// voter that joined a running fleet has its own.
    ///
    /// # Errors
    ///
    /// [`StorageError`] if the record is missing or can't be read.
    pub fn voter_id(&self) -> Result<VoterId, StorageError> {
        let transaction = self.database.begin_read()?;
        let single = transaction.open_table(SINGLE_RECORDS)?;
        read_record(&single, VOTER_ID)?.ok_or_else(|| StorageError::Damaged(VOTER_ID.into()))
    }
}

impl Storage for RedbStorage {
    fn load(&mut self) -> Result<PersistedState, StorageError> {
        let transaction = self.database.begin_read()?;
        let single = transaction.open_table(SINGLE_RECORDS)?;
        // The hard state is written when the database is created. If it is missing, the creation did not complete.
        let hard_state: HardState = read_record(&single, HARD_STATE)?
            .ok_or_else(|| StorageError::Damaged(HARD_STATE.into()))?;
        let snapshot: Option<LogSnapshot> = read_record(&single, SNAPSHOT)?;
        let entries = read_entries(&transaction.open_table(ENTRIES)?)?;
        Ok(PersistedState {
            hard_state,
            snapshot: snapshot.unwrap_or_default(),
            entries,
        })
    }

    fn write(&mut self, batch: &WriteBatch) -> Result<(), StorageError> {
        let mut transaction = self.database.begin_write()?;
        transaction.set_durability(Durability::Immediate)?;
        write_batch(&transaction, batch)?;
        transaction.commit()?;
        Ok(())
    }
}

fn write_batch(transaction: &WriteTransaction, batch: &WriteBatch) -> Result<(), StorageError> {
    let mut single = transaction.open_table(SINGLE_RECORDS)?;
    let mut entries = transaction.open_table(ENTRIES)?;
    if let Some(hard_state) = &batch.hard_state {
        single.insert(HARD_STATE, encode_record(hard_state).as_slice())?;
    }
    if let Some(snapshot) = &batch.snapshot {
        single.insert(SNAPSHOT, encode_record(snapshot).as_slice())?;
        entries.retain(|index, _| index > snapshot.index)?;
    }
    // New entries replace all existing ones from the index of the first new one on: entries of an earlier leader must
    // not reappear after a restart.
    if let Some(first) = batch.entries.first() {
        entries.retain_in(first.index.., |_, _| false)?;
    }
    for entry in &batch.entries {
        entries.insert(entry.index, encode_record(entry).as_slice())?;
    }
    Ok(())
}

fn read_record<T: DeserializeOwned>(
    table: &impl ReadableTable<&'static str, &'static [u8]>,
    name: &str,
) -> Result<Option<T>, StorageError> {
    match table.get(name)? {
        Some(record) => Ok(Some(decode_record(name, record.value())?)),
        None => Ok(None),
    }
}

fn read_entries(
    table: &impl ReadableTable<u64, &'static [u8]>,
) -> Result<Vec<LogEntry>, StorageError> {
    let mut entries = Vec::new();
    for row in table.iter()? {
        let (index, record) = row?;
        let name = format!("entry {}", index.value());
        let entry: LogEntry = decode_record(&name, record.value())?;
        if entry.index != index.value() {
            return Err(StorageError::Damaged(name));
        }
        entries.push(entry);
    }
    Ok(entries)
}

fn encode_record<T: Serialize>(value: &T) -> Vec<u8> {
    // Serializing plain data into memory does not fail.
    let mut record = postcard::to_stdvec(&(FORMAT, value)).unwrap_or_default();
    record.extend_from_slice(&CRC.checksum(&record).to_le_bytes());
    record
}

fn decode_record<T: DeserializeOwned>(name: &str, record: &[u8]) -> Result<T, StorageError> {
    let damaged = || StorageError::Damaged(name.to_owned());
    let (content, checksum) = record.split_last_chunk::<4>().ok_or_else(damaged)?;
    if CRC.checksum(content) != u32::from_le_bytes(*checksum) {
        return Err(damaged());
    }
    let (format, value) = content.split_first().ok_or_else(damaged)?;
    if *format != FORMAT {
        return Err(StorageError::Format {
            record: name.to_owned(),
            found: *format,
            expected: FORMAT,
        });
    }
    postcard::from_bytes(value).map_err(|_| damaged())
}

#[cfg(test)]
mod tests;
