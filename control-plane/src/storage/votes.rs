//! Owns a voter's log, vote and snapshot on disk. A save is one transaction, synced before it returns. A record that does
//! not read as it was written makes all of it unsound: who can't trust its vote must not vote.

use std::path::Path;

use crc::{Crc, CRC_32_ISO_HDLC};
use redb::{Database, Durability, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::consensus::{Item, Kept, Save, SnapshotKept, VoterId};

const CRC: Crc<u32> = Crc::<u32>::new(&CRC_32_ISO_HDLC);
/// The format of records; the first byte of each.
const FORMAT: u8 = 2;
const SINGLE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("single");
const ENTRIES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("entries");
const HARD: &str = "hard";
const SNAPSHOT: &str = "snapshot";
const ME: &str = "me";

/// Why nothing was kept, or read.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The database, or the disk under it.
    #[error("{0}")]
    Database(Box<redb::Error>),
    /// A record is damaged.
    #[error("record '{0}' is damaged")]
    Damaged(String),
    /// A record is of a format that is not read here.
    #[error("record '{0}' is of format {1}, not {FORMAT}")]
    Format(String, u8),
    /// There is a store already.
    #[error("there is one already")]
    Exists,
}

impl<E: Into<redb::Error>> From<E> for StoreError {
    fn from(error: E) -> Self {
        StoreError::Database(Box::new(error.into()))
    }
}

/// Where a voter keeps what it must not forget.
pub trait Store: Send {
    /// All that was kept.
    fn load(&mut self) -> Result<Kept, StoreError>;
    /// Keeps more; when it returns, it is kept for good.
    fn save(&mut self, save: &Save) -> Result<(), StoreError>;
}

/// The store as a file.
pub struct VoteStore(Database);

impl VoteStore {
    /// Makes a store. Once in a voter's life: one that lost its store must not get a new one under its number.
    pub fn create(path: &Path, me: VoterId, kept: Kept) -> Result<VoteStore, StoreError> {
        if path.exists() {
            return Err(StoreError::Exists);
        }
        let mut store = VoteStore(Database::create(path)?);
        let write = store.0.begin_write()?;
        write.open_table(SINGLE)?.insert(ME, seal(&me).as_slice())?;
        write.commit()?;
        let snapshot = Some(kept.snapshot).filter(|snapshot| snapshot.index > 0);
        store.save(&Save {
            hard: Some(kept.hard),
            snapshot,
            entries: kept.entries,
        })?;
        Ok(store)
    }

    /// The voter's own number: another store of the same name has another.
    pub fn me(&self) -> Result<VoterId, StoreError> {
        let read = self.0.begin_read()?;
        let single = read.open_table(SINGLE)?;
        let bytes = single
            .get(ME)?
            .ok_or_else(|| StoreError::Damaged(ME.into()))?;
        open(ME, bytes.value())
    }

    /// Opens a store; `None` where there is none.
    pub fn open(path: &Path) -> Result<Option<VoteStore>, StoreError> {
        if !path.exists() {
            return Ok(None);
        }
        Ok(Some(VoteStore(Database::open(path)?)))
    }
}

fn seal<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(&(FORMAT, value)).unwrap_or_default();
    bytes.extend_from_slice(&CRC.checksum(&bytes).to_le_bytes());
    bytes
}

fn open<T: DeserializeOwned>(name: &str, bytes: &[u8]) -> Result<T, StoreError> {
    let damaged = || StoreError::Damaged(name.to_owned());
    let (sealed, sum) = bytes.split_last_chunk::<4>().ok_or_else(damaged)?;
    if CRC.checksum(sealed) != u32::from_le_bytes(*sum) {
        return Err(damaged());
    }
    match sealed.first() {
        Some(&FORMAT) => postcard::from_bytes(&sealed[1..]).map_err(|_| damaged()),
        Some(other) => Err(StoreError::Format(name.to_owned(), *other)),
        None => Err(damaged()),
    }
}

impl Store for VoteStore {
    fn load(&mut self) -> Result<Kept, StoreError> {
        let read = self.0.begin_read()?;
        let single = read.open_table(SINGLE)?;
        let hard = match single.get(HARD)? {
            Some(bytes) => open(HARD, bytes.value())?,
            // Written when the store was made: without it, it is not whole.
            None => return Err(StoreError::Damaged(HARD.into())),
        };
        let snapshot: SnapshotKept = match single.get(SNAPSHOT)? {
            Some(bytes) => open(SNAPSHOT, bytes.value())?,
            None => SnapshotKept::default(),
        };
        let mut entries: Vec<Item> = Vec::new();
        for row in read.open_table(ENTRIES)?.iter()? {
            let (index, bytes) = row?;
            let entry: Item = open(&format!("entry {}", index.value()), bytes.value())?;
            if entry.index != index.value() {
                return Err(StoreError::Damaged(format!("entry {}", index.value())));
            }
            entries.push(entry);
        }
        Ok(Kept {
            hard,
            snapshot,
            entries,
        })
    }

    fn save(&mut self, save: &Save) -> Result<(), StoreError> {
        let mut write = self.0.begin_write()?;
        write.set_durability(Durability::Immediate)?;
        {
            let mut single = write.open_table(SINGLE)?;
            let mut entries = write.open_table(ENTRIES)?;
            if let Some(hard) = &save.hard {
                single.insert(HARD, seal(hard).as_slice())?;
            }
            if let Some(snapshot) = &save.snapshot {
                single.insert(SNAPSHOT, seal(snapshot).as_slice())?;
                entries.retain(|index, _| index > snapshot.index)?;
            }
            if let Some(first) = save.entries.first() {
                entries.retain_in(first.index.., |_, _| false)?;
            }
            for entry in &save.entries {
                entries.insert(entry.index, seal(entry).as_slice())?;
            }
        }
        write.commit()?;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::consensus::{Conf, Content, Hard};

    fn item(index: u64, term: u64) -> Item {
        Item {
            index,
            term,
            content: Content::Command(vec![index as u8; 40]),
        }
    }

    #[test]
    fn what_was_saved_is_there_and_what_is_damaged_is_named() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("votes");
        let mut kept = Kept::default();
        let mut store = VoteStore::create(&path, 77, Kept::default()).unwrap();
        assert!(matches!(
            VoteStore::create(&path, 78, Kept::default()),
            Err(StoreError::Exists)
        ));
        let hard = Hard {
            term: 3,
            vote: 7,
            commit: 2,
        };
        let saves = [
            Save {
                hard: Some(hard),
                entries: vec![item(1, 1), item(2, 1), item(3, 2)],
                ..Save::default()
            },
            // Another leader's entries take the place of those from the second on.
            Save {
                entries: vec![item(2, 3)],
                ..Save::default()
            },
            Save {
                entries: vec![item(3, 3), item(4, 3)],
                ..Save::default()
            },
            Save {
                snapshot: Some(SnapshotKept {
                    index: 2,
                    term: 3,
                    conf: Conf {
                        voters: vec![77, 5],
                        learners: vec![6],
                    },
                    data: vec![9; 100],
                }),
                hard: Some(Hard { commit: 4, ..hard }),
                ..Save::default()
            },
        ];
        for save in &saves {
            store.save(save).unwrap();
            kept.take(save);
            assert_eq!(store.load().unwrap(), kept);
        }
        drop(store);
        let mut store = VoteStore::open(&path).unwrap().unwrap();
        assert_eq!(
            (store.load().unwrap(), store.me().unwrap(), kept.is_sound()),
            (kept, 77, true)
        );
        let write = store.0.begin_write().unwrap();
        let mut sealed = seal(&item(4, 3));
        sealed[9] ^= 1;
        write
            .open_table(ENTRIES)
            .unwrap()
            .insert(4, sealed.as_slice())
            .unwrap();
        write.commit().unwrap();
        assert!(matches!(store.load(), Err(StoreError::Damaged(name)) if name == "entry 4"));
        assert!(VoteStore::open(&folder.path().join("none"))
            .unwrap()
            .is_none());
    }
}
