//! Owns small files that are read and written whole: one JSON value, there completely or not at all.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Written beside, synced, renamed, and the rename synced: after a yes it outlives a power loss.
pub fn write_whole<T: Serialize>(path: &Path, value: &T) -> io::Result<()> {
    let part = path.with_extension("part");
    let mut file = File::create(&part)?;
    file.write_all(&serde_json::to_vec(value)?)?;
    file.sync_all()?;
    fs::rename(&part, path)?;
    match path.parent() {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

/// What a file holds; `None` where there is none.
pub fn read_whole<T: DeserializeOwned>(path: &Path) -> io::Result<Option<T>> {
    match fs::read(path) {
        Ok(text) => Ok(Some(serde_json::from_slice(&text)?)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}
