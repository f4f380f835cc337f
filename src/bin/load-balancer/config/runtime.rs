//! The part of the configuration that a reload can change.

use std::time::Duration;

use load_balancer::settings::{self, keys, NamedSettings, Pairs};
use load_balancer::Micros;
use serde_json::Value;

use super::flatten::flatten;
use super::ConfigError;

/// Longest time to connect to a server if the settings give none, in microseconds.
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;
/// Idle time after which servers close connections if the settings give none, in microseconds.
const DEFAULT_KEEPALIVE: Micros = 15_000_000;
/// Time within which sends to a draining server must end if the settings give none, in microseconds.
const DEFAULT_DRAIN_GRACE: Micros = 500_000;
/// Most requests pending at a time if the settings give no number.
const DEFAULT_MAX_OPEN_REQUESTS: u64 = 20_000;
/// Highest number of pending requests that the settings can allow; a higher one is reduced to this.
const MAX_OPEN_REQUESTS_LIMIT: u64 = 1 << 20;

/// The configuration of requests, attempts and load balancing.
pub struct RuntimeConfig {
    /// The balancer's settings, and the names by which requests refer to classes and tenants.
    pub balancer: NamedSettings,
    /// The settings of the node itself.
    pub node: NodeSettings,
}

/// The settings that the node uses itself, not its balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Longest time to connect to a server.
    pub connect_timeout: Duration,
    /// Idle time after which servers close connections.
    pub keepalive: Duration,
    /// Time within which sends to a draining server must end.
    pub drain_grace: Duration,
    /// Most requests pending at a time.
    pub max_open_requests: usize,
    /// The names of the fields of a load report, in the order in which the balancer receives their values.
    pub load_report_fields: Vec<String>,
}

impl RuntimeConfig {
    /// Parses the settings of a configuration.
    ///
    /// # Errors
    ///
    /// A setting is invalid.
    pub fn parse(value: &Value) -> Result<RuntimeConfig, ConfigError> {
        let mut pairs = Pairs::default();
        flatten("", value, &mut pairs);
        Ok(RuntimeConfig {
            balancer: settings::parse(&pairs)?,
            node: NodeSettings::parse(&pairs)?,
        })
    }
}

impl NodeSettings {
    fn parse(pairs: &Pairs) -> Result<NodeSettings, ConfigError> {
        let duration = |path, default| pairs.duration(path, default).map(Duration::from_micros);
        Ok(NodeSettings {
            connect_timeout: duration(keys::CONNECT_TIMEOUT, DEFAULT_CONNECT_TIMEOUT)?,
            keepalive: duration(keys::KEEPALIVE, DEFAULT_KEEPALIVE)?,
            drain_grace: duration(keys::DRAIN_GRACE, DEFAULT_DRAIN_GRACE)?,
            max_open_requests: pairs
                .integer(keys::MAX_OPEN_REQUESTS, DEFAULT_MAX_OPEN_REQUESTS)?
                .clamp(1, MAX_OPEN_REQUESTS_LIMIT) as usize,
            load_report_fields: pairs
                .text(keys::LOAD_REPORT_FIELDS)
                .unwrap_or("")
                .split(',')
                .map(str::to_owned)
                .collect(),
        })
    }
}
