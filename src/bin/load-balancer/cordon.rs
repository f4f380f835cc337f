//! Servers cordoned by operators, persisted in a file so that the next process loads them.
//!
//! Overlapping processes of one node share the file: each rereads it periodically, and replaces it atomically
//! before it confirms a change. The node's agent writes it too (`control-plane/src/runtime/coordinator_host.rs`). As
//! the two packages do not depend on each other, `tests/compat/files.rs` and
//! `control-plane/tests/compat/state_files.rs` check the file's name and format.

use std::collections::BTreeSet;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::state_file;

/// A server that was cordoned or uncordoned.
#[derive(Clone, Debug, PartialEq)]
pub struct CordonChange {
    /// The server's id on the endpoint list.
    pub server_id: String,
    /// Whether the server is cordoned now.
    pub cordoned: bool,
}

/// The ids of the cordoned servers, and the file that holds them.
pub struct CordonedServers {
    /// The file; `None` without a state folder, where cordons end with the process.
    path: Option<PathBuf>,
    ids: BTreeSet<String>,
    /// The error of the last reread, so that a repeated error is logged once; `None` if it succeeded.
    last_error: Option<String>,
}

impl CordonedServers {
    /// Loads the cordoned servers of the node `node_name` from the state folder `folder`.
    pub fn open(folder: Option<&Path>, node_name: &str) -> CordonedServers {
        let name = state_file::node_part(node_name);
        // The file keeps the name that processes and agents of earlier versions read.
        let path = folder.map(|folder| folder.join(format!("woodgap-{name}-out.json")));
        let mut cordoned = CordonedServers {
            path,
            ids: BTreeSet::new(),
            last_error: None,
        };
        cordoned.reread();
        cordoned
    }

    /// The ids of all cordoned servers, in order.
    pub fn ids(&self) -> impl Iterator<Item = &String> {
        self.ids.iter()
    }

    /// Whether the server with this id is cordoned.
    pub fn contains(&self, server_id: &str) -> bool {
        self.ids.contains(server_id)
    }

    /// Rereads the file and returns the changes that another process has made in it.
    ///
    /// A missing or unreadable file changes nothing.
    pub fn reread(&mut self) -> Vec<CordonChange> {
        let Some(path) = &self.path else {
            return Vec::new();
        };
        let read = read(path).map_err(|error| format!("{}: {error}", path.display()));
        self.log_new_error(read.as_ref().err());
        let Ok(Some(ids)) = read else {
            return Vec::new();
        };
        let changes = self
            .ids
            .symmetric_difference(&ids)
            .map(|id| CordonChange {
                server_id: id.clone(),
                cordoned: ids.contains(id),
            })
            .collect();
        self.ids = ids;
        changes
    }

    /// Logs an error of a reread, unless the last reread had the same.
    fn log_new_error(&mut self, error: Option<&String>) {
        if let Some(error) = error.filter(|error| self.last_error.as_ref() != Some(error)) {
            crate::log::line(format_args!(
                "can't read the file of cordoned servers: {error}; the cordons in effect are kept"
            ));
        }
        self.last_error = error.cloned();
    }

    /// Cordons or uncordons a server, in the file first. Returns all changes, including those that other processes
    /// have made in the file.
    ///
    /// # Errors
    ///
    /// The file could not be replaced. The state of the server is unchanged.
    pub fn set(&mut self, server_id: &str, cordoned: bool) -> io::Result<Vec<CordonChange>> {
        // The file is replaced as a whole, so the changes of other processes are read first (test
        // `cordons_outlive_a_process_and_reach_concurrent_ones`).
        let mut changes = self.reread();
        if self.contains(server_id) == cordoned {
            return Ok(changes);
        }
        let mut ids = self.ids.clone();
        if cordoned {
            ids.insert(server_id.to_owned());
        } else {
            ids.remove(server_id);
        }
        // The file is replaced before the set in memory, as the next process must know each confirmed cordon (test
        // `a_cordon_that_cannot_be_persisted_is_not_set`).
        if let Some(path) = &self.path {
            replace(path, &ids)?;
        }
        self.ids = ids;
        changes.retain(|change| change.server_id != server_id);
        changes.push(CordonChange {
            server_id: server_id.to_owned(),
            cordoned,
        });
        Ok(changes)
    }
}

/// Reads the ids in the file; `None` if there is no file.
fn read(path: &Path) -> io::Result<Option<BTreeSet<String>>> {
    match fs::read(path) {
        Ok(text) => Ok(Some(serde_json::from_slice(&text)?)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

/// Replaces the file atomically: a concurrent reader finds either the old ids or the new ones.
fn replace(path: &Path, ids: &BTreeSet<String>) -> io::Result<()> {
    let temporary = path.with_extension(format!("{}.part", std::process::id()));
    let mut file = fs::File::create(&temporary)?;
    file.write_all(&serde_json::to_vec(ids)?)?;
    file.sync_all()?;
    fs::rename(&temporary, path)
}

#[cfg(test)]
mod tests;
