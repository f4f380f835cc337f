//! Reads the configuration file at the start and at each reload.

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use tokio::task::spawn_blocking;

use super::{Config, ConfigError, ConfigFileError, ReloadedConfig, RuntimeConfig};

/// Longest configuration file, in bytes: a third of the default memory limit. The file is read before the memory
/// limit in it is known.
const MAX_CONFIG_BYTES: u64 = 64 << 20;

/// Reads the configuration that the node starts with.
///
/// # Errors
///
/// The file can't be read or its content is invalid.
pub fn load(path: &Path, environment: &HashMap<String, String>) -> Result<Config, ConfigFileError> {
    let text = read_text(path)?;
    Config::parse(&text, environment).map_err(|source| invalid(path, &text, source))
}

/// Reads a configuration that replaces the current one. This takes place on another thread, as parsing a large file
/// would delay requests for too long.
///
/// # Errors
///
/// The file can't be read, its content is invalid, or its settings can't replace those of `current`.
pub async fn reload(
    path: PathBuf,
    current: Arc<RuntimeConfig>,
) -> Result<ReloadedConfig, ConfigFileError> {
    let read = move || {
        let text = read_text(&path)?;
        ReloadedConfig::parse(&text, &current).map_err(|source| invalid(&path, &text, source))
    };
    spawn_blocking(read)
        .await
        .map_err(ConfigFileError::Thread)?
}

fn read_text(path: &Path) -> Result<String, ConfigFileError> {
    let failed = |source| ConfigFileError::Read {
        path: path.to_owned(),
        source,
    };
    let bytes = std::fs::metadata(path).map_err(failed)?.len();
    if bytes > MAX_CONFIG_BYTES {
        return Err(ConfigFileError::TooLong {
            path: path.to_owned(),
            bytes,
            max_bytes: MAX_CONFIG_BYTES,
        });
    }
    std::fs::read_to_string(path).map_err(failed)
}

fn invalid(path: &Path, text: &str, source: ConfigError) -> ConfigFileError {
    ConfigFileError::Invalid {
        path: path.to_owned(),
        bytes: text.len(),
        source,
    }
}
