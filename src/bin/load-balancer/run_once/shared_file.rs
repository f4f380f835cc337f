//! The file through which the processes of a node know each other's claimed ids.
//!
//! The file is a hash table of fixed size: buckets of slots, each slot an id's hash and the time of its claim. A claim
//! reads one bucket and writes one slot. Two processes that claim one id in the same microsecond may both succeed: a
//! lock would let a process that is stopped while it holds it stop the other one's requests.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::time::Duration;

use super::{IdHash, RETENTION};
use crate::state_file;

/// Bytes of a slot: the hash and the time of the claim in milliseconds since boot, both little-endian.
const SLOT_BYTES: usize = 16;
const SLOTS_PER_BUCKET: usize = 8;
const BUCKETS: u64 = 1_024;
const BUCKET_BYTES: usize = SLOT_BYTES * SLOTS_PER_BUCKET;
const FILE_BYTES: u64 = BUCKETS * BUCKET_BYTES as u64;

/// One place of a bucket.
#[derive(Clone, Copy)]
struct Slot {
    /// The claimed id; 0 if the slot is free.
    hash: u64,
    claimed_at: Duration,
}

impl Slot {
    const FREE: Slot = Slot {
        hash: 0,
        claimed_at: Duration::ZERO,
    };

    fn from_bytes(bytes: &[u8]) -> Slot {
        let number = |range: std::ops::Range<usize>| {
            let bytes = bytes.get(range).and_then(|bytes| bytes.try_into().ok());
            bytes.map_or(0, u64::from_le_bytes)
        };
        Slot {
            hash: number(0..8),
            claimed_at: Duration::from_millis(number(8..16)),
        }
    }

    fn to_bytes(self) -> [u8; SLOT_BYTES] {
        let mut bytes = [0; SLOT_BYTES];
        bytes[..8].copy_from_slice(&self.hash.to_le_bytes());
        bytes[8..].copy_from_slice(&(self.claimed_at.as_millis() as u64).to_le_bytes());
        bytes
    }

    /// Whether the claim holds at `now`. One from the future was made before the machine was last started.
    fn is_claimed(&self, now: Duration) -> bool {
        let is_past = self.claimed_at <= now + Duration::from_millis(1);
        self.hash != 0 && is_past && now < self.claimed_at + RETENTION
    }
}

/// The claimed ids of all processes of a node.
pub struct SharedFile {
    file: File,
    /// Whether the last access failed, so that a repeated failure is logged once.
    has_failed: bool,
}

impl SharedFile {
    /// Opens the file of the node `node_name` in `folder`, and creates it if there is none.
    ///
    /// # Errors
    ///
    /// The file can't be opened, or not brought to its size.
    pub fn open(folder: &Path, node_name: &str) -> io::Result<SharedFile> {
        let name = state_file::node_part(node_name);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(folder.join(format!("balancer-{name}-claimed-ids")))?;
        // The other process's claims are kept: the file only grows to its size.
        if file.metadata()?.len() < FILE_BYTES {
            file.set_len(FILE_BYTES)?;
        }
        Ok(SharedFile {
            file,
            has_failed: false,
        })
    }

    /// Whether a process has claimed this id; `false` where the file can't be read.
    pub fn is_claimed(&mut self, id: IdHash, now: Duration) -> bool {
        let bucket = self.read_bucket(id);
        self.log_failure(&bucket);
        let holds = |slot: &Slot| slot.hash == id.0 && slot.is_claimed(now);
        bucket.is_ok_and(|slots| slots.iter().any(holds))
    }

    /// Records a claim in a free slot of its bucket, or in that of the oldest claim.
    pub fn claim(&mut self, id: IdHash, now: Duration) {
        let claimed = Slot {
            hash: id.0,
            claimed_at: now,
        };
        let age = |slot: &Slot| slot.is_claimed(now).then_some(slot.claimed_at);
        let written = self.read_bucket(id).and_then(|slots| {
            let oldest = (0..slots.len()).min_by_key(|&index| age(&slots[index]));
            self.write_slot(id, oldest.unwrap_or(0), claimed)
        });
        self.log_failure(&written);
    }

    /// Frees the slot of an id.
    pub fn release(&mut self, id: IdHash) {
        let written = self.read_bucket(id).and_then(|slots| {
            match slots.iter().position(|slot| slot.hash == id.0) {
                Some(index) => self.write_slot(id, index, Slot::FREE),
                None => Ok(()),
            }
        });
        self.log_failure(&written);
    }

    fn bucket_offset(id: IdHash) -> u64 {
        id.0 % BUCKETS * BUCKET_BYTES as u64
    }

    fn read_bucket(&self, id: IdHash) -> io::Result<Vec<Slot>> {
        let mut bytes = [0; BUCKET_BYTES];
        self.file
            .read_exact_at(&mut bytes, Self::bucket_offset(id))?;
        Ok(bytes.chunks(SLOT_BYTES).map(Slot::from_bytes).collect())
    }

    fn write_slot(&self, id: IdHash, index: usize, slot: Slot) -> io::Result<()> {
        let offset = Self::bucket_offset(id) + (index * SLOT_BYTES) as u64;
        self.file.write_all_at(&slot.to_bytes(), offset)
    }

    /// Logs a failure that follows a success.
    fn log_failure<T>(&mut self, result: &io::Result<T>) {
        let failed = result.is_err();
        if let (Err(error), false) = (result, self.has_failed) {
            crate::log::line(format_args!(
                "the file of claimed request ids can't be used, so that another process of this node may repeat a \
                 request of this one: {error}"
            ));
        }
        self.has_failed = failed;
    }
}
