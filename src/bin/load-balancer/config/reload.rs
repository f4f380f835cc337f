//! A configuration that replaces the current one while the node runs.

use std::net::SocketAddr;

use load_balancer::settings::{self, Reload, SettingsChange};
use serde::Deserialize;
use serde_json::Value;

use super::{parse_address, ConfigError, RuntimeConfig};

/// The keys that a reload reads; the others are read only at the start.
#[derive(Deserialize)]
struct ReloadedFile {
    discovery: Option<String>,
    #[serde(default)]
    settings: Value,
}

/// The content of a reloaded file.
pub struct ReloadedConfig {
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The new runtime configuration; `None` if it equals the current one.
    pub runtime: Option<RuntimeChange>,
}

/// A runtime configuration that differs from the current one.
pub struct RuntimeChange {
    /// The new configuration.
    pub config: RuntimeConfig,
    /// The differences, for the log.
    pub changes: SettingsChange,
}

impl ReloadedConfig {
    /// Parses a file's text. A file without settings keeps the current ones. Environment variables do not override
    /// a reloaded file.
    ///
    /// # Errors
    ///
    /// The text is invalid, has no discovery address, or its settings can't replace those of `current`.
    pub fn parse(text: &str, current: &RuntimeConfig) -> Result<ReloadedConfig, ConfigError> {
        let file: ReloadedFile = serde_json::from_str(text)?;
        let discovery = file.discovery.ok_or(ConfigError::NoDiscovery)?;
        let discovery = parse_address("discovery", &discovery)?;
        let runtime = if file.settings.is_null() {
            None
        } else {
            current.reloaded(&file.settings)?
        };
        Ok(ReloadedConfig { discovery, runtime })
    }
}

impl RuntimeConfig {
    /// The configuration that replaces this one for new settings; `None` if they are the same.
    fn reloaded(&self, settings: &Value) -> Result<Option<RuntimeChange>, ConfigError> {
        let next = RuntimeConfig::parse(settings)?;
        let Reload {
            settings: balancer,
            changes,
        } = settings::reload(&self.balancer, next.balancer)?;
        if changes.is_nothing() && next.node == self.node {
            return Ok(None);
        }
        let config = RuntimeConfig {
            balancer,
            node: next.node,
        };
        Ok(Some(RuntimeChange { config, changes }))
    }
}
