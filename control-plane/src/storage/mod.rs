//! Persistent state of the control plane. A voter's log, hard state and snapshot are records of an embedded database,
//! each with a format version and a checksum. Small JSON files are replaced atomically.

mod json_file;
mod redb_storage;

pub use json_file::{read_json, write_json};
pub use redb_storage::RedbStorage;

use crate::consensus::{PersistedState, WriteBatch};

/// Persists a voter's state.
pub trait Storage: Send {
    /// Reads the whole persisted state.
    ///
    /// # Errors
    ///
    /// [`StorageError`] if a record can't be read as it was written: the voter must not vote then.
    fn load(&mut self) -> Result<PersistedState, StorageError>;

    /// Writes a batch in one transaction. It is durable when this returns.
    ///
    /// # Errors
    ///
    /// [`StorageError::Database`] if the batch may not be durable: the voter must not vote then.
    fn write(&mut self, batch: &WriteBatch) -> Result<(), StorageError>;
}

/// Why a voter's state could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The database or the disk failed.
    #[error("{0}")]
    Database(#[source] Box<redb::Error>),
    /// A record is missing or damaged.
    #[error("record '{0}' is missing or damaged")]
    Damaged(String),
    /// A record has a format version that this program does not read.
    #[error(
        "record '{record}' has format version {found}; this program reads only version {expected}"
    )]
    Format {
        /// The name of the record.
        record: String,
        /// The record's format version.
        found: u8,
        /// The format version that this program reads.
        expected: u8,
    },
    /// There is a file at the path of a new database.
    #[error("the voter's database exists already")]
    Exists,
}

/// Each operation of `redb` has its own error type; all of them convert into `redb::Error`.
impl<E: Into<redb::Error>> From<E> for StorageError {
    fn from(error: E) -> Self {
        StorageError::Database(Box::new(error.into()))
    }
}
