//! Requests that must not run twice: the ids of those that were passed on lately.
//!
//! A client whose connection ends without an answer may send its request once more, with the same id, on another
//! connection and perhaps to another process of this node. By then the first copy may be running, so the second one is not
//! passed on. An id is claimed before the first attempt and released if no attempt can have run.

use std::path::Path;
use std::time::Duration;

use nix::time::{clock_gettime, ClockId};
use xxhash_rust::xxh3::xxh3_64;

mod claimed_ids;
mod shared_file;

use claimed_ids::ClaimedIds;
use shared_file::SharedFile;

/// How long an id stays claimed: longer than any request and its client's retries last.
const RETENTION: Duration = Duration::from_secs(60);

/// The hash of a request's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdHash(u64);

impl IdHash {
    pub fn of(id: &[u8]) -> IdHash {
        // In the shared file 0 marks a free slot.
        IdHash(xxh3_64(id).max(1))
    }
}

/// The claimed ids of this process and, if it shares its listener, of the other processes of this node.
pub struct RunOnce {
    claimed: ClaimedIds,
    /// `None` if no other process can get this node's clients, or without a state folder.
    shared: Option<SharedFile>,
}

impl RunOnce {
    /// Ids that this process alone claims.
    pub fn unshared() -> RunOnce {
        RunOnce {
            claimed: ClaimedIds::default(),
            shared: None,
        }
    }

    /// Ids that all processes of the node `node_name` claim, through a file in the state folder `folder`. Where the file
    /// can't be opened, this process claims its ids alone, and the log says so.
    pub fn shared(folder: &Path, node_name: &str) -> RunOnce {
        let shared = SharedFile::open(folder, node_name)
            .inspect_err(|error| {
                crate::log::line(format_args!(
                    "can't share the ids of requests with other processes of this node, so that one of them may \
                     repeat a request of another: {error}"
                ));
            })
            .ok();
        RunOnce {
            claimed: ClaimedIds::default(),
            shared,
        }
    }

    /// Claims an id. Returns `false` if it is claimed already: an earlier request with it may have run.
    pub fn claim(&mut self, id: IdHash) -> bool {
        let now = since_boot();
        let claimed_by_other = self
            .shared
            .as_mut()
            .is_some_and(|shared| shared.is_claimed(id, now));
        if claimed_by_other || !self.claimed.claim(id, now) {
            return false;
        }
        if let Some(shared) = &mut self.shared {
            shared.claim(id, now);
        }
        true
    }

    /// Releases an id that this process has claimed: its request can't have run.
    pub fn release(&mut self, id: IdHash) {
        self.claimed.release(id);
        if let Some(shared) = &mut self.shared {
            shared.release(id);
        }
    }
}

/// Time since the machine was started, the same for all processes and independent of the wall clock.
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_MONOTONIC)
        .map(Duration::from)
        .unwrap_or_default()
}

#[cfg(test)]
mod tests;
