//! `run`: the agent itself, and its log.

use std::io::{self, IsTerminal};
use std::path::Path;
use std::process::ExitCode;

use control_plane::config::{Config, LogFormat};
use control_plane::runtime::{self, Exit};
use tokio::task::LocalSet;
use tracing_subscriber::EnvFilter;

use crate::error::CliError;
use crate::{tokio_runtime, NAME_REJECTED};

/// Overrides the log level of the configuration, in RUST_LOG's form.
const LOG_VARIABLE: &str = "BALANCER_AGENT_LOG";
/// The same under its former name, used if the other is not set.
const FORMER_LOG_VARIABLE: &str = "WOODGAP_AGENT_LOG";

/// Runs an agent until it has left the fleet, or its name is rejected.
pub fn run(path: &Path) -> Result<ExitCode, CliError> {
    let config = Config::load(path)?;
    start_log(&config);
    let name = config.name.clone();
    let tasks = LocalSet::new();
    let exit = tokio_runtime()?.block_on(tasks.run_until(runtime::run(config)))?;
    match exit {
        Exit::Left => Ok(ExitCode::SUCCESS),
        Exit::NameRejected(holder) => {
            eprintln!(
                "balancer-agent: '{name}' is held by an older process at {}",
                holder.addr
            );
            Ok(ExitCode::from(NAME_REJECTED))
        }
    }
}

fn start_log(config: &Config) {
    let filter = EnvFilter::try_from_env(LOG_VARIABLE)
        .or_else(|_| EnvFilter::try_from_env(FORMER_LOG_VARIABLE))
        .unwrap_or_else(|_| EnvFilter::new(config.log_level.as_str()));
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(io::stderr)
        .with_ansi(io::stderr().is_terminal())
        // A log that can't be written, as on a full disk, must not end the agent.
        .log_internal_errors(false);
    match config.log_format {
        LogFormat::Text => log.with_target(false).init(),
        LogFormat::Json => log.json().flatten_event(true).init(),
    }
}
