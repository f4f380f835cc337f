//! The lock on an agent's state folder.

use std::fs::{self, File, TryLockError};
use std::path::Path;

use super::RuntimeError;

const LOCK_FILE: &str = "lock";

/// Locks a folder for one agent, and creates it if it is missing. The operating system releases the lock when the
/// process ends, however it ends.
///
/// # Errors
/// If another agent has the lock, or the folder can't be used.
pub fn acquire(folder: &Path) -> Result<File, RuntimeError> {
    let folder_error = |source| RuntimeError::State {
        path: folder.to_owned(),
        source,
    };
    fs::create_dir_all(folder).map_err(folder_error)?;
    let path = folder.join(LOCK_FILE);
    let file = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .map_err(folder_error)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(RuntimeError::Locked(folder.to_owned())),
        Err(TryLockError::Error(source)) => Err(RuntimeError::State { path, source }),
    }
}

#[cfg(test)]
mod tests;
