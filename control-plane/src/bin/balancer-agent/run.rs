//! `run`: the agent itself, and its log.

use std::io::{self, IsTerminal};
use std::path::Path;
use std::process::ExitCode;

use control_plane::config::{Config, LogFormat};
use control_plane::runtime::{self, Exit};
use tokio::task::LocalSet;
use tracing_subscriber::EnvFilter;

use crate::error::CliError;
use crate::{tokio_runtime, EXIT_NAME_REJECTED};

/// Environment variable that overrides the configured log level, in the syntax of `RUST_LOG`.
const LOG_VARIABLE: &str = "BALANCER_AGENT_LOG";
/// Former name of [`LOG_VARIABLE`], used if that is not set or invalid.
const FORMER_LOG_VARIABLE: &str = "WOODGAP_AGENT_LOG";

/// Runs an agent until it has left the fleet, or ends because an older process has its name.
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
                "balancer-agent: an older process at {} has the name '{name}': this agent has ended",
                holder.addr
            );
            Ok(ExitCode::from(EXIT_NAME_REJECTED))
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
