//! Lets a later agent find the node that an earlier one left running: by a file, which is checked against the start
//! time of the process, or by an environment variable of the process, in case the agent died before it wrote the file.

use std::ffi::OsStr;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use procfs::process::{all_processes, Process};
use serde::{Deserialize, Serialize};

use crate::storage::{read_json, write_json};

/// Environment variable of a node's process, with the state folder of the agent that started it.
pub const STATE_VARIABLE: &str = "BALANCER_AGENT_STATE";
/// Former name of [`STATE_VARIABLE`]. It is still set, because older agents recognize a node by it, and still read, to
/// recognize nodes that older agents started.
pub const FORMER_STATE_VARIABLE: &str = "WOODGAP_AGENT_STATE";

const PID_FILE: &str = "node.pid";
/// File with an id that changes with each boot, so that a process of an earlier boot is not mistaken for a running one.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// Identifies a process unambiguously, although process ids are reused. The field names are those of the file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessId {
    /// The operating system's process id.
    pub pid: i32,
    /// When the process started, in clock ticks since boot.
    started: u64,
    /// Id of the boot during which the process started.
    boot: String,
}

impl ProcessId {
    /// Identifies the process that is running under an id; `None` if there is none.
    pub fn of_running(pid: i32) -> Option<ProcessId> {
        let stat = Process::new(pid).ok()?.stat().ok()?;
        let is_dead = matches!(stat.state, 'Z' | 'X' | 'x');
        if is_dead {
            return None;
        }
        Some(ProcessId {
            pid,
            started: stat.starttime,
            boot: boot_id()?,
        })
    }

    /// Whether the process is still running.
    pub fn is_running(&self) -> bool {
        ProcessId::of_running(self.pid).as_ref() == Some(self)
    }
}

fn boot_id() -> Option<String> {
    let id = fs::read_to_string(BOOT_ID_FILE).ok()?;
    Some(id.trim().to_owned())
}

/// The file that identifies the node of a state folder.
#[derive(Clone, Debug)]
pub struct PidFile {
    path: PathBuf,
    state_folder: PathBuf,
}

impl PidFile {
    /// The file of an existing state folder.
    ///
    /// # Errors
    /// If the folder can't be resolved.
    pub fn of(state_folder: &Path) -> io::Result<PidFile> {
        // The path has to be absolute, because it is compared with the one in the environment of other processes.
        let state_folder = state_folder.canonicalize()?;
        Ok(PidFile {
            path: state_folder.join(PID_FILE),
            state_folder,
        })
    }

    /// The state folder, absolute: the value of `$BALANCER_AGENT_STATE` in the folder's nodes.
    pub fn state_folder(&self) -> &Path {
        &self.state_folder
    }

    /// Replaces the file atomically.
    ///
    /// # Errors
    /// If it can't be written.
    pub fn write(&self, process: &ProcessId) -> io::Result<()> {
        write_json(&self.path, process)
    }

    /// Removes the file. A failure is ignored: the file then identifies a process that has ended, which is detected.
    pub fn clear(&self) {
        let _ = fs::remove_file(&self.path);
    }

    /// The node that an earlier agent left running, if any.
    pub fn find(&self) -> Option<ProcessId> {
        let recorded: Option<ProcessId> = read_json(&self.path).ok().flatten();
        // If the file is missing or damaged, the agent may have died between starting the node and writing the file.
        recorded
            .filter(ProcessId::is_running)
            .or_else(|| self.find_by_environment())
    }

    fn find_by_environment(&self) -> Option<ProcessId> {
        let own_pid = std::process::id() as i32;
        let found = all_processes()
            .ok()?
            .flatten()
            .find(|process| process.pid != own_pid && self.is_node(process));
        ProcessId::of_running(found?.pid)
    }

    /// Whether a process is the node of an agent with this state folder, by its environment.
    fn is_node(&self, process: &Process) -> bool {
        let Ok(environment) = process.environ() else {
            return false;
        };
        [STATE_VARIABLE, FORMER_STATE_VARIABLE]
            .iter()
            .filter_map(|variable| environment.get(OsStr::new(variable)))
            .any(|value| value == self.state_folder.as_os_str())
    }
}

#[cfg(test)]
mod tests;
