//! Owns what tells a later agent which process is its node: a file, checked against the process' own start, and a mark
//! in the process' environment for the moment before the file was written. And the lock on the folder.

use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

use procfs::process::{all_processes, Process};
use serde::{Deserialize, Serialize};

use super::HostError;
use crate::storage::{read_json, write_json};

/// In the environment of each node that an agent starts: the agent's folder.
pub const MARK: &str = "WOODGAP_AGENT_STATE";
const LOCK: &str = "lock";
const FILE: &str = "node.pid";

/// Holds a folder for one agent; the system frees it when the process ends, however it ends.
pub fn lock(folder: &Path) -> Result<File, HostError> {
    let state = |source| HostError::State {
        path: folder.to_owned(),
        source,
    };
    fs::create_dir_all(folder).map_err(state)?;
    let path = folder.join(LOCK);
    let file = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .map_err(state)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(HostError::Locked(folder.to_owned())),
        Err(TryLockError::Error(source)) => Err(HostError::State { path, source }),
    }
}

/// One process among all that ever had its number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// Its number.
    pub pid: i32,
    /// When it started, in ticks since boot.
    started: u64,
    /// Which boot.
    boot: String,
}

impl Running {
    /// A process that runs now.
    pub fn now(pid: i32) -> Option<Running> {
        let stat = Process::new(pid).ok()?.stat().ok()?;
        let dead = matches!(stat.state, 'Z' | 'X' | 'x');
        (!dead).then_some(Running {
            pid,
            started: stat.starttime,
            boot: boot()?,
        })
    }

    /// Whether it still runs.
    pub fn is_there(&self) -> bool {
        Running::now(self.pid).as_ref() == Some(self)
    }
}

fn boot() -> Option<String> {
    let id = fs::read_to_string("/proc/sys/kernel/random/boot_id").ok()?;
    Some(id.trim().to_owned())
}

/// The file of a folder.
#[derive(Clone, Debug)]
pub struct PidFile {
    path: PathBuf,
    folder: PathBuf,
}

impl PidFile {
    /// That of a folder, which has to be there.
    pub fn of(folder: &Path) -> io::Result<PidFile> {
        // Whole and the same from any directory, as it marks processes.
        let folder = folder.canonicalize()?;
        Ok(PidFile {
            path: folder.join(FILE),
            folder,
        })
    }

    /// What marks this folder's nodes.
    pub fn mark(&self) -> &Path {
        &self.folder
    }

    /// Written whole or not at all.
    pub fn write(&self, running: &Running) -> io::Result<()> {
        write_json(&self.path, running)
    }

    /// No process any more. One that can't be removed tells of a process that is gone, which is seen.
    pub fn clear(&self) {
        let _ = fs::remove_file(&self.path);
    }

    /// The node that an earlier agent left behind, if it still runs.
    pub fn find(&self) -> Option<Running> {
        let said: Option<Running> = read_json(&self.path).ok().flatten();
        // A damaged file, or none: the agent may have died between start and file.
        said.filter(Running::is_there).or_else(|| self.search())
    }

    fn search(&self) -> Option<Running> {
        let me = std::process::id() as i32;
        let marked = |process: &Process| {
            let environ = process.environ().ok()?;
            Some(environ.get(std::ffi::OsStr::new(MARK))? == self.folder.as_os_str())
        };
        let found = all_processes()
            .ok()?
            .flatten()
            .find(|process| process.pid != me && marked(process) == Some(true));
        Running::now(found?.pid)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_the_very_process_is_found_again() {
        let folder = tempfile::tempdir().unwrap();
        let file = PidFile::of(folder.path()).unwrap();
        assert_eq!(file.find(), None);
        let mut child = std::process::Command::new("sleep")
            .arg("60")
            .spawn()
            .unwrap();
        let running = Running::now(child.id() as i32).unwrap();
        file.write(&running).unwrap();
        assert_eq!(file.find(), Some(running.clone()));
        // Another process of that number, another boot: strangers.
        for stranger in [
            Running {
                started: running.started + 1,
                ..running.clone()
            },
            Running {
                boot: "other".into(),
                ..running.clone()
            },
        ] {
            file.write(&stranger).unwrap();
            assert_eq!(file.find(), None);
        }
        fs::write(folder.path().join(FILE), b"{\"pid\": 1").unwrap();
        assert_eq!(file.find(), None, "half a file");
        file.write(&running).unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
        assert_eq!(file.find(), None);
        let mut marked = std::process::Command::new("sleep")
            .arg("60")
            .env(MARK, file.mark())
            .spawn()
            .unwrap();
        file.clear();
        let found = file.find().map(|running| running.pid);
        marked.kill().unwrap();
        marked.wait().unwrap();
        assert_eq!(
            found,
            Some(marked.id() as i32),
            "one whose agent died before the file was written"
        );
    }

    #[test]
    fn one_agent_a_folder() {
        let folder = tempfile::tempdir().unwrap();
        let held = lock(folder.path()).unwrap();
        assert!(matches!(lock(folder.path()), Err(HostError::Locked(_))));
        drop(held);
        assert!(lock(folder.path()).is_ok());
    }
}
