//! Servers cordoned by operators, persisted so that the next process finds them.
//!
//! The file is shared by overlapping processes of one node: each rereads it periodically and
//! replaces it atomically before it confirms a change. The agent beside the node writes it too
//! (`control-plane/src/runtime/coordinator_host.rs`): the two packages do not depend on each
//! other, and `tests/compat/files.rs` and `control-plane/tests/compat/state_files.rs` hold the
//! file's name and content.

use std::collections::BTreeSet;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A server that was cordoned or uncordoned.
#[derive(Clone, Debug, PartialEq)]
pub struct CordonChange {
    /// The server's id on the endpoint list.
    pub server_id: String,
    /// Whether it is cordoned now.
    pub cordoned: bool,
}

/// The ids of the servers that stay cordoned until operators uncordon them.
pub struct CordonedServers {
    /// `None` without a state folder: cordons then end with the process.
    path: Option<PathBuf>,
    ids: BTreeSet<String>,
    /// The last error of reading the file, to log it once and not at every reread.
    last_error: Option<String>,
}

impl CordonedServers {
    /// Loads the cordons of the node `node_name` from the state folder `folder`.
    pub fn open(folder: Option<&Path>, node_name: &str) -> CordonedServers {
        let name: String = node_name
            .chars()
            .map(|c| if c.is_ascii_alphanumeric() { c } else { '_' })
            .collect();
        // The file keeps its earlier name: processes and agents of another version read it.
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

    /// Whether the server of this id is cordoned.
    pub fn contains(&self, server_id: &str) -> bool {
        self.ids.contains(server_id)
    }

    /// Rereads the file and returns what another process changed in it.
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

    /// Logs an error unless the last reread had the same.
    fn log_new_error(&mut self, error: Option<&String>) {
        if let Some(error) = error.filter(|error| self.last_error.as_ref() != Some(error)) {
            crate::log::line(format_args!("cordoned servers: {error}"));
        }
        self.last_error = error.cloned();
    }

    /// Cordons or uncordons a server, in the file first, and returns all changes, those of other
    /// processes included.
    ///
    /// # Errors
    ///
    /// The file could not be replaced; the server is as it was.
    pub fn set(&mut self, server_id: &str, cordoned: bool) -> io::Result<Vec<CordonChange>> {
        // The file is replaced as one: first with what another process has changed in it (test
        // `cordons_outlive_a_process_and_reach_one_beside_it`).
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
        // Before memory: a cordon that is confirmed must be known to the next process (test
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

/// The ids in the file; `None` if there is no file.
fn read(path: &Path) -> io::Result<Option<BTreeSet<String>>> {
    match fs::read(path) {
        Ok(text) => Ok(Some(serde_json::from_slice(&text)?)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

/// Replaces the file atomically: a reader finds the old ids or the new ones.
fn replace(path: &Path, ids: &BTreeSet<String>) -> io::Result<()> {
    let temporary = path.with_extension(format!("{}.part", std::process::id()));
    let mut file = fs::File::create(&temporary)?;
    file.write_all(&serde_json::to_vec(ids)?)?;
    file.sync_all()?;
    fs::rename(&temporary, path)
}

#[cfg(test)]
mod tests;
