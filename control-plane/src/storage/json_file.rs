//! Small files that hold one JSON value each and are replaced atomically.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Extension of the temporary file that is renamed to the target.
const PARTIAL_EXTENSION: &str = "part";

/// Replaces a file: writes a temporary file beside it, syncs it, renames it and syncs the folder. The new content
/// survives a power loss once this returns.
///
/// # Errors
///
/// If the value can't be serialized, or a file or the folder can't be written. The file then has either its previous or
/// the new content, whole.
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

/// Reads a file; `None` if it does not exist.
///
/// # Errors
///
/// If the file can't be read, or its content is not a JSON value of the type `T`.
pub fn read_json<T: DeserializeOwned>(path: &Path) -> io::Result<Option<T>> {
    match fs::read(path) {
        Ok(text) => Ok(Some(serde_json::from_slice(&text)?)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}
