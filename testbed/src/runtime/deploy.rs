//! Reads `deploy/balancer.toml`, which names the commands that build and start a node.

use std::path::{Path, PathBuf};
use std::process::Command;

use serde::Deserialize;

/// Error of finding or building a node to start.
#[derive(Debug, thiserror::Error)]
pub enum DeployError {
    /// No deploy file in this folder or in any above it.
    #[error("no deploy/balancer.toml here or in a folder above; run inside the repository, or name a program with --node PATH")]
    Missing,
    /// The deploy file cannot be read or parsed.
    #[error("{path}: {what}")]
    Unreadable {
        /// Path of the deploy file.
        path: String,
        /// Text of the underlying error.
        what: String,
    },
    /// The build command failed or could not be started.
    #[error("the build command of deploy/balancer.toml failed ({status}): {command}")]
    Build {
        /// The build command.
        command: String,
        /// Its exit status, or the error of starting it.
        status: String,
    },
}

/// The commands that build and start a node.
#[derive(Clone, Debug)]
pub struct Deploy {
    /// Root of the repository, in which the commands are run.
    pub root: PathBuf,
    /// Shell command that builds the node.
    pub build: String,
    /// Shell command that starts the node.
    pub run: String,
    /// Shell command that starts the node's decision module as a program on the simulator's wire.
    pub sim: String,
}

#[derive(Deserialize)]
struct File {
    build: String,
    run: String,
    sim: String,
}

impl Deploy {
    /// Reads the deploy file of this folder or of the nearest one above it.
    pub fn find(from: &Path) -> Result<Deploy, DeployError> {
        let root = from
            .ancestors()
            .find(|dir| dir.join("deploy/balancer.toml").is_file());
        let root = root.ok_or(DeployError::Missing)?.to_owned();
        let path = root.join("deploy/balancer.toml");
        let unreadable = |what: String| DeployError::Unreadable {
            path: path.display().to_string(),
            what,
        };
        let text = std::fs::read_to_string(&path).map_err(|error| unreadable(error.to_string()))?;
        let file: File = toml::from_str(&text).map_err(|error| unreadable(error.to_string()))?;
        Ok(Deploy {
            root,
            build: file.build,
            run: file.run,
            sim: file.sim,
        })
    }

    /// Builds the node. The build's standard output is discarded; its standard error is inherited.
    pub fn build(&self) -> Result<(), DeployError> {
        let failed = |status: String| DeployError::Build {
            command: self.build.clone(),
            status,
        };
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &self.build])
            .current_dir(&self.root)
            .stdout(std::process::Stdio::null());
        let status = command
            .status()
            .map_err(|error| failed(error.to_string()))?;
        if status.success() {
            Ok(())
        } else {
            Err(failed(status.to_string()))
        }
    }
}
