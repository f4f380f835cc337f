//! Small files of one JSON value, which are replaced atomically.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Extension of the file that is written before it replaces the previous one.
const PARTIAL_EXTENSION: &str = "part";

/// Replaces a file: writes beside it, syncs, renames and syncs the folder. The new content survives a power loss when
/// this returns.
///
/// # Errors
///
/// Where the value can't be serialized or the file can't be written. The previous content is then intact.
pub fn write_json<T: Serialize>(path: &Path, value: &T) -> io::Result<()> {
    let partial = path.with_extension(PARTIAL_EXTENSION);
    let mut file = File::create(&partial)?;
    file.write_all(&serde_json::to_vec(value)?)?;
    file.sync_all()?;
    fs::rename(&partial, path)?;
    match path.parent() {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

/// Reads a file; `None` where there is none.
///
/// # Errors
///
/// Where the file can't be read, or does not hold such a value.
pub fn read_json<T: DeserializeOwned>(path: &Path) -> io::Result<Option<T>> {
    match fs::read(path) {
        Ok(text) => Ok(Some(serde_json::from_slice(&text)?)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}
