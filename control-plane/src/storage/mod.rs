//! Persistent state of the control plane. A voter's log, vote and snapshot are records of an embedded database, each with
//! its format and checksum; small files are replaced atomically.

mod json_file;
mod redb_storage;

pub use json_file::{read_json, write_json};
pub use redb_storage::RedbStorage;

use crate::consensus::{PersistedState, WriteBatch};

/// Persists a voter's state.
pub trait Storage: Send {
    /// Reads all that was persisted.
    ///
    /// # Errors
    ///
    /// [`StorageError`] where a record can't be read as it was written: the voter must not vote then.
    fn load(&mut self) -> Result<PersistedState, StorageError>;

    /// Writes a batch in one transaction. It is durable when this returns.
    ///
    /// # Errors
    ///
    /// [`StorageError::Database`] where the batch may not be durable: the voter must not vote then.
    fn write(&mut self, batch: &WriteBatch) -> Result<(), StorageError>;
}

/// Why a voter's state was not read or written.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The database or the disk failed.
    #[error("{0}")]
    Database(#[source] Box<redb::Error>),
    /// A record is damaged.
    #[error("record '{0}' is damaged")]
    Damaged(String),
    /// A record has a format that this program does not read.
    #[error("record '{record}' is of format {found}, not {expected}")]
    Format {
        /// The record.
        record: String,
        /// Its format.
        found: u8,
        /// The format that this program reads.
        expected: u8,
    },
    /// There is a database at the path already.
    #[error("there is one already")]
    Exists,
}

/// Each operation of `redb` has an error type of its own; all convert into its general one.
impl<E: Into<redb::Error>> From<E> for StorageError {
    fn from(error: E) -> Self {
        StorageError::Database(Box::new(error.into()))
    }
}
