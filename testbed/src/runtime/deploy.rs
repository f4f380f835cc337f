//! Owns the reading of `deploy/balancer.toml`, by which a node is built and started.

use std::path::{Path, PathBuf};
use std::process::Command;

use serde::Deserialize;

/// Why there is no node to start.
#[derive(Debug, thiserror::Error)]
pub enum DeployError {
    /// Neither here nor above.
    #[error("no deploy/balancer.toml here or in a folder above; run inside the repository, or name a program with --node PATH")]
    Missing,
    /// It can't be read.
    #[error("{path}: {what}")]
    Unreadable {
        /// Which file.
        path: String,
        /// Why.
        what: String,
    },
    /// The build failed.
    #[error("the build command of deploy/balancer.toml failed ({status}): {command}")]
    Build {
        /// The command.
        command: String,
        /// How it ended.
        status: String,
    },
}

/// How a node is built and started.
#[derive(Clone, Debug)]
pub struct Deploy {
    /// Where both commands are run.
    pub root: PathBuf,
    /// Builds it.
    pub build: String,
    /// Starts it.
    pub run: String,
    /// Starts the same decisions on the simulator's wire.
    pub sim: String,
}

#[derive(Deserialize)]
struct File {
    build: String,
    run: String,
    sim: String,
}

impl Deploy {
    /// The deploy file of this folder or the nearest above it.
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

    /// Builds the node; what the build prints goes to standard error.
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
